"""One attempt of a request at one upstream."""

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.forwarding import brittleness
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import relaying
from toucanrudder.forwarding import retry_policy
from toucanrudder.forwarding import state as states
from toucanrudder.http1 import client
from toucanrudder.http1 import pool
from toucanrudder.observability import decisions

if TYPE_CHECKING:
    from toucanrudder.forwarding import execution as executions

#: Timeout of a new connection: several round trips between availability
#: zones, but less than a TCP retransmission (1 s), as a retry elsewhere is
#: faster than that.
CONNECT_TIMEOUT_S = 0.3

#: Longest idle time of a kept-alive connection that carries a request which
#: may run only once.  If the upstream closes the connection just as the
#: request is sent, nothing proves that it has not run, and it cannot be
#: sent again.
MAX_IDLE_RUN_ONCE_S = 0.5

#: Timeout until the first part of an answer, as a multiple of the route's
#: latency objective, after which a repeatable request may be sent to another
#: upstream as well.
FIRST_PART_TIMEOUT_OBJECTIVES = 3.0

#: Silence, as a multiple of the route's longest allowed gap between events,
#: after which another attempt may be made beside a stream, or its engine is
#: asked for a report.
SILENCE_TIMEOUT_GAPS = 2.5

#: Least seconds of silence before the engine is asked about a run.
MIN_SILENCE_S = 0.15

#: Backoff after a refusal by a full upstream.
FULL_BACKOFF_S = 0.05

#: Seconds for which events that an engine has sent must stay missing until
#: they count as lost: two TCP retransmissions.
MISSING_EVENTS_S = 0.7

#: Seconds within which an engine must end a run whose connection was closed.
ENGINE_STOP_TIMEOUT_S = 1.0

#: Statuses that tell callers that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


_KIND_BY_FAULT = {
    client.Fault.NOT_CONNECTED: retry_policy.FailureKind.NOT_REACHED,
    client.Fault.CONNECT_TIMEOUT: retry_policy.FailureKind.NOT_REACHED,
    client.Fault.RESET: retry_policy.FailureKind.BROKEN,
    client.Fault.TIMED_OUT: retry_policy.FailureKind.BROKEN,
    client.Fault.CLOSED: retry_policy.FailureKind.BROKEN,
    client.Fault.NOT_HTTP: retry_policy.FailureKind.CROSSED,
    client.Fault.TIMEOUT: retry_policy.FailureKind.SILENT,
}


def _failure_kind(error: client.ExchangeError) -> retry_policy.FailureKind:
    if not error.sent:
        return retry_policy.FailureKind.NOT_REACHED
    return _KIND_BY_FAULT[error.fault]


def _proof_not_run(
    facts: dialects.AnswerFacts,
) -> retry_policy.FailureKind | None:
    """Return the failure kind of an answer that proves "not run"."""
    if facts.is_other_process:
        return retry_policy.FailureKind.NOT_THERE
    if facts.has_other_weights:
        return retry_policy.FailureKind.OTHER_WEIGHTS
    return retry_policy.FailureKind.FULL if facts.has_not_run else None


def _answer_identity(
    facts: dialects.AnswerFacts,
) -> retry_policy.AnswerIdentity:
    if facts.names_no_request:
        return retry_policy.AnswerIdentity.MISSING
    return (
        retry_policy.AnswerIdentity.SENT
        if facts.is_for_request
        else retry_policy.AnswerIdentity.OTHER
    )


def _matches_request(facts: dialects.AnswerFacts, *, reused: bool) -> bool:
    """Return whether an answer belongs to the current request.

    An upstream that refuses before it has read the request cannot return
    its ID.  On a reused connection such a refusal may be a late or
    duplicate answer to an earlier request while the current one runs.
    """
    if facts.names_no_request:
        return not reused and _proof_not_run(facts) is not None
    return facts.is_for_request


@attrs.define(eq=False)
class Attempt:
    """One attempt of a request at a chosen upstream.

    Parameters
    ----------
    execution : executions.RequestExecution
        The request with its earlier attempts.
    choice : placing.Choice
        The upstream, and where it gets cached parts from.
    continues_copy : bool
        Whether it continues a run from its copy there.

    Attributes
    ----------
    is_sent : bool
        Whether the request may have been sent.
    is_silent : bool
        Whether its answer has made no progress for too long.
    missing_since_s : float or None
        Since when its engine has reported more events than have arrived.
    """

    execution: "executions.RequestExecution"
    choice: placing.Choice
    continues_copy: bool = False
    is_handed_over = False
    is_sent: bool = False
    is_silent: bool = False
    sent_at_s: float = 0.0
    sent_parts: tuple[tuple[str, int], ...] = ()
    was_presumed_dead: bool = False
    progress_at_s: float = 0.0
    progress_running_s: float = 0.0
    missing_since_s: float | None = None
    evidence: retry_policy.Evidence = attrs.field(
        factory=retry_policy.Evidence
    )

    @property
    def target(self) -> str:
        """Incarnation of the upstream, for log lines."""
        return self.choice.upstream.incarnation

    @property
    def software_version(self) -> str:
        """Software of the upstream."""
        return self.choice.upstream.software_version

    @property
    def state(self) -> states.ForwardingState:
        """The shared state of this router."""
        return self.execution.state

    @property
    def route(self) -> model.Route:
        """The request's route."""
        return self.execution.route

    @property
    def prompt(self) -> model.Prompt | None:
        """The request's prompt; None for a plain request."""
        return self.execution.call.prompt

    async def run(self) -> None:
        """Relay the upstream's complete answer to the caller.

        Raises
        ------
        relaying.AttemptFailed
            There was no complete answer.
        """
        choice = self.choice
        upstream = choice.upstream
        name = self.execution.upstream = upstream.incarnation
        with self.state.upstream_stats.track_request(
            name, choice.missing_tokens
        ) as tracked:
            try:
                async with self._connection(upstream) as connection:
                    self._send(connection, choice)
                    failure = await self._receive(
                        connection, upstream, tracked
                    )
            except client.ExchangeError as error:
                self._record_silence()
                self.evidence.fault = error.fault.value
                if not error.sent:
                    self.evidence.unsent = error.fault.value
                raise relaying.AttemptFailed(_failure_kind(error)) from error
            except relaying.AttemptFailed:
                self._record_silence()
                await self._wait_for_engine_stop()
                raise
        if failure is not None:
            raise failure
        self.state.upstream_stats.record_success(name)
        self._record_answered()

    def _record_progress(self) -> None:
        self.progress_at_s = clock.now_s()
        self.progress_running_s = stalls.running_s()
        self.is_silent, self.missing_since_s = False, None
        self.evidence.silence = retry_policy.SilenceFinding.NONE

    def _record_silence(self) -> None:
        if not self.progress_at_s:
            return
        silent_s = clock.now_s() - self.progress_at_s
        running_s = stalls.running_s() - self.progress_running_s
        self.evidence.silent_s = silent_s
        self.evidence.stalled_s = max(0.0, silent_s - running_s)

    def _record_answered(self) -> None:
        if self.prompt is None or self.execution.status >= 300:
            return
        suspicions = self.state.crash_counts.suspicions
        if suspicions.record_answered(
            self.execution.screen.parts, time.time()
        ):
            self.state.tell_crashes()

    def record_failure(self, kind: retry_policy.FailureKind) -> None:
        """Update this router's view of the upstream after a failure."""
        now_s = clock.now_s()
        upstream = self.choice.upstream
        name = upstream.incarnation
        if kind is retry_policy.FailureKind.FULL:
            self._record_full(name, now_s)
        elif kind is retry_policy.FailureKind.FAILED:
            self.state.upstream_stats.record_error(name)
        elif kind is retry_policy.FailureKind.OTHER_WEIGHTS:
            self.state.report_weights_mismatch(upstream)
        else:
            self.state.upstream_stats.record_failure(name, now_s)
        if kind is retry_policy.FailureKind.BROKEN:
            self._record_crash()

    def _record_crash(self) -> None:
        self.execution.screen.record_crash(
            self.choice.upstream,
            self.sent_parts,
            self.execution.progress.events,
            time.time(),
        )
        # The next request may arrive at any router.
        self.state.tell_crashes()

    def _record_full(self, name: str, now_s: float) -> None:
        limit_per_s = self.state.brittle.limit_per_s(
            self.execution.service, now_s
        )
        if limit_per_s is None:
            self.state.upstream_stats.record_full(name, now_s, FULL_BACKOFF_S)
            return
        for_s = brittleness.backoff_s(limit_per_s)
        self.state.upstream_stats.record_full(name, now_s, for_s)
        self.state.tell_full(name, for_s)

    def _connection(self, upstream: model.Upstream):
        max_idle_s = float("inf")
        if self.route.repetition is model.Repetition.ONCE:
            max_idle_s = MAX_IDLE_RUN_ONCE_S
        return self.state.pool.connection(
            upstream.address,
            connect_timeout_s=min(
                CONNECT_TIMEOUT_S, self.execution.remaining_s()
            ),
            clock=clock.now_s,
            max_idle_s=max_idle_s,
            excluded=self.execution.used_connections,
        )

    def _send(
        self, connection: client.UpstreamConnection, choice: placing.Choice
    ) -> None:
        upstream = choice.upstream
        known = self.state.registry.get(upstream.incarnation)
        if known is None or (
            known.software_version != upstream.software_version
        ):
            # It left, or was replaced, while the connection was opened.
            raise relaying.AttemptFailed(retry_policy.FailureKind.NOT_THERE)
        copy_upstream = self.execution.copy_upstream
        head = self.execution.dialect.upstream_request(
            self.execution.request.head,
            self.execution.request.body,
            self.execution.route_match,
            dialects.Instructions(
                upstream=upstream,
                remaining_s=self.execution.remaining_s(),
                salt=self._cache_salt(upstream),
                weights_version=self._weights_version(upstream),
                resume_after=self.execution.last_event_id,
                fetch_from=choice.copy_from,
                save_to=choice.save_to,
                copy_to=copy_upstream.address if copy_upstream else "",
                continue_at=upstream.address if self.continues_copy else "",
            ),
        )
        self.execution.refuse_if_quarantined()
        self._record_placed(choice)
        crash_counts = self.state.crash_counts
        self.sent_parts = crash_counts.sent(self.execution.screen.parts)
        self.was_presumed_dead = crash_counts.is_presumed_dead(
            upstream, time.time()
        )
        self.evidence.carried_requests = connection.uses
        self.sent_at_s = clock.now_s()
        self.execution.used_connections.append(connection)
        self.execution.record_attempt(upstream)
        connection.send(head, self.execution.request.body)
        self._record_progress()
        self.is_sent = True

    def _record_placed(self, choice: placing.Choice) -> None:
        now_s = clock.now_s()
        upstream = choice.upstream
        state = self.state.upstream_stats.of(upstream.incarnation)
        organisation = self.execution.route_match.organisation
        version = self._weights_version(upstream)
        age_s = 0.0
        if version is not None:
            history = self.state.newest_weights.get(self.prompt.model)
            age_s = history.age_s(version, now_s) if history else 0.0
        decisions.record(
            decisions.Placed(
                request_id=self.execution.call.request_id,
                organisation=organisation.name if organisation else "",
                route=self.route.name,
                upstream=upstream.incarnation,
                software_version=upstream.software_version,
                attempt=self.execution.attempt_count,
                resume_after=self.execution.last_event_id,
                resumes=self.execution.call.resumes,
                reason=choice.reason,
                waited_s=now_s - self.execution.request.began_s,
                left_s=self.execution.remaining_s(),
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
                known=len(
                    self.state.registry.for_service(self.execution.service)
                ),
                routers=self.state.live_routers(),
            )
        )

    def _weights_version(self, upstream: model.Upstream) -> int | None:
        if self.prompt is None:
            return None
        return upstream.weights.get(self.prompt.model)

    def _cache_salt(self, upstream: model.Upstream) -> str:
        return cache.make_salt(
            self.execution.cache_scope(), self._weights_version(upstream)
        )

    def _first_part_timeout_s(self) -> float | None:
        """Return the timeout of an answer's first part; None for no limit."""
        if self.route.repetition is model.Repetition.ONCE:
            # No retry is possible, and the answer may still arrive.
            return None
        if self.execution.possible_runs() >= self.route.max_upstreams:
            return None
        return FIRST_PART_TIMEOUT_OBJECTIVES * self.route.objective_s

    async def _receive(
        self, connection, upstream, tracked
    ) -> relaying.AttemptFailed | None:
        """Relay the answer; return the failure that it reports, if any.

        After a returned failure the connection can be reused; after a
        raised one it cannot.
        """
        head = await self._next_event(connection, self._first_part_timeout_s())
        facts = self.execution.dialect.answer_facts(
            self.execution.call, upstream, head
        )
        self.evidence.identity = _answer_identity(facts)
        if not _matches_request(facts, reused=connection.reused):
            # The answer's load and weights are ignored: if they were those
            # of another engine, this one would count as having the new
            # weights for its lifetime and would never be ordered to load
            # them.
            raise relaying.AttemptFailed(retry_policy.FailureKind.CROSSED)
        self._update_from_answer(upstream, facts)
        if facts.is_for_request and self.was_presumed_dead:
            self._record_alive(upstream)
        connection.keep_for_s = pool.keep_for_s(head.headers)
        not_run = _proof_not_run(facts)
        if not_run is not None:
            await self._drain_body(connection)
            return relaying.AttemptFailed(not_run)
        if head.status < 300 and not facts.is_sealed:
            raise relaying.AttemptFailed(retry_policy.FailureKind.CROSSED)
        if head.status < 300 and self.route.is_stream:
            await self._relay_stream(connection, head, upstream, tracked)
            return None
        return await self._buffer_answer(connection, head, facts)

    def _record_alive(self, upstream: model.Upstream) -> None:
        # Where restarts keep their name, another process may have answered.
        if not upstream.started_at_ms:
            self.state.crash_counts.record_alive(upstream, time.time())
            self.was_presumed_dead = False

    def _update_from_answer(self, upstream, facts) -> None:
        now_s = clock.now_s()
        if facts.load is not None:
            self.state.upstream_stats.record_load(
                upstream.incarnation, facts.load, now_s
            )
        self.state.brittle.record(
            upstream.service, facts.refusals_per_s, now_s
        )
        if facts.weights_version is not None and self.prompt:
            self.state.registry.update_weights(
                upstream.incarnation,
                self.prompt.model,
                facts.weights_version,
            )

    async def _drain_body(self, connection) -> None:
        try:
            await relaying.read_body(connection.next_event)
        except client.ExchangeError:
            # The head has proved that the request has not run; only the
            # connection cannot be reused.
            connection.keep_for_s = None

    async def _buffer_answer(
        self, connection, head, facts
    ) -> relaying.AttemptFailed | None:
        """Buffer a whole answer, then relay it or return a failure."""
        body = await relaying.read_body(connection.next_event)
        # Without proof that the request has not run, a status that would
        # tell the caller so is not relayed.
        is_reliable = facts.is_sealed and head.status not in NOT_RUN_STATUSES
        if head.status < 500 and is_reliable:
            self.execution.claim_answer(self)
            await self.execution.send_answer(head, body)
            return None
        return relaying.AttemptFailed(
            retry_policy.FailureKind.FAILED,
            (head, body) if is_reliable else None,
        )

    async def _relay_stream(self, connection, head, upstream, tracked) -> None:
        def record_prompt_read() -> None:
            self.execution.claim_answer(self)
            self.execution.set_origin(upstream.software_version)
            if tracked.prefill_tokens:
                self._record_prompt_read(upstream, tracked.prefill_tokens)
                tracked.prefill_done()

        await relaying.relay_stream(
            self.execution,
            head,
            lambda: self._next_stream_event(connection),
            record_prompt_read,
        )

    def _record_prompt_read(
        self, upstream: model.Upstream, unread_tokens: int
    ) -> None:
        """Update prefill speed and cache index at the first event."""
        if not self.choice.copied_tokens:
            # Copying takes time that is not prefill time.
            self.state.prefill_speeds.record_prefill(
                self.execution.service,
                unread_tokens,
                clock.now_s() - self.sent_at_s,
            )
        if self.prompt is not None:
            self.state.cache.add_parts(
                upstream.incarnation,
                self._cache_salt(upstream),
                self.prompt.parts,
            )

    async def _next_stream_event(self, connection):
        timeout_s = None
        resumable = self.route.repetition is model.Repetition.RESUMABLE
        if resumable or self.execution.copy_may_exist():
            timeout_s = SILENCE_TIMEOUT_GAPS * self.route.event_gap_s
            if not self.execution.progress.events:
                timeout_s = self._first_part_timeout_s()
        return await self._next_event(connection, timeout_s)

    async def _next_event(self, connection, timeout_s: float | None):
        """Return the answer's next part; raise AttemptFailed if it is lost.

        Parameters
        ----------
        timeout_s : float or None
            Silence after which the answer is judged; None for no limit.
        """
        if timeout_s is not None:
            timeout_s = max(timeout_s, MIN_SILENCE_S)
        wait_s = timeout_s
        while True:
            try:
                async with stalls.timeout(wait_s):
                    event = await connection.next_event()
                self._record_progress()
                return event
            except TimeoutError:
                wait_s = await self._judge_silence(connection, timeout_s)

    async def _judge_silence(self, connection, timeout_s: float) -> float:
        """Return how much longer to wait for an answer without progress.

        A run that waits for memory, was preempted by a more urgent one, or
        whose engine stands still makes no progress either, and its answer
        may be on its way.  So it is waited for, and another attempt may be
        made beside it.

        An overloaded engine may send no report although its runs continue.
        An engine that is gone is detected by its connection, which the
        kernel closes when the path is silent.  So if there is no report,
        the engine is asked again later.

        Raises
        ------
        relaying.AttemptFailed
            The engine has sent events that are lost.
        """
        if self.route.repetition is not model.Repetition.ONCE:
            self._record_silent(retry_policy.SilenceFinding.NOT_ASKED)
            return timeout_s
        if not self.execution.can_continue_from_copy():
            return timeout_s
        finding = await self._ask_engine()
        self.evidence.silence = finding
        if connection.has_pending_event:
            # The report may count events that arrived since it was requested.
            return timeout_s
        if finding is retry_policy.SilenceFinding.NOT_LISTED:
            # The run has ended, so its copy can be continued meanwhile.
            self._record_silent(finding)
        if finding is not retry_policy.SilenceFinding.EVENTS_MISSING:
            self.missing_since_s = None
            return timeout_s
        return self._judge_missing_events(timeout_s)

    def _record_silent(self, finding: retry_policy.SilenceFinding) -> None:
        self.evidence.silence = finding
        if not self.is_silent:
            self.state.upstream_stats.record_failure(
                self.choice.upstream.incarnation, clock.now_s()
            )
        self.is_silent = True
        self.execution.race.report_silence(self)

    async def _ask_engine(self) -> retry_policy.SilenceFinding:
        report = await self.state.fetch_engine_report(self.choice.upstream)
        if report is None:
            return retry_policy.SilenceFinding.NO_REPORT
        request_id = self.execution.call.request_id
        received = self.execution.progress.events
        if not report.has_lost_events(request_id, received):
            return retry_policy.SilenceFinding.NONE
        if request_id in report.events:
            return retry_policy.SilenceFinding.EVENTS_MISSING
        return retry_policy.SilenceFinding.NOT_LISTED

    def _judge_missing_events(self, timeout_s: float) -> float:
        """Return how much longer to wait for events that were sent.

        The run must be stopped before its copy is continued, so that it is
        waited for until nothing but the copy can help.
        """
        now_s = stalls.running_s()
        if self.missing_since_s is None:
            self.missing_since_s = now_s
        left_s = self.missing_since_s + MISSING_EVENTS_S - now_s
        if left_s > 0:
            return left_s
        if not self.execution.reserve_retry():
            return timeout_s
        raise relaying.AttemptFailed(retry_policy.FailureKind.SILENT)

    async def _wait_for_engine_stop(self) -> None:
        """Wait until an engine whose events were lost has ended its run.

        The run was still in progress at the last report, and not every
        engine notices immediately that its connection was closed.  A
        request that may run only once must not be continued from its copy
        meanwhile; if the run does not end in time, the copy is not used.
        """
        if (
            self.evidence.silence
            is not retry_policy.SilenceFinding.EVENTS_MISSING
        ):
            return
        try:
            async with stalls.timeout(ENGINE_STOP_TIMEOUT_S):
                while self.execution.can_continue_from_copy():
                    if await self._has_run_ended():
                        return
                    await asyncio.sleep(MIN_SILENCE_S)
        except TimeoutError:
            self.execution.copy_upstream = None

    async def _has_run_ended(self) -> bool:
        report = await self.state.fetch_engine_report(self.choice.upstream)
        request_id = self.execution.call.request_id
        return report is not None and request_id not in report.events
