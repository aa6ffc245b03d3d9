"""One try of a request at one upstream."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from toucanrudder import clock
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import events
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import tries
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.observability import decisions

if TYPE_CHECKING:
    from toucanrudder.forwarding import course as courses

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

#: Pauses (longest allowed between two events) of silence after which a
#: stream is taken for lost, or its engine is asked about it.
PATIENCE_GAPS = 2.5

#: Least seconds of silence before a question about a run.
ASK_S = 0.15

#: Seconds within which an engine is to notice that its connection was
#: closed.
STOPS_WITHIN_S = 1.0

#: Statuses by which callers take it that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


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


def _identity(facts: dialects.Facts) -> tries.Identity:
    if facts.is_anonymous:
        return tries.Identity.MISSING
    return tries.Identity.SENT if facts.is_for else tries.Identity.OTHER


def _is_for(facts: dialects.Facts, *, reused: bool) -> bool:
    """Return whether an answer is that to the request under way.

    An upstream that refuses before it has read the request cannot name
    it.  On a connection that has carried another request, the refusal may
    be that one's, left over or sent twice, while this one runs.
    """
    if facts.is_anonymous:
        return not reused and _refused(facts) is not None
    return facts.is_for


@attrs.define(eq=False)
class Attempt:
    """A request at the upstream that was chosen for it.

    Parameters
    ----------
    course : courses.Course
        The request's way so far.
    choice : placing.Choice
        Where it goes now.
    """

    course: "courses.Course"
    choice: placing.Choice
    sent_at_s: float = 0.0
    evidence: tries.Evidence = attrs.field(factory=tries.Evidence)

    @property
    def state(self) -> states.ForwardingState:
        """This router's tables."""
        return self.course.state

    @property
    def route(self) -> model.Route:
        """The request's route."""
        return self.course.route

    @property
    def prompt(self) -> model.Prompt | None:
        """What the request asks a model."""
        return self.course.call.prompt

    async def run(self) -> None:
        """Pass the upstream's whole answer on to the caller.

        Raises
        ------
        TryEnded
            There was none.
        """
        choice = self.choice
        upstream = choice.upstream
        name = self.course.upstream = upstream.incarnation
        with self.state.states.track_request(
            name, choice.missing_tokens
        ) as sent:
            try:
                async with self._connection(upstream) as connection:
                    self._send(connection, choice)
                    failure = await self._receive(connection, upstream, sent)
            except client.ExchangeError as error:
                raise TryEnded(_ended(error)) from error
            except TryEnded:
                await self._wait_until_stopped()
                raise
        if failure is not None:
            raise failure
        self.state.states.record_success(name)

    def _connection(self, upstream: model.Upstream):
        newest_idle_s = float("inf")
        if self.route.repetition is model.Repetition.ONCE:
            newest_idle_s = FRESH_IDLE_S
        return self.state.pool.connection(
            upstream.address,
            connect_timeout_s=min(CONNECT_S, self.course.left_s()),
            clock=clock.now_s,
            newest_idle_s=newest_idle_s,
            without=self.course.sent_on,
        )

    def _send(
        self, connection: client.UpstreamConnection, choice: placing.Choice
    ) -> None:
        upstream = choice.upstream
        if self.state.registry.get(upstream.incarnation) is None:
            # It went while the connection was being opened.
            raise TryEnded(tries.Ended.NOT_THERE)
        copy_at = self.course.copy_at
        head = self.course.dialect.request(
            self.course.request.head,
            self.course.request.body,
            self.course.matched,
            dialects.Instructions(
                upstream=upstream,
                left_s=self.course.left_s(),
                salt=self._salt(upstream),
                weights_version=self._version(upstream),
                resume_after=self.course.last_event,
                fetch_from=choice.copy_from,
                save_to=choice.save_to,
                copy_to=copy_at.address if copy_at else "",
                continue_at=upstream.address if self.course.continues else "",
            ),
        )
        self._note_placed(choice)
        self.evidence.carried_requests = connection.uses
        self.sent_at_s = clock.now_s()
        self.course.sent_on.append(connection)
        connection.send(head, self.course.request.body)
        self.course.in_doubt = True

    def _note_placed(self, choice: placing.Choice) -> None:
        now_s = clock.now_s()
        upstream = choice.upstream
        state = self.state.states.of(upstream.incarnation)
        organisation = self.course.matched.organisation
        version = self._version(upstream)
        age_s = 0.0
        if version is not None:
            named = self.state.newest_weights.get(self.prompt.model)
            age_s = named.age_s(version, now_s) if named else 0.0
        decisions.record(
            decisions.Placed(
                request_id=self.course.call.request_id,
                organisation=organisation.name if organisation else "",
                route=self.route.name,
                upstream=upstream.incarnation,
                attempt=self.course.attempt_count,
                reason=choice.reason,
                waited_s=now_s - self.course.request.began_s,
                left_s=self.course.left_s(),
                generation=self.state.generation,
                weights_version=version,
                weights_age_s=age_s,
                prompt_tokens=self.prompt.prompt_tokens if self.prompt else 0,
                missing_tokens=choice.missing_tokens,
                copy_from=choice.copy_from,
                save_to=choice.save_to,
                own_requests=state.requests,
                told_requests=state.other_requests(now_s),
                told_age_s=now_s - state.load_at_s if state.load else None,
                candidates=choice.candidates,
                known=len(self.state.registry.of(self.course.service)),
                routers=self.state.live_routers(),
            )
        )

    def _version(self, upstream: model.Upstream) -> int | None:
        if self.prompt is None:
            return None
        return upstream.weights.get(self.prompt.model)

    def _salt(self, upstream: model.Upstream) -> str:
        return cache.make_salt(self.course.wall(), self._version(upstream))

    def _patience_s(self) -> float | None:
        """Return how long the first part of an answer may take."""
        if self.route.repetition is model.Repetition.ONCE:
            # Nothing could follow, and the answer may still come.
            return None
        if self.course.progress.may_have_run + 1 >= self.route.max_upstreams:
            return None
        return PATIENCE_OBJECTIVES * self.route.objective_s

    async def _receive(self, connection, upstream, sent) -> TryEnded | None:
        """Pass the answer on; return what it says of a request not served.

        A returned failure has left the connection fit for further use.
        """
        head = await self._next_event(connection, self._patience_s())
        facts = self.course.dialect.facts(self.course.call, upstream, head)
        self.evidence.identity = _identity(facts)
        if not _is_for(facts, reused=connection.reused):
            # Nothing is learned from it: weights that another engine has
            # would be believed of this one for as long as it lives, and
            # nobody would order it to load them.
            raise TryEnded(tries.Ended.CROSSED)
        self._learn(upstream, facts)
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
        if facts.load is not None:
            self.state.states.record_load(
                upstream.incarnation, facts.load, now_s
            )
        if facts.weights_version is not None and self.prompt:
            self.state.registry.has_weights(
                upstream.incarnation,
                self.prompt.model,
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
        # The upstream did not prove that it has not run the request, so a
        # status that says so to the caller is not passed on.
        is_true = facts.is_sealed and head.status not in NOT_RUN_STATUSES
        if head.status < 500 and is_true:
            await self.course.pass_on(head, body)
            return None
        return TryEnded(tries.Ended.FAILED, (head, body) if is_true else None)

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
                    self._note_read(upstream, sent.prefill_tokens)
                    sent.prefill_done()
                await self._pass_events(head, whole)
        if splitter.rest:
            raise TryEnded(tries.Ended.BROKEN)
        if not self.course.answer.started:
            await self.course.start(head)
        await self.course.answer.end()

    def _note_read(self, upstream: model.Upstream, unread_tokens: int) -> None:
        """Learn from the first event: the prompt has been read."""
        if not self.choice.copied_tokens:
            # A copy takes time of its own.
            self.state.reading.record_prefill(
                self.course.service,
                unread_tokens,
                clock.now_s() - self.sent_at_s,
            )
        if self.prompt is not None:
            self.state.cache.add_parts(
                upstream.incarnation,
                self._salt(upstream),
                self.prompt.parts,
            )

    async def _next_piece(self, connection):
        limit_s = None
        resumable = self.route.repetition is model.Repetition.RESUMABLE
        if resumable or self.course.copy_may_exist():
            limit_s = PATIENCE_GAPS * self.route.event_gap_s
            if not self.course.progress.events:
                limit_s = self._patience_s()
        return await self._next_event(connection, limit_s)

    async def _next_event(self, connection, limit_s: float | None):
        """Return the answer's next part, or end a try that lost it."""
        if limit_s is not None:
            limit_s = max(limit_s, ASK_S)
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    return await connection.next_event()
            except TimeoutError:
                if await self._has_lost(connection):
                    raise TryEnded(tries.Ended.SILENT) from None

    async def _has_lost(self, connection) -> bool:
        """Say whether a silent answer is lost.

        A run that waits for memory, or was put back for a more urgent one,
        is silent as well.  Taken for lost it was cut, and the engine with
        its copy did not always go on: the caller lost an answer that was
        being made.  What may run again is sent elsewhere without asking.

        An engine under pressure gives no report, but its runs go on.  An
        engine that is gone shows by its connection, which the kernel ends
        when the path is silent.  So without a report the engine is asked
        again.
        """
        if self.route.repetition is not model.Repetition.ONCE:
            self.evidence.silence = tries.Silence.NOT_ASKED
            return True
        if not self.course.can_continue():
            # Nothing could follow, and the answer may still come.
            return False
        report = await self.state.ask_engine(self.choice.upstream)
        if report is None:
            self.evidence.silence = tries.Silence.NO_REPORT
            return False
        self.evidence.silence = tries.Silence.NONE
        if connection.has_news:
            # The report may count what came after the question.
            return False
        request_id = self.course.call.request_id
        if not report.has_lost_events(request_id, self.course.progress.events):
            return False
        self.evidence.silence = tries.Silence.NOT_LISTED
        if request_id in report.events:
            self.evidence.silence = tries.Silence.EVENTS_MISSING
        return True

    async def _wait_until_stopped(self) -> None:
        """Wait until an engine whose events were lost has ended its run.

        It worked on when it was last heard, and not every engine notices at
        once that its connection was closed.  What may run once must not go
        on from its copy meanwhile, so one that works on for too long leaves
        no copy to go on from.
        """
        if self.evidence.silence is not tries.Silence.EVENTS_MISSING:
            return
        try:
            async with asyncio.timeout(STOPS_WITHIN_S):
                while self.course.can_continue():
                    if await self._has_stopped():
                        return
                    await asyncio.sleep(ASK_S)
        except TimeoutError:
            self.course.copy_at = None

    async def _has_stopped(self) -> bool:
        report = await self.state.ask_engine(self.choice.upstream)
        request_id = self.course.call.request_id
        return report is not None and request_id not in report.events

    async def _pass_events(
        self, head: message.AnswerHead, whole: list[bytes]
    ) -> None:
        if not self.course.answer.started:
            await self.course.start(head)
        await self.course.answer.write(b"".join(whole))
        self.course.note_events()
        last = self.course.dialect.event_id(whole[-1])
        if last is not None:
            self.course.last_event = last
        self.course.progress = attrs.evolve(
            self.course.progress,
            events=self.course.progress.events + len(whole),
            can_resume=last is not None,
        )
