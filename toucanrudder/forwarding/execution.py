"""Execution of one request with retries on other upstreams."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import time

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder.forwarding import choosing
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import run_ends
from toucanrudder.forwarding import run_memory
from toucanrudder.forwarding import screening
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding.attempts import attempt as attempts
from toucanrudder.forwarding.attempts import racing
from toucanrudder.forwarding.attempts import relaying
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.forwarding.handover import choice as handover_choice
from toucanrudder.forwarding.handover import handing
from toucanrudder.forwarding.streams import origins
from toucanrudder.forwarding.streams import resuming
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics

#: Steps that begin another attempt.
_BEGINNING_STEPS = (retry_policy.Step.RETRY, retry_policy.Step.CONTINUE)


def record_duration(kind: str, outcome: str, seconds: float) -> None:
    """Record the duration of a finished request."""
    metrics.histogram(
        "toucanrudder_request_seconds", "s", "From first byte to the end"
    ).record(seconds, {"kind": kind, "outcome": outcome})


def time_limit_s(route: model.Route, call: model.Call) -> float:
    """Return the time limit of a request, including all attempts."""
    if call.wait_s is None:
        return route.timeout_s
    return min(route.timeout_s, call.wait_s)


@attrs.define(eq=False)
class RequestExecution:
    """One request with its attempts on one or more upstreams.

    Attributes
    ----------
    tried_incarnations : set of str
        Upstreams that were tried.
    used_connections : list of client.UpstreamConnection
        Connections that have carried the request.  A late answer to an
        earlier attempt may still arrive on them, so they never carry the
        request again.
    copy_upstream : model.Upstream or None
        Engine that was asked to hold a copy of the run's KV cache.
    race : racing.Race
        The attempts that have not ended.
    has_reserved_retry : bool
        Whether the retry budget was charged for the next attempt already.
    recorded_silence : tuple or None
        Events and attempts at the last silence that was logged.
    is_taken_over : bool
        Whether a peer has handed the request over to this router.
    unreached_attempts : int
        Attempts for which no connection could be opened.
    tried_peers : set of str
        Peers to which the request was offered.
    origin : origins.Origin or None
        What began the stream of which the caller has events; nothing else
        may continue it.
    earlier_attempts : int
        Attempts of the router that handed the request over.
    screen : screening.RequestScreen
        The request before the quarantine.
    chooser : choosing.UpstreamChooser
        Chooses where attempts are made.
    """

    state: states.ForwardingState
    dialect: dialects.Dialect
    request: server.Request
    answer: server.Answer
    route_match: routing.RouteMatch
    service: str = ""
    deadline_s: float = 0.0
    progress: retry_policy.Progress = attrs.field(
        factory=retry_policy.Progress
    )
    last_event_id: str | None = None
    tried_incarnations: set[str] = attrs.field(factory=set)
    used_connections: list[client.UpstreamConnection] = attrs.field(
        factory=list
    )
    attempt_count: int = 0
    upstream: str = ""
    status: int = 0
    first_part_s: float = 0.0
    longest_gap_s: float = 0.0
    first_event_at_s: float = 0.0
    last_event_at_s: float = 0.0
    copy_upstream: model.Upstream | None = None
    race: racing.Race = attrs.field(factory=racing.Race)
    has_reserved_retry: bool = False
    recorded_silence: tuple[int, int] | None = None
    is_taken_over: bool = False
    unreached_attempts: int = 0
    tried_peers: set[str] = attrs.field(factory=set)
    origin: origins.Origin | None = None
    earlier_attempts: int = 0
    screen: screening.RequestScreen = attrs.field(init=False)
    chooser: choosing.UpstreamChooser = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.chooser = choosing.UpstreamChooser(self)
        organisation = self.route_match.organisation
        self.screen = screening.RequestScreen(
            self.state.crash_counts,
            self.state.is_trial_router,
            self.call,
            organisation.name if organisation else "",
            self.request.head.target,
            self.request.body,
        )

    @property
    def route(self) -> model.Route:
        """The request's route."""
        return self.route_match.route

    @property
    def call(self) -> model.Call:
        """The request's head in the terms of the router."""
        return self.route_match.call

    async def run(self) -> None:
        """Answer the request; raise RudderError if that fails."""
        now_s = clock.now_s()
        self.deadline_s = self.request.began_s + time_limit_s(
            self.route, self.call
        )
        self.last_event_id = self.call.resume_after
        if not self.is_taken_over:
            self.state.retries_for(self.service).record_request(now_s)
        try:
            async with stalls.timeout(
                self.deadline_s - now_s, clock=clock.now_s
            ):
                await self._run_attempts()
        except TimeoutError:
            raise self._timeout_error() from None

    def possible_runs(self) -> int:
        """Return how many upstreams may have run the request."""
        return self.progress.possible_runs + self._sent_attempts()

    def _sent_attempts(self) -> int:
        return sum(attempt.is_sent for attempt in self.race.running)

    def record_answered(self) -> None:
        """Log and count a completely delivered answer."""
        duration_s = clock.now_s() - self.request.began_s
        decisions.record(
            decisions.Answered(
                request_id=self.call.request_id,
                route=self.route.name,
                upstream=self.upstream,
                status=self.status,
                attempts=self.attempt_count,
                first_s=self.first_part_s,
                whole_s=duration_s,
                events=self.progress.events,
                longest_gap_s=self.longest_gap_s,
                objective_s=self.route.objective_s,
                event_gap_s=self.route.event_gap_s,
                generation=self.route_match.generation,
            )
        )
        kind = self.route.repetition.value
        record_duration(
            kind, "answered" if self.status < 500 else "failed", duration_s
        )
        metrics.histogram(
            "toucanrudder_first_part_seconds", "s", "Until the answer began"
        ).record(self.first_part_s, {"kind": kind})

    def set_origin(self, software_version: str | None) -> None:
        """Set what begins the stream, unless the caller has events of it.

        Parameters
        ----------
        software_version : str or None
            Software that brings the first events; None if it is not known.
        """
        if self.origin is not None:
            return
        if software_version is None:
            software_version = self.state.streams.sole_version(
                self.service, clock.now_s()
            )
        self.origin = origins.Origin(self.service, software_version)

    def software_version(self) -> str | None:
        """Return the software that began the stream, if it is known."""
        return self.origin.software_version if self.origin else None

    def record_attempt(self, upstream: model.Upstream) -> None:
        """Record where the request is sent, for callers that return."""
        order = self.earlier_attempts * resuming.ORDERS_PER_ATTEMPT
        if not self.is_taken_over:
            order += self.attempt_count * resuming.ORDERS_PER_ATTEMPT
        else:
            order += self.attempt_count
        self.state.streams.record(
            self.route_match, upstream, order, clock.now_s()
        )

    async def wait_for_records(self) -> None:
        """Wait until peers know what begins the stream, if they knew other."""
        await self.state.streams.settled(self.route_match)

    def record_stream_events(self) -> None:
        """Update the event timings after events were relayed."""
        now_s = clock.now_s()
        if not self.last_event_at_s:
            self.first_event_at_s = now_s
        else:
            gap_s = now_s - self.last_event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at_s = now_s

    def _timeout_error(self) -> errors.RudderError:
        if self.progress.possible_runs:
            return errors.RudderError(
                errors.Code.UPSTREAM_TIMEOUT,
                "the upstream did not answer before the deadline",
                step=retry_policy.STEP,
                ran=errors.Ran.UNKNOWN,
            )
        return errors.RudderError(
            errors.Code.DEADLINE_UNMET,
            "no upstream accepted the request before the deadline",
            step=retry_policy.STEP,
            retry_after_s=self.chooser.retry_after_s(clock.now_s()),
        )

    def remaining_s(self) -> float:
        """Return the time until the caller's deadline."""
        return self.deadline_s - clock.now_s()

    async def _run_attempts(self) -> None:
        try:
            await self._begin_attempt(retry_policy.Step.RETRY)
            while not await self._handle_news(await self.race.next_news()):
                pass
        finally:
            # What was sent may have run, however this ends.
            runs = self.possible_runs()
            await self.race.close()
            self.progress = attrs.evolve(self.progress, possible_runs=runs)

    async def _begin_attempt(self, step: retry_policy.Step) -> None:
        self.refuse_if_quarantined()
        self._start(await self._next_attempt(step))

    def _start(self, attempt: racing.Attempt) -> None:
        self.attempt_count += 1
        self.race.start(attempt)

    async def _handle_news(self, news: racing.Silent | racing.Ended) -> bool:
        """Begin what follows; return whether the caller has its answer."""
        if isinstance(news, racing.Silent):
            if news.attempt.is_silent:
                self._try_beside(retry_policy.FailureKind.SILENT)
            return False
        if news.error is None:
            self._count_end(True)
            return True
        if not isinstance(news.error, relaying.AttemptFailed):
            self._count_end(news.attempt.is_sent)
            if isinstance(news.error, errors.RudderError) and (
                self.race.running
            ):
                # Another attempt may still have an answer.
                return False
            raise news.error
        step = self._handle_failure(news.error, news.attempt)
        if self.race.running:
            self._try_beside(news.error.kind)
            return False
        if step is retry_policy.Step.CONTINUE:
            step = await self._step_after_run_end(news.attempt)
        if step is retry_policy.Step.GIVE_UP:
            await self._give_up(news.error, news.attempt)
            return True
        await self._begin_attempt(step)
        return False

    async def _step_after_run_end(
        self, attempt: attempts.Attempt
    ) -> retry_policy.Step:
        """Return the next step once a run has ended, or has not in time.

        The same run must not go on at two engines.
        """
        upstream = attempt.choice.upstream
        began_s = clock.now_s()
        run_end = run_ends.RunEnd(
            self.state.reports,
            upstream,
            self.call.request_id,
            self.first_event_at_s,
        )
        silent_s = began_s - self.last_event_at_s
        has_ended = False
        with contextlib.suppress(TimeoutError):
            async with stalls.timeout(
                run_ends.max_wait_s(self.route, silent_s)
            ):
                has_ended = await run_end.wait(self.can_continue_from_copy)
        memory = self._memory(run_end.last_weights)
        may_continue = has_ended and memory is run_memory.Memory.UNCHANGED
        decisions.record(
            decisions.RunEndAwaited(
                request_id=self.call.request_id,
                upstream=upstream.incarnation,
                events=self.progress.events,
                run=run_end.state.value,
                memory=memory.value,
                is_continued=may_continue,
                replies=run_end.replies,
                took_s=clock.now_s() - began_s,
            )
        )
        if may_continue:
            return retry_policy.Step.CONTINUE
        self.copy_upstream = None
        return retry_policy.Step.GIVE_UP

    def _try_beside(self, cause: retry_policy.FailureKind) -> None:
        """Make another attempt beside silent ones, if it is allowed.

        A silent answer is not given up for it: whichever goes on first is
        relayed.
        """
        if not self.race.is_silent or self.is_quarantined():
            return
        progress = self._progress_with_running()
        step = retry_policy.next_step(
            cause, progress, self.route, remaining_s=self.remaining_s()
        )
        attempt = self._attempt_beside(step, cause)
        if attempt is None:
            step = retry_policy.Step.WAIT
        self._record_silence(step)
        if attempt is not None:
            self._start(attempt)

    def _record_silence(self, step: retry_policy.Step) -> None:
        silence = (self.progress.events, self.attempt_count)
        if silence == self.recorded_silence:
            return
        self.recorded_silence = silence
        silent = self.race.running[-1]
        decisions.record(
            decisions.AnswerSilent(
                request_id=self.call.request_id,
                upstream=silent.target,
                attempt=self.attempt_count,
                events=self.progress.events,
                silence=silent.evidence.silence.value,
                next_step=step.value,
                after_s=clock.now_s() - self.request.began_s,
            )
        )

    def _attempt_beside(
        self, step: retry_policy.Step, cause: retry_policy.FailureKind
    ) -> attempts.Attempt | None:
        """Return an attempt elsewhere; None if there is none to be made."""
        if step is retry_policy.Step.CONTINUE:
            if self._memory() is not run_memory.Memory.UNCHANGED:
                return None
            return self._continuation() if self._spend_retry(cause) else None
        if step is retry_policy.Step.GIVE_UP:
            return None
        try:
            choice = self.chooser.choose(beside=True)
        except errors.RudderError:
            return None
        if not self._spend_retry(cause):
            return None
        self.tried_incarnations.add(choice.upstream.incarnation)
        return attempts.Attempt(self, choice)

    def _continuation(self) -> attempts.Attempt:
        choice = placing.Choice(self.copy_upstream, reason="copy")
        self.copy_upstream = None
        return attempts.Attempt(self, choice, continues_copy=True)

    def claim_answer(self, winner: racing.Attempt) -> None:
        """Let an attempt answer the caller; abandon the others."""
        if len(self.race.running) == 1:
            return
        self.upstream = winner.target
        for loser in self.race.win(winner):
            self._count_end(loser.is_sent)
            self._record_end(loser, "overtaken", retry_policy.Step.WAIT)

    async def _next_attempt(
        self, step: retry_policy.Step
    ) -> attempts.Attempt | handing.HandOverAttempt:
        if step is retry_policy.Step.CONTINUE:
            return self._continuation()
        target = await self.chooser.next_target()
        if not isinstance(target, placing.Choice):
            self.copy_upstream = None
            self.tried_peers.add(target.name)
            return handing.HandOverAttempt(self, target)
        self.tried_incarnations.add(target.upstream.incarnation)
        return attempts.Attempt(self, target)

    def cache_scope(self) -> str:
        """Return the scope in which cached parts are shared.

        It is that of the configuration in force, as the request may have
        waited since it was matched.
        """
        organisation = self.route_match.organisation
        return self.state.table().cache_scope(
            organisation.name if organisation else None
        )

    def _handle_failure(
        self,
        failure: relaying.AttemptFailed,
        attempt: attempts.Attempt | handing.HandOverAttempt,
    ) -> retry_policy.Step:
        """Record a failed attempt and return the next step."""
        kind = failure.kind
        attempt.record_failure(kind)
        is_unreached = kind is retry_policy.FailureKind.NOT_REACHED
        self.unreached_attempts += is_unreached and not attempt.is_handed_over
        if not attempt.is_declined:
            self._count_end(kind not in retry_policy.PROVES_NOT_RUN)
        was_sent = not is_unreached and not attempt.evidence.unsent
        step = self._apply_retry_budget(kind, self._step_after(kind), was_sent)
        is_charged = was_sent and step in _BEGINNING_STEPS
        self._record_end(attempt, kind.value, step, is_charged=is_charged)
        return step

    def _step_after(self, kind: retry_policy.FailureKind) -> retry_policy.Step:
        if self.race.running:
            # What follows is decided, and charged, beside those.
            return retry_policy.Step.WAIT
        if self.is_quarantined() or self._is_out_of_reach():
            return retry_policy.Step.GIVE_UP
        return retry_policy.next_step(
            kind,
            self._current_progress(),
            self.route,
            remaining_s=self.remaining_s(),
        )

    def _count_end(self, may_have_run: bool) -> None:
        self.progress = attrs.evolve(
            self._current_progress(),
            attempts=self.progress.attempts + 1,
            possible_runs=self.progress.possible_runs + may_have_run,
        )

    def _record_end(
        self,
        attempt: racing.Attempt,
        ended: str,
        step: retry_policy.Step,
        *,
        is_charged: bool = False,
    ) -> None:
        evidence = attempt.evidence
        decisions.record(
            decisions.TryEnded(
                request_id=self.call.request_id,
                upstream=attempt.target,
                attempt=self.progress.attempts,
                ended=ended,
                after_s=clock.now_s() - self.request.began_s,
                may_have_run=bool(self.progress.possible_runs),
                events=self.progress.events,
                next_step=step.value,
                budget_left=self.state.retries_left(
                    self.service, clock.now_s()
                ),
                budget_routers=self.state.fleet(clock.now_s()).routers,
                is_charged=is_charged,
                carried_requests=evidence.carried_requests,
                identity=evidence.identity.value,
                silence=evidence.silence.value,
                unsent=evidence.unsent,
                fault=evidence.fault,
                silent_s=evidence.silent_s,
                stalled_s=evidence.stalled_s,
                copy_at=self.copy_upstream.incarnation
                if self.copy_upstream
                else "",
            )
        )

    def _is_out_of_reach(self) -> bool:
        """Whether the origin had better offer the request to another peer."""
        return (
            self.is_taken_over
            and self.unreached_attempts >= handover_choice.MAX_UNREACHED
        )

    def _apply_retry_budget(
        self,
        failure_kind: retry_policy.FailureKind,
        step: retry_policy.Step,
        was_sent: bool,
    ) -> retry_policy.Step:
        # An attempt that reached no upstream adds no load there.
        begins = step in _BEGINNING_STEPS
        if not begins or not was_sent or self._spend_retry(failure_kind):
            return step
        metrics.count_refusal("retry_budget_spent", retry_policy.STEP)
        return retry_policy.Step.GIVE_UP

    def reserve_retry(self) -> bool:
        """Charge the retry budget for the next attempt, if it allows one."""
        if not self.has_reserved_retry:
            self.has_reserved_retry = self.state.spend_retry(
                self.service, clock.now_s()
            )
        return self.has_reserved_retry

    def _spend_retry(self, cause: retry_policy.FailureKind) -> bool:
        if not self.reserve_retry():
            return False
        self.has_reserved_retry = False
        metrics.count_retry(cause.value)
        return True

    def _streamed_s(self) -> float:
        """Return the time since the first event was delivered."""
        if not self.progress.events:
            return 0.0
        return clock.now_s() - self.first_event_at_s

    def can_continue_from_copy(self) -> bool:
        """Whether another engine can now continue the run from its copy."""
        return self._current_progress().can_continue_from_copy

    def _current_progress(self) -> retry_policy.Progress:
        return attrs.evolve(
            self.progress,
            streamed_s=self._streamed_s(),
            is_copy_requested=self.copy_may_exist(),
        )

    def _progress_with_running(self) -> retry_policy.Progress:
        """Return the progress as if no running attempt brought an answer."""
        progress = self._current_progress()
        running = len(self.race.running)
        return attrs.evolve(
            progress,
            attempts=progress.attempts + running,
            possible_runs=progress.possible_runs + self._sent_attempts(),
        )

    def copy_may_exist(self) -> bool:
        """Whether the backup engine may still hold its copy of the run."""
        if self.copy_upstream is None:
            return False
        gate = self.state.gate
        if not gate.permission(self.copy_upstream, clock.now_s()).is_given:
            return False
        weights = self.copy_upstream.weights
        known = self.state.registry.get(self.copy_upstream.incarnation)
        if known.weights != weights:
            return False
        # If the running engine has loaded new weights, its KV cache mixes
        # both versions.
        runner = self.state.registry.get(self.upstream)
        return runner is None or runner.weights == weights

    def _memory(
        self, last_weights: Mapping[str, int] | None = None
    ) -> run_memory.Memory:
        """Return what is known of the weights that made the run's memory.

        Parameters
        ----------
        last_weights : mapping of str to int or None
            Weights that its engine had after its end, by its own report.
        """
        if not self.copy_may_exist():
            return run_memory.Memory.CHANGED
        now_s = clock.now_s()
        name = self.call.prompt.model
        newest = self.state.newest_weights.get(name)
        return run_memory.judge(
            self.copy_upstream.weights.get(name, 0),
            last_version=None
            if last_weights is None
            else last_weights.get(name, 0),
            newest_version=newest.version if newest else 0,
            is_current=self.state.streams.is_current(now_s),
        )

    def record_stated_weights(
        self, upstream: model.Upstream, expected: int | None, stated: int
    ) -> None:
        """Record the weights that an answer states, in its head or later.

        Parameters
        ----------
        upstream : model.Upstream
            The engine.
        expected, stated : int or None
            Version that was asked for, and the one that is stated.
        """
        self.state.record_engine_weights(
            upstream.incarnation, self.call.prompt.model, stated
        )
        if stated != expected:
            # Its memory mixes both versions, and so does any copy of it.
            self.copy_upstream = None

    async def _give_up(
        self,
        failure: relaying.AttemptFailed,
        attempt: attempts.Attempt | handing.HandOverAttempt,
    ) -> None:
        if failure.answer is not None and not self.answer.started:
            head, body = failure.answer
            await self.send_answer(head, body)
            return
        self.refuse_if_quarantined()
        raise retry_policy.final_error(
            failure.kind,
            self.progress,
            attempt.target,
            self.chooser.retry_after_s(clock.now_s()),
        )

    def is_quarantined(self) -> bool:
        """Whether upstreams crashed at the request, or at a part of it."""
        return self.screen.is_quarantined(time.time())

    def refuse_if_quarantined(self) -> None:
        """Raise RudderError if the request is quarantined."""
        if self.is_quarantined():
            ran = errors.Ran.NOT_RUN
            if self.possible_runs():
                ran = errors.Ran.UNKNOWN
            raise self.screen.error(ran)

    @contextlib.contextmanager
    def screened(self) -> Iterator[None]:
        """Refuse a quarantined request, or let the block execute it."""
        self.refuse_if_quarantined()
        try:
            yield
        finally:
            self.screen.end_trials()

    # Answer to the caller.

    def _record_first_part(self, status: int) -> None:
        self.status = status
        self.first_part_s = clock.now_s() - self.request.began_s

    async def send_answer(self, head: message.AnswerHead, body: bytes) -> None:
        """Send a complete upstream answer to the caller."""
        self._record_first_part(head.status)
        headers = message.end_to_end(head.headers, (b"content-length",))
        await self.answer.send_whole(head.status, headers, body)

    async def start_stream(self, head: message.AnswerHead) -> None:
        """Send the head of a streamed upstream answer to the caller."""
        self._record_first_part(head.status)
        headers = message.end_to_end(head.headers, (b"content-length",))
        await self.answer.start(head.status, headers)
