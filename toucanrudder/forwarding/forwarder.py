"""One request's way: route, upstream, answer, and what follows failures."""

import asyncio
from collections.abc import Callable
import time

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import events
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import poison
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import tries
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.http1 import server
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics

#: Longest answer that is held until it is whole, so that a broken one can
#: still be tried elsewhere or be answered as a failure.
MAX_HELD_BYTES = 262_144

#: Seconds for a new connection: several round trips between zones and no
#: retransmission, which takes a second; a second try elsewhere is faster.
CONNECT_S = 0.3

#: A request that may run once is sent on a kept connection only if that
#: was used this lately: one that crosses the upstream's close cannot be
#: sent again, as nothing proves that it has not run.
FRESH_IDLE_S = 0.5

#: Objectives after which a request that may be repeated is taken from an
#: upstream that has not begun to answer, and given to another.
PATIENCE_OBJECTIVES = 3.0

#: The same for a stream of whose run another engine holds a copy.  An
#: answer that is lost without a reset shows by nothing else, and callers
#: leave after four objectives.
PATIENCE_COPY_OBJECTIVES = 2.5

#: Pauses (longest allowed between two events) after which a stream that
#: may be resumed goes on elsewhere.
PATIENCE_GAPS = 2.5

#: Objectives that must be left until the end of a planned stop for a
#: request to be taken: while engines are overloaded, one in a hundred
#: takes five of them.
STOPPING_OBJECTIVES = 6.0

#: Statuses by which callers take it that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: When a refused caller is to come back, if nothing better is known: a
#: slot of a plain service frees within about its mean work time.
RETRY_AFTER_S = 0.25

#: Part of a caller's remaining time that a request may wait here: it must
#: leave him time to come back.
WAIT_LEFT_SHARE = 0.25

#: How long an upstream that was full is left alone.
FULL_S = 0.05


class TryEnded(Exception):
    """A try ended without a whole answer.

    Parameters
    ----------
    ended : tries.Ended
        How.
    held : tuple or None
        Head and body of a failure that the upstream answered with.
    """

    def __init__(self, ended: tries.Ended, held=None):
        super().__init__(ended.value)
        self.ended = ended
        self.held = held


_ENDED = {
    client.Fault.NOT_CONNECTED: tries.Ended.NOT_REACHED,
    client.Fault.RESET: tries.Ended.BROKEN,
    client.Fault.CLOSED: tries.Ended.BROKEN,
    client.Fault.NOT_HTTP: tries.Ended.CROSSED,
    client.Fault.TIMEOUT: tries.Ended.SILENT,
}


def _ended(error: client.ExchangeError) -> tries.Ended:
    if not error.sent:
        return tries.Ended.NOT_REACHED
    return _ENDED[error.fault]


def _refused(facts: dialects.Facts) -> tries.Ended | None:
    """Return how the upstream proved that it has not run the request."""
    if facts.is_elsewhere:
        return tries.Ended.NOT_THERE
    if facts.has_other_weights:
        return tries.Ended.OTHER_WEIGHTS
    return tries.Ended.FULL if facts.has_not_run else None


class Forwarder:
    """Answers callers' requests.

    Parameters
    ----------
    state : states.ForwardingState
        This router's tables.
    dialect : dialects.Dialect
        Says and reads what is on the wire.
    """

    def __init__(
        self, state: states.ForwardingState, dialect: dialects.Dialect
    ):
        self.state = state
        self.dialect = dialect

    async def handle(
        self, request: server.Request, answer: server.Answer
    ) -> None:
        """Answer one request, whatever happens."""
        seen = _Seen()
        self.state.open_requests += 1
        try:
            await self._handle(request, answer, seen)
        except errors.RudderError as error:
            after_s = clock.now_s() - request.began_s
            await self._refuse(answer, error, seen, after_s)
        except (asyncio.CancelledError, server.CallerGone):
            after_s = clock.now_s() - request.began_s
            decisions.record(
                decisions.CallerLeft(
                    request_id=seen.request_id,
                    route=seen.route,
                    after_s=after_s,
                    attempts=seen.tries(),
                )
            )
            _observe(seen.kind, "left", after_s)
            raise
        finally:
            self.state.open_requests -= 1

    async def _handle(self, request, answer, seen: "_Seen") -> None:
        call = self.dialect.call(request.head)
        seen.request_id = call.request_id
        matched = self.state.table().match(call)
        route = matched.route
        seen.route, seen.kind = route.name, route.repetition.value
        self._check_stopping(route)
        self._check_poison(request, matched)
        service = routing.service_of(route, self.state.rng)
        forwarding = Forwarding(
            self.state, self.dialect, request, answer, matched, service
        )
        seen.tries = lambda: forwarding.progress.tries
        await forwarding.run()
        forwarding.note_answered()

    def _check_stopping(self, route: model.Route) -> None:
        """Refuse what would be cut at the end of a planned stop.

        A caller who keeps using his connection gets his answer as long as
        it can be whole by then; later he is sent to another router at
        once, instead of losing a request half-way.
        """
        end_s = clock.now_s() + STOPPING_OBJECTIVES * route.objective_s
        if end_s > self.state.stop_at_s:
            raise errors.RudderError(
                errors.Code.STOPPING,
                "this router is stopping",
                step=tries.STEP,
                retry_after_s=0.0,
            )

    def _check_poison(self, request, matched: routing.Matched) -> None:
        if _is_poison(self.state, request, matched):
            # It has not run this time, but must not be sent again: "not
            # run, come back" would bring it back for ever.
            raise errors.RudderError(
                errors.Code.UPSTREAM_FAILED,
                "upstreams broke off under this request again and again",
                step="quarantine",
                ran=errors.Ran.UNKNOWN,
            )

    async def _refuse(
        self,
        answer: server.Answer,
        error: errors.RudderError,
        seen: "_Seen",
        after_s: float,
    ) -> None:
        metrics.refused(error.code.value, error.step)
        _observe(seen.kind, "refused", after_s)
        decisions.record(
            decisions.Refused(
                request_id=seen.request_id,
                route=seen.route,
                code=error.code.value,
                status=0 if answer.started else error.status,
                ran=error.ran.value,
                retry_after_s=error.retry_after_s,
                after_s=after_s,
                peer=error.peer,
                detail=error.message,
            )
        )
        if answer.started:
            answer.abort()
            return
        headers, body = self.dialect.error(error, seen.request_id)
        await answer.whole(error.status, headers, body)


def _fingerprint(request, matched: routing.Matched) -> str:
    organisation = matched.organisation
    return poison.fingerprint(
        organisation.name if organisation else "",
        request.head.target,
        request.body,
    )


def _is_poison(
    state: states.ForwardingState, request, matched: routing.Matched
) -> bool:
    breaks = state.breaks
    # Hashing a body for each request would be paid for by all the others.
    return not breaks.is_empty and breaks.is_poison(
        _fingerprint(request, matched)
    )


@attrs.define
class _Seen:
    """What is known of a request, for the log."""

    request_id: str = ""
    route: str = ""
    kind: str = "unknown"
    tries: Callable[[], int] = lambda: 0


def _observe(kind: str, outcome: str, seconds: float) -> None:
    metrics.histogram(
        "toucanrudder_request_seconds", "s", "From first byte to the end"
    ).record(seconds, {"kind": kind, "outcome": outcome})


@attrs.define(eq=False)
class Forwarding:
    """One request's way over one or more upstreams."""

    state: states.ForwardingState
    dialect: dialects.Dialect
    request: server.Request
    answer: server.Answer
    matched: routing.Matched
    service: str
    deadline_s: float = 0.0
    progress: tries.Progress = attrs.field(factory=tries.Progress)
    last_event: str | None = None
    tried: set[str] = attrs.field(factory=set)
    upstream: str = ""
    status: int = 0
    first_s: float = 0.0
    copy_at: model.Upstream | None = None
    continues: bool = False
    _in_doubt: bool = False

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
        wait_s = self.route.timeout_s
        if self.call.wait_s is not None:
            wait_s = min(wait_s, self.call.wait_s)
        self.deadline_s = self.request.began_s + wait_s
        self.last_event = self.call.resume_after
        self.state.budget(self.service).request(now_s)
        try:
            async with asyncio.timeout(self.deadline_s - now_s):
                await self._tried()
        except TimeoutError:
            raise self._late() from None

    def note_answered(self) -> None:
        """Write down that the caller has got a whole answer."""
        whole_s = clock.now_s() - self.request.began_s
        decisions.record(
            decisions.Answered(
                request_id=self.call.request_id,
                route=self.route.name,
                upstream=self.upstream,
                status=self.status,
                attempts=self.progress.tries + 1,
                first_s=self.first_s,
                whole_s=whole_s,
                events=self.progress.events,
            )
        )
        kind = self.route.repetition.value
        _observe(kind, "answered" if self.status < 500 else "failed", whole_s)
        metrics.histogram(
            "toucanrudder_first_part_seconds", "s", "Until the answer began"
        ).record(self.first_s, {"kind": kind})

    def _late(self) -> errors.RudderError:
        if self._in_doubt or self.progress.may_have_run:
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

    def _left_s(self) -> float:
        return self.deadline_s - clock.now_s()

    async def _tried(self) -> None:
        choice = await self._chosen()
        while True:
            upstream = choice.upstream
            self.tried.add(upstream.incarnation)
            try:
                await self._try(choice)
                return
            except TryEnded as failure:
                step = self._after(failure, upstream)
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
        wait_s = min(
            self.route.objective_s / 2, WAIT_LEFT_SHARE * self._left_s()
        )
        give_up_s = clock.now_s() + wait_s
        while True:
            try:
                return self._choose()
            except errors.RudderError as error:
                is_full = error.code is errors.Code.QUEUE_FULL
                if not is_full or clock.now_s() >= give_up_s:
                    raise
            await asyncio.sleep(FULL_S / 2)

    def _choose(self) -> placing.Choice:
        now_s = clock.now_s()
        candidates = self.state.candidates(
            self.service, self.call.prompt, time.monotonic()
        )
        usable = placing.usable(candidates, now_s)
        usable = [
            each
            for each in usable
            if each.upstream.incarnation not in self.tried
        ] or usable
        if not usable:
            raise self._nobody(candidates)
        if self.call.prompt is not None:
            choice = placing.for_prompt(
                self.call.prompt,
                self._wall(),
                usable,
                self.state.cache,
                now_s=now_s,
            )
            self.copy_at = self._place_for_copy(choice, candidates, now_s)
            return choice
        return placing.for_plain(
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
        return placing.backup_for(
            choice, self.call.prompt, engine, candidates, now_s
        )

    def _nobody(self, candidates) -> errors.RudderError:
        if self.progress.may_have_run:
            return tries.refusal(
                tries.Ended.BROKEN, self.progress, self.service, 0.0
            )
        code = errors.Code.QUEUE_FULL
        if not candidates:
            code = errors.Code.NO_UPSTREAM
        return errors.RudderError(
            code,
            "no upstream can take the request now",
            step=tries.STEP,
            peer=self.service,
            retry_after_s=RETRY_AFTER_S,
        )

    def _wall(self) -> str:
        organisation = self.matched.organisation
        if organisation is not None and organisation.is_isolated:
            return organisation.name
        return ""

    def _after(
        self, failure: TryEnded, upstream: model.Upstream
    ) -> tries.Step:
        """Note how a try ended; say what is to follow."""
        ended = failure.ended
        self._blame(ended, upstream)
        self._in_doubt = False
        ran = ended not in tries.PROVES_NOT_RUN
        self.progress = attrs.evolve(
            self.progress,
            tries=self.progress.tries + 1,
            may_have_run=self.progress.may_have_run + ran,
            has_copy=self._has_copy(),
        )
        self.continues = False
        step = tries.next_step(
            ended, self.progress, self.route, left_s=self._left_s()
        )
        if _is_poison(self.state, self.request, self.matched):
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
                budget_left=self.state.budget(self.service).saved,
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
        if not self.state.budget(self.service).spend(clock.now_s()):
            metrics.refused("retry_budget_spent", tries.STEP)
            return tries.Step.GIVE_UP
        metrics.retried(ended.value)
        return step

    def _has_copy(self) -> bool:
        if self.copy_at is None:
            return False
        known = self.state.registry.get(self.copy_at.incarnation)
        return (
            known is not None
            and not known.is_leaving
            and known.weights == self.copy_at.weights
        )

    def _blame(self, ended: tries.Ended, upstream: model.Upstream) -> None:
        now_s = clock.now_s()
        name = upstream.incarnation
        if ended is tries.Ended.FULL:
            self.state.states.full(name, now_s, FULL_S)
        elif ended is tries.Ended.FAILED:
            self.state.states.erred(name)
        elif ended is tries.Ended.OTHER_WEIGHTS:
            self.state.doubt_weights(upstream)
        else:
            self.state.states.failed(name, now_s)
        if ended is tries.Ended.BROKEN:
            self.state.breaks.broke(
                _fingerprint(self.request, self.matched),
                upstream,
                time.time(),
            )

    async def _give_up(
        self, failure: TryEnded, upstream: model.Upstream
    ) -> None:
        if failure.held is not None and not self.answer.started:
            head, body = failure.held
            await self._pass_on(head, body)
            return
        raise tries.refusal(
            failure.ended,
            self.progress,
            upstream.incarnation,
            RETRY_AFTER_S,
        )

    # One try.

    async def _try(self, choice: placing.Choice) -> None:
        upstream = choice.upstream
        name = self.upstream = upstream.incarnation
        with self.state.states.request(name, choice.missing_tokens) as sent:
            try:
                async with self._connection(upstream) as connection:
                    self._send(connection, choice)
                    failure = await self._receive(connection, upstream, sent)
            except client.ExchangeError as error:
                raise TryEnded(_ended(error)) from error
        if failure is not None:
            raise failure
        self.state.states.succeeded(name)

    def _connection(self, upstream: model.Upstream):
        newest_idle_s = float("inf")
        if self.route.repetition is model.Repetition.ONCE:
            newest_idle_s = FRESH_IDLE_S
        return self.state.pool.connection(
            upstream.address,
            connect_timeout_s=min(CONNECT_S, self._left_s()),
            clock=clock.now_s,
            newest_idle_s=newest_idle_s,
        )

    def _send(
        self, connection: client.UpstreamConnection, choice: placing.Choice
    ) -> None:
        upstream = choice.upstream
        if self.state.registry.get(upstream.incarnation) is None:
            # It went while the connection was being opened.
            raise TryEnded(tries.Ended.NOT_THERE)
        head = self.dialect.request(
            self.request.head,
            self.request.body,
            self.matched,
            dialects.Instructions(
                upstream=upstream,
                left_s=self._left_s(),
                salt=self._salt(upstream),
                weights_version=self._version(upstream),
                resume_after=self.last_event,
                fetch_from=choice.copy_from,
                copy_to=self.copy_at.address if self.copy_at else "",
                continue_at=upstream.address if self.continues else "",
            ),
        )
        self._note_placed(choice)
        connection.send(head, self.request.body)
        self._in_doubt = True

    def _note_placed(self, choice: placing.Choice) -> None:
        now_s = clock.now_s()
        upstream = choice.upstream
        state = self.state.states.of(upstream.incarnation)
        organisation = self.matched.organisation
        version = self._version(upstream)
        age_s = 0.0
        if version is not None:
            named = self.state.newest_weights.get(self.call.prompt.model)
            age_s = named.age_s(version, now_s) if named else 0.0
        decisions.record(
            decisions.Placed(
                request_id=self.call.request_id,
                organisation=organisation.name if organisation else "",
                route=self.route.name,
                upstream=upstream.incarnation,
                attempt=self.progress.tries + 1,
                reason=choice.reason,
                left_s=self._left_s(),
                generation=self.state.generation,
                weights_version=version,
                weights_age_s=age_s,
                missing_tokens=choice.missing_tokens,
                copy_from=choice.copy_from,
                own_requests=state.requests,
                told_requests=state.others(now_s),
                told_age_s=now_s - state.load_at_s if state.load else None,
                candidates=choice.candidates,
                known=len(self.state.registry.of(self.service)),
                routers=self.state.live_routers(),
            )
        )

    def _version(self, upstream: model.Upstream) -> int | None:
        if self.call.prompt is None:
            return None
        return upstream.weights.get(self.call.prompt.model)

    def _salt(self, upstream: model.Upstream) -> str:
        return cache.salt(self._wall(), self._version(upstream))

    def _patience_s(self) -> float | None:
        """Return how long the first part of an answer may take."""
        if self._has_copy():
            return PATIENCE_COPY_OBJECTIVES * self.route.objective_s
        if self.route.repetition is model.Repetition.ONCE:
            return None
        if self.progress.may_have_run + 1 >= self.route.max_upstreams:
            return None
        return PATIENCE_OBJECTIVES * self.route.objective_s

    async def _receive(self, connection, upstream, sent) -> TryEnded | None:
        """Pass the answer on; return what it says of a request not served.

        A returned failure has left the connection fit for further use.
        """
        try:
            async with asyncio.timeout(self._patience_s()):
                head = await connection.next_event()
        except TimeoutError:
            raise TryEnded(tries.Ended.SILENT) from None
        facts = self.dialect.facts(self.call, upstream, head)
        self._learn(upstream, facts)
        if not facts.is_for:
            raise TryEnded(tries.Ended.CROSSED)
        connection.keep_for_s = pool.keep_for_s(head.headers)
        refused = _refused(facts)
        if refused is not None:
            await self._read_rest(connection)
            return TryEnded(refused)
        if head.status < 300 and not facts.is_sealed:
            raise TryEnded(tries.Ended.CROSSED)
        if head.status < 300 and self.route.is_stream:
            await self._relay_stream(connection, head, upstream, sent)
            return None
        return await self._hold(connection, head, facts)

    def _learn(self, upstream, facts) -> None:
        now_s = clock.now_s()
        if facts.load is not None and facts.is_for:
            self.state.states.told(upstream.incarnation, facts.load, now_s)
        if facts.weights_version is not None and self.call.prompt:
            self.state.registry.has_weights(
                upstream.incarnation,
                self.call.prompt.model,
                facts.weights_version,
            )

    async def _read_rest(self, connection) -> None:
        try:
            await self._read_body(connection)
        except client.ExchangeError:
            # The head has proved that the request has not run; only the
            # connection is of no more use.
            connection.keep_for_s = None

    async def _read_body(self, connection) -> bytes:
        body = bytearray()
        while True:
            event = await connection.next_event()
            if isinstance(event, client.End):
                return bytes(body)
            body += event.content
            if len(body) > MAX_HELD_BYTES:
                raise TryEnded(tries.Ended.CROSSED)

    async def _hold(self, connection, head, facts) -> TryEnded | None:
        """Read a whole answer, then pass it on or return it as a failure."""
        body = await self._read_body(connection)
        if head.status < 500 and facts.is_sealed:
            await self._pass_on(head, body)
            return None
        # The upstream did not prove that it has not run the request, so a
        # status that says so to the caller is not passed on.
        true = facts.is_sealed and head.status not in NOT_RUN_STATUSES
        return TryEnded(tries.Ended.FAILED, (head, body) if true else None)

    def _note_first(self, status: int) -> None:
        self.status = status
        self.first_s = clock.now_s() - self.request.began_s

    async def _pass_on(self, head: message.AnswerHead, body: bytes) -> None:
        self._note_first(head.status)
        headers = message.end_to_end(head.headers, (b"content-length",))
        await self.answer.whole(head.status, headers, body)

    async def _relay_stream(self, connection, head, upstream, sent) -> None:
        splitter = events.EventSplitter()
        while True:
            event = await self._next_piece(connection)
            if isinstance(event, client.End):
                break
            try:
                whole = splitter.feed(event.content)
            except ValueError:
                raise TryEnded(tries.Ended.CROSSED) from None
            if whole:
                if sent.prefill_tokens:
                    sent.first()
                    self._has_read(upstream)
                await self._pass_events(head, whole)
        if splitter.rest:
            raise TryEnded(tries.Ended.BROKEN)
        if not self.answer.started:
            await self._start(head)
        await self.answer.end()

    def _has_read(self, upstream: model.Upstream) -> None:
        if self.call.prompt is not None:
            self.state.cache.read(
                upstream.incarnation,
                self._salt(upstream),
                self.call.prompt.parts,
            )

    async def _next_piece(self, connection):
        limit_s = None
        resumable = self.route.repetition is model.Repetition.RESUMABLE
        if resumable or self._has_copy():
            limit_s = PATIENCE_GAPS * self.route.event_gap_s
            if not self.progress.events:
                limit_s = self._patience_s()
        try:
            async with asyncio.timeout(limit_s):
                return await connection.next_event()
        except TimeoutError:
            raise TryEnded(tries.Ended.SILENT) from None

    async def _pass_events(
        self, head: message.AnswerHead, whole: list[bytes]
    ) -> None:
        if not self.answer.started:
            await self._start(head)
        await self.answer.write(b"".join(whole))
        last = self.dialect.event_id(whole[-1])
        if last is not None:
            self.last_event = last
        self.progress = attrs.evolve(
            self.progress,
            events=self.progress.events + len(whole),
            can_resume=last is not None,
        )

    async def _start(self, head: message.AnswerHead) -> None:
        self._note_first(head.status)
        headers = message.end_to_end(head.headers, (b"content-length",))
        await self.answer.start(head.status, headers)
