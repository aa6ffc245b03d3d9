"""Exchange by which a router hands a caller's request over to a peer.

The sender offers the request first and sends it only after the peer has
accepted the offer.  So until then a broken exchange proves that the request
has not run, and the request can be offered to another peer.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum

import attrs

from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder.http1 import client as http_clients
from toucanrudder.http1 import message
from toucanrudder.peers import peers_pb2

#: Largest body that is handed over; the messages of gRPC have a limit.
MAX_BODY_BYTES = 2_097_152

#: Interval of the parts by which a peer shows that it is still working, and
#: the silence after which it is looked at whether it lives.
WORKING_INTERVAL_S = 0.4
MAX_SILENCE_S = 2.0


class Verdict(enum.Enum):
    """A peer's answer to an offer."""

    UNSUPPORTED = peers_pb2.HandOverReply.UNSUPPORTED
    ACCEPTED = peers_pb2.HandOverReply.ACCEPTED
    UNREACHED = peers_pb2.HandOverReply.UNREACHED
    BEHIND = peers_pb2.HandOverReply.BEHIND
    FULL = peers_pb2.HandOverReply.FULL
    STOPPING = peers_pb2.HandOverReply.STOPPING


class BadExchange(ValueError):
    """A message of the peer is not valid at this point of the exchange."""


@attrs.frozen
class Offer:
    """Description of a request that a router wants to hand over.

    Parameters
    ----------
    origin : str
        Name of the router that received the request.
    service : str
        Service that the origin cannot reach.
    generation : int
        Generation of the configuration in force at the origin.
    body_bytes : int
        Length of the request's body.
    """

    origin: str
    service: str
    generation: int
    body_bytes: int


@attrs.frozen
class HandedRequest:
    """A caller's request with the progress that the origin has made.

    Parameters
    ----------
    head : message.RequestHead
        As received from the caller.
    body : bytes
        As received from the caller.
    remaining_s : float
        Time until the caller's deadline.
    possible_runs : int
        Upstreams that may have run the request already.
    events : int
        Stream events that the caller has received.
    resume_after : str or None
        ID of the event after which the stream resumes.
    software_version : str or None
        Software that began the stream of which the caller has events.
    attempts : int
        Attempts of the origin, this one included.
    """

    head: message.RequestHead
    body: bytes = attrs.field(repr=False)
    remaining_s: float
    possible_runs: int = 0
    events: int = 0
    resume_after: str | None = None
    software_version: str | None = None
    attempts: int = 0


def request_to_wire(request: HandedRequest) -> peers_pb2.HandedRequest:
    """Return a request as a protobuf message."""
    return peers_pb2.HandedRequest(
        method=request.head.method,
        target=request.head.target,
        headers=_headers_to_wire(request.head.headers),
        body=request.body,
        remaining_s=request.remaining_s,
        possible_runs=request.possible_runs,
        events=request.events,
        resume_after=request.resume_after,
        software_version=request.software_version,
        attempts=request.attempts,
    )


def request_from_wire(wire: peers_pb2.HandedRequest) -> HandedRequest:
    """Return the request in a protobuf message.

    Raises
    ------
    BadExchange
        The remaining time is not a positive number.
    """
    if not 0 < wire.remaining_s < float("inf"):
        raise BadExchange("the remaining time is not a positive number")
    return HandedRequest(
        message.RequestHead(
            wire.method, wire.target, _headers_from_wire(wire.headers)
        ),
        wire.body,
        wire.remaining_s,
        wire.possible_runs,
        wire.events,
        wire.resume_after if wire.HasField("resume_after") else None,
        wire.software_version if wire.HasField("software_version") else None,
        wire.attempts,
    )


def _headers_to_wire(headers: message.Headers) -> list[peers_pb2.Header]:
    return [
        peers_pb2.Header(name=name, value=value) for name, value in headers
    ]


def _headers_from_wire(headers) -> message.Headers:
    return tuple((header.name, header.value) for header in headers)


def refusal_to_wire(error: errors.RudderError) -> peers_pb2.HandedRefusal:
    """Return a refusal as a protobuf message."""
    return peers_pb2.HandedRefusal(
        code=error.code.value,
        message=error.message,
        step=error.step,
        peer=error.peer,
        ran=error.ran.value,
        retry_after_s=error.retry_after_s,
    )


def refusal_from_wire(wire: peers_pb2.HandedRefusal) -> errors.RudderError:
    """Return the refusal in a protobuf message.

    Raises
    ------
    BadExchange
        The code is unknown.
    """
    try:
        code, ran = errors.Code(wire.code), errors.Ran(wire.ran)
    except ValueError as error:
        raise BadExchange(str(error)) from error
    return errors.RudderError(
        code,
        wire.message,
        step=wire.step,
        peer=wire.peer,
        ran=ran,
        retry_after_s=wire.retry_after_s
        if wire.HasField("retry_after_s")
        else None,
    )


class OutgoingExchange:
    """The sender's side of one exchange.

    Parameters
    ----------
    call : grpc.aio.StreamStreamCall
        The call to the peer.

    Attributes
    ----------
    possible_runs : int
        Upstreams that may have run the request, as last reported.
    keeps_software : bool
        Whether the peer lets a stream go on only at the software that began
        it; those of an earlier version of the router do not.
    software_version : str or None
        Software of the upstream whose answer the peer relays.
    """

    def __init__(self, call):
        self._call = call
        self.possible_runs = 0
        self.keeps_software = False
        self.software_version: str | None = None
        self._reading: asyncio.Task | None = None

    async def offer(self, offer: Offer) -> Verdict:
        """Offer a request; return whether the peer accepts it.

        Raises
        ------
        BadExchange, grpc.aio.AioRpcError
            There was no valid reply.
        """
        wire = peers_pb2.HandOverOffer(
            origin=offer.origin,
            service=offer.service,
            generation=offer.generation,
            body_bytes=offer.body_bytes,
        )
        await self._call.write(peers_pb2.HandOverCall(offer=wire))
        part = await self._read()
        if part.WhichOneof("part") != "reply":
            raise BadExchange("the first part is not a reply")
        self.keeps_software = part.reply.keeps_software
        try:
            return Verdict(part.reply.verdict)
        except ValueError as error:
            raise BadExchange(str(error)) from error

    async def send(self, request: HandedRequest) -> None:
        """Send the request, after its offer was accepted."""
        self.possible_runs = request.possible_runs
        await self._call.write(
            peers_pb2.HandOverCall(request=request_to_wire(request))
        )
        await self._call.done_writing()

    async def next_event(
        self,
    ) -> message.AnswerHead | http_clients.Data | http_clients.End:
        """Return the next part of the answer.

        Raises
        ------
        RudderError
            The peer refuses the request, or gave it up.
        TimeoutError
            The peer was silent for too long; it may be asked again.
        BadExchange, grpc.aio.AioRpcError
            The exchange broke before the answer was complete.
        """
        while True:
            async with stalls.timeout(MAX_SILENCE_S):
                part = await self._read()
            self.possible_runs = max(self.possible_runs, part.possible_runs)
            match part.WhichOneof("part"):
                case "working":
                    continue
                case "head":
                    if part.head.HasField("software_version"):
                        self.software_version = part.head.software_version
                    return message.AnswerHead(
                        part.head.status,
                        _headers_from_wire(part.head.headers),
                    )
                case "content":
                    return http_clients.Data(part.content)
                case "end":
                    return http_clients.End()
                case "refusal":
                    raise refusal_from_wire(part.refusal)
            raise BadExchange("the part is not one of an answer")

    async def _read(self) -> peers_pb2.HandOverPart:
        # gRPC would end the call if a read of it were cancelled.
        if self._reading is None:
            self._reading = asyncio.ensure_future(self._call.read())
        part = await asyncio.shield(self._reading)
        self._reading = None
        if not isinstance(part, peers_pb2.HandOverPart):
            raise BadExchange("the exchange ended before the answer")
        return part


class IncomingExchange:
    """The receiver's side of one exchange.

    Parameters
    ----------
    context : grpc.aio.ServicerContext
        Context of the peer's call.
    """

    def __init__(self, context):
        self._context = context
        self._writing = asyncio.Lock()
        self.possible_runs: Callable[[], int] = lambda: 0

    async def read_offer(self) -> Offer:
        """Return the offer; raise BadExchange if there is none."""
        wire = (await self._read("offer")).offer
        return Offer(
            wire.origin, wire.service, wire.generation, wire.body_bytes
        )

    async def reply(self, verdict: Verdict) -> None:
        """Answer the offer."""
        reply = peers_pb2.HandOverReply(
            verdict=verdict.value, keeps_software=True
        )
        await self._send(reply=reply)

    async def read_request(self) -> HandedRequest:
        """Return the request; raise BadExchange if there is none."""
        return request_from_wire((await self._read("request")).request)

    async def send_head(
        self,
        status: int,
        headers: message.Headers,
        software_version: str | None = None,
    ) -> None:
        """Send the head of the answer."""
        head = peers_pb2.HandedAnswerHead(
            status=status,
            headers=_headers_to_wire(headers),
            software_version=software_version,
        )
        await self._send(head=head)

    async def send_content(self, content: bytes) -> None:
        """Send a piece of the answer's body."""
        await self._send(content=content)

    async def send_end(self) -> None:
        """Complete the answer."""
        await self._send(end=peers_pb2.HandedAnswerEnd())

    async def refuse(self, error: errors.RudderError) -> None:
        """End the exchange without a complete answer."""
        await self._send(refusal=refusal_to_wire(error))

    @contextlib.asynccontextmanager
    async def shown_working(self) -> AsyncIterator[None]:
        """Show the sender during the block that the request is in work."""
        ended = asyncio.Event()
        task = asyncio.ensure_future(self._show_working(ended))
        try:
            yield
        finally:
            # A write that is under way must not be cancelled: gRPC allows no
            # other one then.
            ended.set()
            await asyncio.wait([task], timeout=WORKING_INTERVAL_S)

    async def _show_working(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WORKING_INTERVAL_S):
                    await ended.wait()
                    return
            await self._send(working=peers_pb2.Working())

    async def _send(self, **part) -> None:
        async with self._writing:
            await self._context.write(
                peers_pb2.HandOverPart(
                    possible_runs=self.possible_runs(), **part
                )
            )

    async def _read(self, kind: str) -> peers_pb2.HandOverCall:
        call = await self._context.read()
        if not isinstance(call, peers_pb2.HandOverCall):
            raise BadExchange("the exchange ended early")
        if call.WhichOneof("call") != kind:
            raise BadExchange(f"expected a message with the field {kind}")
        return call


TakeOver = Callable[[IncomingExchange], Awaitable[None]]


async def decline(exchange: IncomingExchange) -> None:
    """Decline an offer, as a router that takes no requests over."""
    await exchange.read_offer()
    await exchange.reply(Verdict.UNSUPPORTED)
