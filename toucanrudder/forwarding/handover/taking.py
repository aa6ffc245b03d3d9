"""Requests that a router takes over from peers."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder import stops
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import execution as executions
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.forwarding.handover import choice
from toucanrudder.forwarding.streams import origins
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.observability import decisions
from toucanrudder.peers import handovers

#: Longest wait for a request whose offer was accepted.
REQUEST_TIMEOUT_S = 1.0


class HandedAnswer:
    """Writer of the answer to a request that was taken over.

    Parameters
    ----------
    exchange : handovers.IncomingExchange
        The exchange with the router that received the request.
    """

    def __init__(self, exchange: handovers.IncomingExchange):
        self._exchange = exchange
        self.software_version: Callable[[], str | None] = lambda: None
        self.started = False
        self.ended = False

    async def start(self, status: int, headers: message.Headers) -> None:
        """Send the head."""
        self.started = True
        await self._exchange.send_head(
            status, headers, self.software_version()
        )

    async def write(self, content: bytes) -> None:
        """Send a piece of the body."""
        await self._exchange.send_content(content)

    async def end(self) -> None:
        """Complete the answer."""
        await self._exchange.send_end()
        self.ended = True

    async def send_whole(
        self, status: int, headers: message.Headers, body: bytes
    ) -> None:
        """Send a complete answer."""
        await self.start(status, headers)
        await self.write(body)
        await self.end()


@attrs.define(eq=False)
class HandOverReceiver:
    """Executes the requests that peers hand over.

    Caps and the number of requests to a service are counted by the router
    that received the request; retries and crashes by the one that sends it
    to upstreams.

    Parameters
    ----------
    state : states.ForwardingState
        This router's state.
    dialect : dialects.Dialect
        Reads and writes heads and events.
    """

    state: states.ForwardingState
    dialect: dialects.Dialect
    taken: int = 0
    _taken_bytes: int = 0

    async def handle(self, exchange: handovers.IncomingExchange) -> None:
        """Answer an offer; execute the request if it is accepted."""
        offer = await exchange.read_offer()
        verdict = choice.judge_offer(offer, self._receiver(offer))
        # Counted before the reply, so that offers in between see it.
        with self._counted(offer, verdict):
            await exchange.reply(verdict)
            if verdict is not handovers.Verdict.ACCEPTED:
                return
            async with stalls.timeout(REQUEST_TIMEOUT_S):
                request = await exchange.read_request()
            if len(request.body) > offer.body_bytes:
                raise handovers.BadExchange("the body exceeds the offer")
            await self._execute(request, exchange, offer)

    def _receiver(self, offer: handovers.Offer) -> choice.Receiver:
        now_s = clock.now_s()
        has_room = self.state.account.has_room(offer.body_bytes)
        if has_room and self.state.shares_room(offer.service, now_s):
            _, usable = self.state.usable_candidates(
                offer.service, None, now_s
            )
            has_room = bool(usable)
        return choice.Receiver(
            self.state.generation,
            self.state.stopping,
            not self.state.has_lost_contact(offer.service, now_s),
            has_room,
            self.taken,
            self._taken_bytes,
        )

    @contextlib.contextmanager
    def _counted(
        self, offer: handovers.Offer, verdict: handovers.Verdict
    ) -> Iterator[None]:
        if verdict is not handovers.Verdict.ACCEPTED:
            yield
            return
        self.taken += 1
        self._taken_bytes += offer.body_bytes
        try:
            with self.state.account.reserved(offer.body_bytes):
                yield
        finally:
            self.taken -= 1
            self._taken_bytes -= offer.body_bytes

    async def _execute(
        self,
        handed: handovers.HandedRequest,
        exchange: handovers.IncomingExchange,
        offer: handovers.Offer,
    ) -> None:
        began_s = clock.now_s()
        answer = HandedAnswer(exchange)
        refusal, execution = "", None
        try:
            execution = await self._execution(handed, answer, began_s, offer)
            exchange.possible_runs = execution.possible_runs
            answer.software_version = execution.software_version
            limited = self.state.stop_limits.limited(
                lambda: stops.cut_off_error(execution.possible_runs())
            )
            with execution.screened():
                async with exchange.shown_working(), limited:
                    await execution.run()
        except errors.RudderError as error:
            refusal = error.code.value
            await exchange.refuse(error)
        finally:
            outcome = refusal or ("answered" if answer.ended else "left")
            decisions.record(
                decisions.TakenOver(
                    request_id=execution.call.request_id if execution else "",
                    origin=offer.origin,
                    upstream=execution.upstream if execution else "",
                    outcome=outcome,
                    status=execution.status if execution else 0,
                    attempts=execution.attempt_count if execution else 0,
                    after_s=clock.now_s() - began_s,
                    taken=self.taken,
                    offered_generation=offer.generation,
                    generation=execution.route_match.generation
                    if execution
                    else 0,
                )
            )

    async def _execution(
        self,
        handed: handovers.HandedRequest,
        answer: HandedAnswer,
        began_s: float,
        offer: handovers.Offer,
    ) -> executions.RequestExecution:
        call = attrs.evolve(
            self.dialect.read_call(handed.head),
            wait_s=handed.remaining_s,
            resume_after=handed.resume_after,
        )
        route_match = self.state.table().match(call)
        origin = await self._origin(handed, route_match, offer)
        return executions.RequestExecution(
            self.state,
            self.dialect,
            server.Request(handed.head, handed.body, began_s),
            answer,
            route_match,
            self._service(route_match.route, origin, offer),
            progress=retry_policy.Progress(
                possible_runs=handed.possible_runs, events=handed.events
            ),
            is_taken_over=True,
            origin=origin,
            earlier_attempts=handed.attempts,
        )

    async def _origin(
        self,
        handed: handovers.HandedRequest,
        match: routing.RouteMatch,
        offer: handovers.Offer,
    ) -> origins.Origin | None:
        if handed.software_version is not None:
            return origins.Origin(offer.service, handed.software_version)
        return await self.state.streams.find(match)

    def _service(
        self,
        route: model.Route,
        origin: origins.Origin | None,
        offer: handovers.Offer,
    ) -> str:
        """Return the service of a request, that of the offer if it may."""
        if origin is not None:
            return origin.service
        if offer.service in route.services:
            return offer.service
        return routing.pick_service(route, self.state.rng)
