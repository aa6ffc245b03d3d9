"""One attempt of a request at one upstream."""

import time
from typing import TYPE_CHECKING

import attrs

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import upstream_news
from toucanrudder.forwarding.attempts import cost_learning
from toucanrudder.forwarding.attempts import relaying
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.forwarding.attempts import silence as silences
from toucanrudder.forwarding.statements import answers
from toucanrudder.forwarding.statements import brittleness
from toucanrudder.forwarding.statements import gate
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

#: Silence, as a multiple of the route's longest allowed gap between events,
#: after which another attempt may be made beside a stream, or its engine is
#: asked for a report.
SILENCE_TIMEOUT_GAPS = 2.5

#: Backoff after a refusal by a full upstream.
FULL_BACKOFF_S = 0.05

#: Longest wait for the body of a refusal, which only serves to reuse the
#: connection.
DRAIN_TIMEOUT_S = 0.05

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


def _outlook_fields(outlook: placing.Outlook | None) -> dict[str, object]:
    """Return what the log says of the expected time of a choice."""
    if outlook is None:
        return {}
    return {
        "expected_s": outlook.expected_s,
        "time_factor": outlook.time_factor,
        "slowness": outlook.slowness,
        "work_left_s": outlook.work_left_s,
        "second": outlook.second,
        "second_s": outlook.second_s,
    }


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
    is_replaced : bool
        Whether another process has answered at the upstream's address.
    silence : silences.SilenceJudge
        Judges its answer while that makes no progress.
    """

    execution: "executions.RequestExecution"
    choice: placing.Choice
    continues_copy: bool = False
    is_handed_over = False
    is_declined = False
    is_sent: bool = False
    is_silent: bool = False
    sent_at_s: float = 0.0
    sent_parts: tuple[tuple[str, int], ...] = ()
    sent_salt: str = ""
    was_presumed_dead: bool = False
    is_replaced: bool = False
    evidence: retry_policy.Evidence = attrs.field(
        factory=retry_policy.Evidence
    )
    silence: silences.SilenceJudge = attrs.field(
        default=attrs.Factory(silences.SilenceJudge, takes_self=True)
    )
    costs: cost_learning.AttemptCosts = attrs.field(
        default=attrs.Factory(
            lambda self: cost_learning.AttemptCosts(
                self.execution, self.choice
            ),
            takes_self=True,
        )
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
        with (
            self.costs.counted(),
            self.state.upstream_stats.track_request(
                name, choice.missing_tokens
            ) as tracked,
        ):
            try:
                async with self._connection(upstream) as connection:
                    self._send(connection, choice)
                    failure = await self._receive(
                        connection, upstream, tracked
                    )
            except client.ExchangeError as error:
                self.silence.record_end()
                self.evidence.fault = error.fault.value
                if not error.sent:
                    self.evidence.unsent = error.fault.value
                raise relaying.AttemptFailed(_failure_kind(error)) from error
            except relaying.AttemptFailed:
                self.silence.record_end()
                raise
        if failure is not None:
            raise failure
        self.state.upstream_stats.record_success(name, clock.now_s())
        self._record_answered()

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
        if kind is retry_policy.FailureKind.NO_ROOM:
            return
        now_s = clock.now_s()
        upstream = self.choice.upstream
        name = upstream.incarnation
        if kind is retry_policy.FailureKind.FULL:
            self._record_full(name, now_s)
        elif self.is_replaced and self._is_told():
            self._record_replaced(upstream, now_s)
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

    def _is_told(self) -> bool:
        return upstream_news.is_told(self.state.live_routers())

    def _record_replaced(self, upstream: model.Upstream, now_s: float) -> None:
        name = upstream.incarnation
        self.state.upstream_stats.record_failure(name, now_s)
        for_s = upstream_news.replaced_for_s(upstream)
        if for_s:
            self.state.upstream_stats.record_full(name, now_s, for_s)
            self.state.tell_full(name, for_s)

    def _record_full(self, name: str, now_s: float) -> None:
        self.state.waiting.record_full(self.execution.service, now_s)
        limit_per_s = self.state.brittle.limit_per_s(
            self.execution.service, now_s
        )
        if limit_per_s is None and self.prompt is not None and self._is_told():
            self._record_refusing_engine(name, now_s)
            return
        if limit_per_s is None:
            self.state.upstream_stats.record_full(name, now_s, FULL_BACKOFF_S)
            return
        for_s = brittleness.backoff_s(limit_per_s)
        self.state.upstream_stats.record_full(name, now_s, for_s)
        self.state.tell_full(name, for_s)

    def _record_refusing_engine(self, name: str, now_s: float) -> None:
        """Leave an engine alone that refuses, as it loads or has a queue."""
        refusals = self.state.upstream_stats.count_refusal(name)
        for_s = upstream_news.refusal_s(refusals)
        self.state.upstream_stats.record_full(name, now_s, for_s)
        if refusals >= upstream_news.TOLD_REFUSALS:
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
        copy_upstream = self.execution.copy_upstream
        self.sent_salt = self._cache_salt(upstream)
        head = self.execution.dialect.upstream_request(
            self.execution.request.head,
            self.execution.request.body,
            self.execution.route_match,
            dialects.Instructions(
                upstream=upstream,
                remaining_s=self.execution.remaining_s(),
                salt=self.sent_salt,
                weights_version=self._weights_version(upstream),
                resume_after=self.execution.last_event_id,
                fetch_from=choice.copy_from,
                save_to=choice.save_to,
                copy_to=copy_upstream.address if copy_upstream else "",
                continue_at=upstream.address if self.continues_copy else "",
            ),
        )
        self.execution.refuse_if_quarantined()
        self._take_permission(upstream)
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
        self.silence.record_sent()
        self.costs.record_sent()
        self.is_sent = True

    def _take_permission(self, upstream: model.Upstream) -> None:
        """Raise AttemptFailed if the upstream may not be sent a request.

        It may have said so while the connection was opened.
        """
        permission = self.state.gate.take(upstream, clock.now_s())
        if permission.is_given:
            return
        self.evidence.unsent = permission.obstacle.value
        raise relaying.AttemptFailed(
            retry_policy.FailureKind.NOT_THERE
            if permission.obstacle is gate.Obstacle.GONE
            else retry_policy.FailureKind.NO_ROOM
        )

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
                generation=self.execution.route_match.generation,
                current_generation=self.state.generation,
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
                **_outlook_fields(choice.outlook),
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
        return silences.first_part_timeout_s(self.route)

    async def _receive(
        self, connection, upstream, tracked
    ) -> relaying.AttemptFailed | None:
        """Relay the answer; return the failure that it reports, if any.

        After a returned failure the connection can be reused; after a
        raised one it cannot.
        """
        head = await self.silence.wait_for(
            connection.next_event, connection, self._first_part_timeout_s()
        )
        facts = self.execution.dialect.answer_facts(
            self.execution.call, upstream, head
        )
        self.evidence.identity = _answer_identity(facts)
        rest_s = answers.asked_rest_s(head.status, facts)
        if rest_s is not None:
            # The connection is one process's, so it is its wish even if it
            # refuses another request than this one.
            self.state.record_rest(upstream, rest_s, clock.now_s())
        if not _matches_request(facts, reused=connection.reused):
            # The answer's load and weights are ignored: if they were those
            # of another engine, this one would count as having the new
            # weights for its lifetime and would never be ordered to load
            # them.
            raise relaying.AttemptFailed(retry_policy.FailureKind.CROSSED)
        if not answers.is_of_other(facts):
            self._update_from_answer(upstream, facts)
            if facts.is_for_request:
                self._record_alive(upstream)
        connection.keep_for_s = pool.keep_for_s(head.headers)
        not_run = _proof_not_run(facts)
        if not_run is not None:
            self.is_replaced = facts.names_other_process
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
        if self.was_presumed_dead and not upstream.started_at_ms:
            self.state.crash_counts.record_alive(upstream, time.time())
            self.was_presumed_dead = False

    def _update_from_answer(self, upstream, facts) -> None:
        now_s = clock.now_s()
        if facts.load is not None:
            self.state.upstream_stats.record_load(
                upstream.incarnation, facts.load, now_s
            )
            if facts.load.slowness is not None:
                self.state.costs.record_stated(
                    upstream.service,
                    upstream.incarnation,
                    facts.load.slowness,
                    now_s,
                )
        if _proof_not_run(facts) is None:
            self.state.asked_rests.record_served(upstream.incarnation, now_s)
        self.state.brittle.record(
            upstream.service, facts.refusals_per_s, now_s
        )
        if answers.states_leaving(facts):
            self.state.record_answered_leaving(upstream.incarnation)
        self.state.record_rate_limit(upstream, facts.rate_limit_per_s)
        if facts.weights_version is not None and self.prompt:
            self.execution.record_stated_weights(
                upstream,
                self._weights_version(upstream),
                facts.weights_version,
            )

    async def _drain_body(self, connection) -> None:
        try:
            async with stalls.timeout(DRAIN_TIMEOUT_S):
                await relaying.drop_body(connection.next_event)
        except (
            client.ExchangeError,
            relaying.AttemptFailed,
            TimeoutError,
        ):
            # The head has proved that the request has not run; only the
            # connection cannot be reused.
            connection.keep_for_s = None

    async def _buffer_answer(
        self, connection, head, facts
    ) -> relaying.AttemptFailed | None:
        """Buffer a whole answer, then relay it or return a failure."""
        reader = relaying.BodyReader(connection.next_event)
        room = self.state.account.answer_room(relaying.buffer_bytes(head))
        async with room:
            body = await self.silence.wait_for(
                reader.read, connection, self._first_part_timeout_s()
            )
        self.costs.record_answer(head.status)
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
            self.costs.record_first_event()
            self.execution.claim_answer(self)
            self.execution.set_origin(upstream.software_version)
            if tracked.prefill_tokens:
                self._record_prompt_read(upstream, tracked.prefill_tokens)
                tracked.prefill_done()

        with self.state.partial_events.reading() as partial:
            reader = relaying.EventReader(connection.next_event, partial)
            await relaying.relay_stream(
                self.execution,
                head,
                lambda: self._next_stream_events(connection, reader),
                record_prompt_read,
            )
        self.costs.record_stream_end()

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
                self.sent_salt,
                self.prompt.parts,
            )

    async def _next_stream_events(
        self, connection, reader: relaying.EventReader
    ) -> list[bytes]:
        timeout_s = None
        resumable = self.route.repetition is model.Repetition.RESUMABLE
        if resumable or self.execution.copy_may_exist():
            timeout_s = SILENCE_TIMEOUT_GAPS * self.route.event_gap_s
            if not self.execution.progress.events:
                timeout_s = self._first_part_timeout_s()
        events = await self.silence.wait_for(
            reader.read, connection, timeout_s
        )
        self._record_event_weights(events)
        return events

    def _record_event_weights(self, events: list[bytes]) -> None:
        """Record new weights that the engine has loaded during the run."""
        if self.prompt is None:
            return
        upstream = self.choice.upstream
        for event in events:
            version = self.execution.dialect.event_weights(event)
            if version is not None:
                self.execution.record_stated_weights(
                    upstream, self._weights_version(upstream), version
                )
