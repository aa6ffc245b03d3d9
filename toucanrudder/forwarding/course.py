"""One request's way over one or more upstreams."""

import asyncio
import time

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.forwarding import attempt as attempts
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import poison
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import tries
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics

#: When a refused caller is to come back, if nothing better is known: a
#: slot of a plain service frees within about its mean work time.
RETRY_AFTER_S = 0.25

#: The same while all engines have weights that are too old: the first one
#: that is being loaded has new ones after about half a second.
WEIGHTS_RETRY_S = 0.5

#: Part of a caller's remaining time that a request may wait here: it must
#: leave him time to come back.
WAIT_LEFT_SHARE = 0.25

#: How long an upstream that was full is left alone.
FULL_S = 0.05


def observe(kind: str, outcome: str, seconds: float) -> None:
    """Count a request that has ended, by its length."""
    metrics.histogram(
        "toucanrudder_request_seconds", "s", "From first byte to the end"
    ).record(seconds, {"kind": kind, "outcome": outcome})


def allowed_s(route: model.Route, call: model.Call) -> float:
    """Return how long a request may take in all."""
    if call.wait_s is None:
        return route.timeout_s
    return min(route.timeout_s, call.wait_s)


def waits_here_s(route: model.Route, left_s: float) -> float:
    """Return for how long a request may wait before it is sent."""
    return min(route.objective_s / 2, WAIT_LEFT_SHARE * left_s)


@attrs.define(eq=False)
class Course:
    """One request's way over one or more upstreams.

    Attributes
    ----------
    sent_on : list of client.UpstreamConnection
        Connections that have carried the request.  Another answer to it
        may still come on them, so they never carry it again.
    """

    state: states.ForwardingState
    dialect: dialects.Dialect
    request: server.Request
    answer: server.Answer
    matched: routing.RouteMatch
    service: str
    deadline_s: float = 0.0
    progress: tries.Progress = attrs.field(factory=tries.Progress)
    last_event: str | None = None
    tried: set[str] = attrs.field(factory=set)
    sent_on: list[client.UpstreamConnection] = attrs.field(factory=list)
    attempt_count: int = 0
    upstream: str = ""
    status: int = 0
    first_s: float = 0.0
    longest_gap_s: float = 0.0
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    copy_at: model.Upstream | None = None
    continues: bool = False
    in_doubt: bool = False

    @property
    def route(self) -> model.Route:
        """The request's route."""
        return self.matched.route

    @property
    def call(self) -> model.Call:
        """The request as it was read."""
        return self.matched.call

    async def run(self) -> None:
        """Answer the request, or raise RudderError."""
        now_s = clock.now_s()
        self.deadline_s = self.request.began_s + allowed_s(
            self.route, self.call
        )
        self.last_event = self.call.resume_after
        self.state.retries_to(self.service).record_request(now_s)
        try:
            async with asyncio.timeout(self.deadline_s - now_s):
                await self._tried()
        except TimeoutError:
            raise self._late() from None

    def runs(self) -> int:
        """Return on how many upstreams it may have run."""
        return self.progress.may_have_run + self.in_doubt

    def note_answered(self) -> None:
        """Write down that the caller has got a whole answer."""
        whole_s = clock.now_s() - self.request.began_s
        decisions.record(
            decisions.Answered(
                request_id=self.call.request_id,
                route=self.route.name,
                upstream=self.upstream,
                status=self.status,
                attempts=self.attempt_count,
                first_s=self.first_s,
                whole_s=whole_s,
                events=self.progress.events,
                longest_gap_s=self.longest_gap_s,
                objective_s=self.route.objective_s,
                event_gap_s=self.route.event_gap_s,
            )
        )
        kind = self.route.repetition.value
        observe(kind, "answered" if self.status < 500 else "failed", whole_s)
        metrics.histogram(
            "toucanrudder_first_part_seconds", "s", "Until the answer began"
        ).record(self.first_s, {"kind": kind})

    def note_events(self) -> None:
        """Note that events of a stream have been passed on now."""
        now_s = clock.now_s()
        if not self.last_event_s:
            self.first_event_s = now_s
        else:
            gap_s = now_s - self.last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_s = now_s

    def _late(self) -> errors.RudderError:
        if self.in_doubt or self.progress.may_have_run:
            return errors.RudderError(
                errors.Code.UPSTREAM_TIMEOUT,
                "no answer within the time that was left",
                step=tries.STEP,
                ran=errors.Ran.UNKNOWN,
            )
        return errors.RudderError(
            errors.Code.DEADLINE_UNMET,
            "no upstream took the request in time",
            step=tries.STEP,
            retry_after_s=RETRY_AFTER_S,
        )

    def left_s(self) -> float:
        """Return the time until the caller's deadline."""
        return self.deadline_s - clock.now_s()

    async def _tried(self) -> None:
        choice = await self._chosen()
        while True:
            upstream = choice.upstream
            self.tried.add(upstream.incarnation)
            self.attempt_count += 1
            attempt = attempts.Attempt(self, choice)
            try:
                await attempt.run()
                return
            except attempts.TryEnded as failure:
                step = self._after(failure, upstream, attempt.evidence)
                if step is tries.Step.GIVE_UP:
                    await self._give_up(failure, upstream)
                    return
            if step is tries.Step.CONTINUE:
                choice = placing.Choice(self.copy_at, reason="copy")
                self.continues, self.copy_at = True, None
            else:
                choice = await self._chosen()

    async def _chosen(self) -> placing.Choice:
        """Choose an upstream; wait a little while all of them are full.

        Upstreams refuse for moments only, while they load or when a burst
        fills their queues; sent back at once, callers would return in the
        same moment.
        """
        give_up_s = clock.now_s() + waits_here_s(self.route, self.left_s())
        while True:
            # Looked at before the choice: one that took long is not the last.
            is_last = clock.now_s() >= give_up_s
            try:
                return self._choose()
            except errors.RudderError as error:
                is_full = error.code is errors.Code.QUEUE_FULL
                if not is_full or is_last:
                    raise
            await asyncio.sleep(FULL_S / 2)

    def _choose(self) -> placing.Choice:
        now_s = clock.now_s()
        candidates = self.state.candidates(
            self.service, self.call.prompt, time.monotonic()
        )
        usable = placing.usable_candidates(
            candidates, now_s, self.state.pace.bound_s
        )
        usable = [
            each
            for each in usable
            if each.upstream.incarnation not in self.tried
        ] or usable
        if not usable:
            raise self._nobody(candidates)
        if self.call.prompt is not None:
            store = self.state.store_for(self.call.prompt, self.wall(), now_s)
            choice = placing.choose_for_prompt(
                self.call.prompt,
                self.wall(),
                usable,
                self.state.cache,
                store=store,
                speed=self.state.speed_of(self.service, store),
                engines_report_cache=cache_feed.polls_engines(
                    self.state.live_routers()
                ),
                now_s=now_s,
            )
            self.copy_at = self._place_for_copy(choice, candidates, now_s)
            return choice
        return placing.choose_for_plain(
            self.state.zone, usable, now_s=now_s, rng=self.state.rng
        )

    def _place_for_copy(
        self, choice, candidates, now_s: float
    ) -> model.Upstream | None:
        service = self.state.configuration.services.get(self.service)
        engine = service.engine if service else None
        if engine is None or not engine.takes_copies:
            return None
        once = self.route.repetition is model.Repetition.ONCE
        if not self.route.is_stream or not once:
            # What may be resumed is run anew elsewhere at no risk.
            return None
        return placing.choose_backup(
            choice, self.call.prompt, engine, candidates, now_s
        )

    def _nobody(self, candidates) -> errors.RudderError:
        if self.progress.may_have_run:
            return tries.refusal(
                tries.Ended.BROKEN, self.progress, self.service, 0.0
            )
        code, retry_after_s = errors.Code.QUEUE_FULL, RETRY_AFTER_S
        now_s, bound_s = clock.now_s(), self.state.pace.bound_s
        if not candidates:
            code = errors.Code.NO_UPSTREAM
        elif all(
            placing.time_to_cutoff_s(each, bound_s, now_s) <= 0
            for each in candidates
        ):
            code = errors.Code.WEIGHTS_TOO_OLD
            retry_after_s = WEIGHTS_RETRY_S
        return errors.RudderError(
            code,
            "no upstream can take the request now",
            step=tries.STEP,
            peer=self.service,
            retry_after_s=retry_after_s,
        )

    def wall(self) -> str:
        """Return who shares its cache; the empty string for all."""
        organisation = self.matched.organisation
        if organisation is not None and organisation.is_isolated:
            return organisation.name
        return ""

    def _after(
        self,
        failure: attempts.TryEnded,
        upstream: model.Upstream,
        evidence: tries.Evidence,
    ) -> tries.Step:
        """Note how a try ended; say what is to follow."""
        ended = failure.ended
        self._blame(ended, upstream)
        self.in_doubt = False
        ran = ended not in tries.PROVES_NOT_RUN
        self.progress = attrs.evolve(
            self._progress_now(),
            tries=self.progress.tries + 1,
            may_have_run=self.progress.may_have_run + ran,
        )
        self.continues = False
        step = tries.next_step(
            ended, self.progress, self.route, left_s=self.left_s()
        )
        if self.is_poison():
            step = tries.Step.GIVE_UP
        step = self._within_budget(ended, step)
        decisions.record(
            decisions.TryEnded(
                request_id=self.call.request_id,
                upstream=upstream.incarnation,
                attempt=self.progress.tries,
                ended=ended.value,
                after_s=clock.now_s() - self.request.began_s,
                may_have_run=bool(self.progress.may_have_run),
                events=self.progress.events,
                next_step=step.value,
                budget_left=self.state.retries_to(self.service).remaining(
                    clock.now_s(), self.state.live_routers()
                ),
                carried_requests=evidence.carried_requests,
                identity=evidence.identity.value,
                silence=evidence.silence.value,
                copy_at=self.copy_at.incarnation if self.copy_at else "",
            )
        )
        return step

    def _within_budget(
        self, ended: tries.Ended, step: tries.Step
    ) -> tries.Step:
        # Where nothing arrived, nothing arrives twice.
        arrived = ended is not tries.Ended.NOT_REACHED
        if step is tries.Step.GIVE_UP or not arrived:
            return step
        window = self.state.retries_to(self.service)
        if not window.spend(clock.now_s(), self.state.live_routers()):
            metrics.refused("retry_budget_spent", tries.STEP)
            return tries.Step.GIVE_UP
        metrics.retried(ended.value)
        return step

    def _streamed_s(self) -> float:
        """Return the time since the caller got the first event."""
        if not self.progress.events:
            return 0.0
        return clock.now_s() - self.first_event_s

    def can_continue(self) -> bool:
        """Whether another engine can go on with the run now."""
        return self._progress_now().can_continue

    def _progress_now(self) -> tries.Progress:
        return attrs.evolve(
            self.progress,
            streamed_s=self._streamed_s(),
            copy_was_asked=self.copy_may_exist(),
        )

    def copy_may_exist(self) -> bool:
        """Whether the engine that was to hold a copy can still have it."""
        if self.copy_at is None:
            return False
        weights = self.copy_at.weights
        known = self.state.registry.get(self.copy_at.incarnation)
        if known is None or known.is_leaving or known.weights != weights:
            return False
        # Under new weights a run goes on with memory made under both.
        runs_at = self.state.registry.get(self.upstream)
        return runs_at is None or runs_at.weights == weights

    def _blame(self, ended: tries.Ended, upstream: model.Upstream) -> None:
        now_s = clock.now_s()
        name = upstream.incarnation
        if ended is tries.Ended.FULL:
            self.state.states.record_full(name, now_s, FULL_S)
        elif ended is tries.Ended.FAILED:
            self.state.states.record_error(name)
        elif ended is tries.Ended.OTHER_WEIGHTS:
            self.state.doubt_weights(upstream)
        else:
            self.state.states.record_failure(name, now_s)
        if ended is tries.Ended.BROKEN:
            self.state.breaks.record_crash(
                self._fingerprint(),
                upstream,
                time.time(),
            )

    async def _give_up(
        self, failure: attempts.TryEnded, upstream: model.Upstream
    ) -> None:
        if failure.held is not None and not self.answer.started:
            head, body = failure.held
            await self.pass_on(head, body)
            return
        raise tries.refusal(
            failure.ended,
            self.progress,
            upstream.incarnation,
            RETRY_AFTER_S,
        )

    def _fingerprint(self) -> str:
        organisation = self.matched.organisation
        return poison.fingerprint(
            organisation.name if organisation else "",
            self.request.head.target,
            self.request.body,
        )

    def is_poison(self) -> bool:
        """Whether upstreams have broken off under it too often."""
        breaks = self.state.breaks
        # Hashing a body for each request would be paid for by all others.
        return not breaks.is_empty and breaks.is_poison(self._fingerprint())

    # The answer.

    def _note_first(self, status: int) -> None:
        self.status = status
        self.first_s = clock.now_s() - self.request.began_s

    async def pass_on(self, head: message.AnswerHead, body: bytes) -> None:
        """Give the caller an upstream's whole answer."""
        self._note_first(head.status)
        headers = message.end_to_end(head.headers, (b"content-length",))
        await self.answer.whole(head.status, headers, body)

    async def start(self, head: message.AnswerHead) -> None:
        """Give the caller the head of an upstream's stream."""
        self._note_first(head.status)
        headers = message.end_to_end(head.headers, (b"content-length",))
        await self.answer.start(head.status, headers)
