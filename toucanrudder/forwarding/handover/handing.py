"""One attempt of a request by way of a peer."""

from typing import TYPE_CHECKING

import attrs
from grpc import aio

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import waiting
from toucanrudder.forwarding.attempts import relaying
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.forwarding.handover import choice
from toucanrudder.membership import routers
from toucanrudder.observability import decisions
from toucanrudder.peers import handovers

if TYPE_CHECKING:
    from toucanrudder.forwarding import execution as executions

#: Longest wait for a peer's answer to an offer: a new channel between
#: availability zones, and a peer that is busy for a moment.
OFFER_TIMEOUT_S = 0.3

#: Part of the remaining time that is kept back, so that a refusal of the peer
#: arrives before the deadline.
DEADLINE_MARGIN_S = 0.03

#: Least remaining time that is handed over.
MIN_REMAINING_S = 0.001

_BROKEN = (aio.AioRpcError, handovers.BadExchange, TimeoutError)


@attrs.define(eq=False)
class HandOverAttempt:
    """An attempt that a peer makes for this router.

    Parameters
    ----------
    execution : executions.RequestExecution
        The request with its earlier attempts.
    peer : routers.Member
        The router that reaches the service.

    Attributes
    ----------
    is_declined : bool
        Whether the peer has declined the offer.
    """

    execution: "executions.RequestExecution"
    peer: routers.Member
    is_handed_over = True
    is_declined: bool = False
    is_sent: bool = False
    is_silent: bool = False
    software_version: str | None = None
    evidence: retry_policy.Evidence = attrs.field(
        factory=retry_policy.Evidence
    )

    @property
    def target(self) -> str:
        """Name of the peer, for log lines."""
        return self.peer.name

    @property
    def state(self) -> states.ForwardingState:
        """The shared state of this router."""
        return self.execution.state

    async def run(self) -> None:
        """Relay the peer's complete answer to the caller.

        Raises
        ------
        AttemptFailed
            There was no complete answer, and another attempt may follow.
        RudderError
            The peer's refusal, which is final.
        """
        execution = self.execution
        execution.upstream = self.peer.name
        try:
            async with self.state.hand_over(
                self.peer.address, execution.remaining_s()
            ) as exchange:
                await self._offer(exchange)
                await self._send(exchange)
                try:
                    await self._relay(exchange)
                finally:
                    self._count_runs(exchange)
        except _BROKEN as error:
            # Its next heartbeat shows whether the peer is back.
            self._record_peer_lost()
            kind = retry_policy.FailureKind.BROKEN
            if not self.is_sent:
                self._record_offered("none")
                kind = retry_policy.FailureKind.NOT_REACHED
                self.evidence.unsent = "peer_not_reached"
            raise relaying.AttemptFailed(kind) from error

    async def _offer(self, exchange: handovers.OutgoingExchange) -> None:
        execution = self.execution
        offer = handovers.Offer(
            self.state.name,
            execution.service,
            self.state.generation,
            len(execution.request.body),
        )
        async with stalls.timeout(OFFER_TIMEOUT_S):
            verdict = await exchange.offer(offer)
        keeps_origin = exchange.keeps_software or execution.origin is None
        if verdict is handovers.Verdict.ACCEPTED and keeps_origin:
            return
        self.is_declined = True
        self._record_offered(verdict.name.lower())
        if verdict is handovers.Verdict.UNREACHED:
            self._record_peer_lost()
        self.evidence.unsent = f"declined_{verdict.name.lower()}"
        if not keeps_origin:
            self.evidence.unsent = "peer_ignores_software"
        kind = retry_policy.FailureKind.NOT_REACHED
        if verdict is handovers.Verdict.FULL:
            kind = retry_policy.FailureKind.FULL
        raise relaying.AttemptFailed(kind)

    def _record_offered(self, reply: str) -> None:
        now_s = clock.now_s()
        service = self.execution.service
        peers = self.state.peers()
        without = [
            peer
            for peer in peers
            if self.state.peer_contacts.is_lost(peer.name, service, now_s)
        ]
        decisions.record(
            decisions.Offered(
                request_id=self.execution.call.request_id,
                service=service,
                peer=self.peer.name,
                peer_zone=self.peer.zone,
                reply=reply,
                after_s=now_s - self.execution.request.began_s,
                peers=len(peers),
                peers_without=len(without),
                zone_without=sum(
                    peer.zone == self.state.zone for peer in without
                ),
            )
        )

    def _record_peer_lost(self) -> None:
        self.state.peer_contacts.record_lost(
            self.peer.name, self.execution.service, clock.now_s()
        )

    async def _send(self, exchange: handovers.OutgoingExchange) -> None:
        execution = self.execution
        request = execution.request
        decisions.record(
            decisions.HandedOver(
                request_id=execution.call.request_id,
                route=execution.route.name,
                service=execution.service,
                peer=self.peer.name,
                peer_zone=self.peer.zone,
                attempt=execution.attempt_count,
                waited_s=clock.now_s() - request.began_s,
                left_s=execution.remaining_s(),
                generation=execution.route_match.generation,
                current_generation=self.state.generation,
            )
        )
        # From here on the peer may have sent the request to an upstream.
        self.is_sent = True
        await exchange.send(
            handovers.HandedRequest(
                request.head,
                request.body,
                max(
                    execution.remaining_s() - DEADLINE_MARGIN_S,
                    MIN_REMAINING_S,
                ),
                execution.progress.possible_runs,
                execution.progress.events,
                execution.last_event_id,
                execution.software_version(),
                execution.attempt_count,
            )
        )

    async def _relay(self, exchange: handovers.OutgoingExchange) -> None:
        try:
            head = await self._next_event(exchange)
            if head.status < 300 and self.execution.route.is_stream:
                with self.state.partial_events.reading() as partial:
                    reader = relaying.EventReader(
                        lambda: self._next_event(exchange), partial
                    )
                    await relaying.relay_stream(
                        self.execution,
                        head,
                        reader.read,
                        lambda: self._claim_stream(exchange),
                    )
                return
            room = self.state.account.answer_room(relaying.buffer_bytes(head))
            async with room:
                body = await relaying.BodyReader(
                    lambda: self._next_event(exchange)
                ).read()
            self.execution.claim_answer(self)
            await self.execution.send_answer(head, body)
        except errors.RudderError as error:
            self._raise_if_retryable(error)
            raise

    def _claim_stream(self, exchange: handovers.OutgoingExchange) -> None:
        self.execution.claim_answer(self)
        self.execution.set_origin(exchange.software_version)

    async def _next_event(self, exchange: handovers.OutgoingExchange):
        """Return the next part of the answer.

        A peer that is silent but still live is waited for: it may stand
        still while the upstream's answer goes on.
        """
        while True:
            try:
                event = await exchange.next_event()
            except TimeoutError:
                if not self.state.is_peer_live(self.peer):
                    raise
                self.is_silent = True
                self.execution.race.report_silence(self)
                continue
            self.is_silent = False
            self.software_version = exchange.software_version
            return event

    def _raise_if_retryable(self, error: errors.RudderError) -> None:
        """Raise AttemptFailed if another peer may serve the request."""
        is_not_run = error.ran is errors.Ran.NOT_RUN
        if error.code is errors.Code.QUEUE_FULL and is_not_run:
            early_until_s = waiting.early_until_s(self.execution)
            offers = len(self.execution.tried_peers)
            if (
                clock.now_s() > early_until_s
                or offers >= choice.MAX_OFFERS_FOR_ROOM
            ):
                return
            self.is_declined = True
            self.evidence.unsent = "peer_without_room"
            raise relaying.AttemptFailed(
                retry_policy.FailureKind.FULL
            ) from error
        is_unreached = error.code is errors.Code.UPSTREAM_NOT_REACHED
        if is_unreached and error.ran is errors.Ran.NOT_RUN:
            self._record_peer_lost()
            self.evidence.unsent = "peer_without_contact"
            raise relaying.AttemptFailed(
                retry_policy.FailureKind.NOT_REACHED
            ) from error

    def _count_runs(self, exchange: handovers.OutgoingExchange) -> None:
        # The attempt in flight counts as one more.
        progress = self.execution.progress
        self.execution.progress = attrs.evolve(
            progress,
            possible_runs=max(
                progress.possible_runs, exchange.possible_runs - 1
            ),
        )

    def record_failure(self, kind: retry_policy.FailureKind) -> None:
        """Record the failure; nothing is said of any upstream by it."""
