"""Callers' connections: strict parsing, bounded memory, early leaving."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum
import logging

import attrs
import h11

from toucanrudder.http1 import message
from toucanrudder.http1 import sockets

LOG = logging.getLogger(__name__)

#: Bytes that a caller may send ahead while its request is answered.
MAX_AHEAD_BYTES = 65_536

#: Seconds that written bytes may wait for a slow reader before the
#: connection is cut: as long as the slowest caller needs for one event on
#: a link that retransmits, well below the time at which memory fills up.
WRITE_TIMEOUT_S = 10.0

_SERVER_STATES_DONE = (h11.DONE, h11.MUST_CLOSE)


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Sizes.
    head_timeout_s : float
        From a request's first byte to the end of its head.
    idle_timeout_s : float
        Between two requests, and between two pieces of a body.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Refusal(enum.Enum):
    """Why a request was refused before anything else looked at it."""

    MALFORMED = ("malformed_request", 400)
    HEAD_TOO_LARGE = ("head_too_large", 431)
    BODY_TOO_LARGE = ("body_too_large", 413)
    UNSUPPORTED = ("unsupported_coding", 501)
    SLOW = ("slow_request", 408)

    @property
    def code(self) -> str:
        """Code for callers and counters."""
        return self.value[0]

    @property
    def status(self) -> int:
        """Status of the answer."""
        return self.value[1]


class CallerGone(Exception):
    """Nobody takes the answer any more."""


@attrs.frozen
class Request:
    """A whole request.

    Parameters
    ----------
    head : message.RequestHead
        Its first part.
    body : bytes
        Its body, without any framing.
    began_s : float
        Monotonic time of its first byte.
    """

    head: message.RequestHead
    body: bytes = attrs.field(repr=False)
    began_s: float = 0.0


@attrs.frozen
class Hooks:
    """What a listener needs from its owner.

    Parameters
    ----------
    handle : callable
        Answers one request by the answer it is given.
    limits : callable
        Returns the limits in force.
    closing : callable
        Whether connections are to be closed after their answer.
    refusal_body : callable
        Returns the body for a refusal.
    refused : callable
        Told of each refusal.
    clock : callable
        Monotonic time in seconds.
    """

    handle: Callable[[Request, "Answer"], Awaitable[None]]
    limits: Callable[[], Limits]
    closing: Callable[[], bool]
    refusal_body: Callable[[Refusal], bytes]
    refused: Callable[[Refusal], None]
    clock: Callable[[], float]


class Answer:
    """Writes the answer to one request.

    Parameters
    ----------
    connection : CallerConnection
        Where it goes.
    """

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self.started = False
        self.ended = False

    async def start(self, status: int, headers: message.Headers) -> None:
        """Send the head; without a length the body goes in chunks."""
        self.started = True
        await self._connection.write(
            h11.Response(
                status_code=status,
                headers=self._connection.framed(headers),
            )
        )

    async def write(self, content: bytes) -> None:
        """Send a piece of the body.

        Raises
        ------
        CallerGone
            The caller has closed, or reads too slowly.
        """
        await self._connection.write(h11.Data(data=content))

    async def end(self) -> None:
        """Say that the answer is whole."""
        await self._connection.write(h11.EndOfMessage())
        self.ended = True

    async def send_whole(
        self, status: int, headers: message.Headers, body: bytes
    ) -> None:
        """Send a whole answer in one write."""
        self.started = True
        length = (b"Content-Length", str(len(body)).encode())
        await self._connection.write(
            h11.Response(
                status_code=status,
                headers=self._connection.framed((*headers, length)),
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self.ended = True

    def abort(self) -> None:
        """Cut the connection: the only way to say "not whole" in HTTP."""
        self._connection.abort()


class CallerConnection(asyncio.Protocol):
    """One connection from a caller.

    Parameters
    ----------
    hooks : Hooks
        What the listener was given.
    listener : Listener
        Knows all connections.
    """

    def __init__(self, hooks: Hooks, listener: "Listener"):
        self._hooks = hooks
        self._listener = listener
        self._limits = hooks.limits()
        self._transport: asyncio.Transport | None = None
        self._http = self._fresh_parser()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._lost = False
        self._start_request()

    def _fresh_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_head_bytes
        )

    def _start_request(self) -> None:
        self._head: h11.Request | None = None
        self._raw_head = bytearray()
        self._body = bytearray()
        self._began_s: float | None = None
        self._ahead = 0

    @property
    def idle(self) -> bool:
        """Whether no byte of an unanswered request has come."""
        return self._task is None and self._began_s is None

    # What the transport calls.

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport
        sockets.enable_dead_peer_detection(transport)
        self._listener.connections.add(self)
        self._expect(self._limits.idle_timeout_s, self.abort)

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the present or of the next request."""
        if self._lost:
            return
        if self._task is not None:
            self._ahead += len(data)
            self._http.receive_data(data)
            if self._ahead > MAX_AHEAD_BYTES:
                # Nothing sane sends so much ahead.  Not to read on would
                # hide from us that the caller leaves.
                self.abort()
            return
        self._begin()
        if self._head is None:
            self._raw_head += data
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse(_refusal_of(error))

    def eof_received(self) -> bool:
        """Take the end of the caller's side as its leaving."""
        return False

    def connection_lost(self, error) -> None:
        """Stop the work that nobody waits for."""
        self._lost = True
        self._cancel_timer()
        self._writable.set()
        self._listener.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._writable.set()

    # Reading.

    def _begin(self) -> None:
        if self._began_s is None:
            self._began_s = self._hooks.clock()
            self._limits = self._hooks.limits()
            self._expect(self._limits.head_timeout_s, self._too_slow)
        elif self._head is not None:
            self._expect(self._limits.idle_timeout_s, self._too_slow)

    def _read_events(self) -> None:
        while self._task is None and not self._lost:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._invite_body()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._limits.max_body_bytes:
                    self._refuse(Refusal.BODY_TOO_LARGE)
            elif isinstance(event, h11.EndOfMessage):
                self._serve()

    def _invite_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(go_on))

    def _take_head(self, head: h11.Request) -> None:
        raw = bytes(self._raw_head)
        if not _is_strict(raw, head):
            self._refuse(Refusal.MALFORMED)
            return
        if raw.find(b"\r\n\r\n") > self._limits.max_head_bytes:
            # The parser bounds only a head that comes in several reads.
            self._refuse(Refusal.HEAD_TOO_LARGE)
            return
        self._head = head
        self._raw_head.clear()
        length = message.first_value(tuple(head.headers), b"content-length")
        if length is not None and int(length) > self._limits.max_body_bytes:
            self._refuse(Refusal.BODY_TOO_LARGE)
            return
        self._expect(self._limits.idle_timeout_s, self._too_slow)

    def _too_slow(self) -> None:
        self._refuse(Refusal.SLOW)

    def _refuse(self, refusal: Refusal) -> None:
        if self._lost:
            return
        self._hooks.refused(refusal)
        LOG.info("request refused: %s", refusal.code)
        body = self._hooks.refusal_body(refusal)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(h11.LocalProtocolError):
                headers = [
                    (b"Content-Type", b"application/json"),
                    (b"Content-Length", str(len(body)).encode()),
                    (b"Connection", b"close"),
                ]
                response = h11.Response(
                    status_code=refusal.status, headers=headers
                )
                self._transport.write(self._http.send(response) + body)
        self._lost = True
        self._cancel_timer()
        self._transport.close()

    # Serving.

    def _serve(self) -> None:
        self._cancel_timer()
        request = Request(
            message.RequestHead(
                self._head.method,
                self._head.target,
                tuple(self._head.headers.raw_items()),
            ),
            bytes(self._body),
            self._began_s,
        )
        self._body = bytearray()
        self._task = asyncio.get_running_loop().create_task(
            self._answered(request)
        )
        self._task.add_done_callback(self._served)

    async def _answered(self, request: Request) -> None:
        answer = Answer(self)
        try:
            await self._hooks.handle(request, answer)
        finally:
            if not answer.ended:
                self.abort()

    def _served(self, task: asyncio.Task) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            if not isinstance(task.exception(), CallerGone):
                LOG.error("request failed", exc_info=task.exception())
            self.abort()
        if self._lost:
            return
        is_announced = h11.MUST_CLOSE in (
            self._http.our_state,
            self._http.their_state,
        )
        # What was read before the caller could know of the close is served.
        has_read = bool(self._http.trailing_data[0])
        if is_announced or (self._hooks.closing() and not has_read):
            self.close()
            return
        self._next_request()

    def _next_request(self) -> None:
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            self.abort()
            return
        self._start_request()
        ahead = self._http.trailing_data[0]
        self._expect(self._limits.idle_timeout_s, self.abort)
        if ahead:
            # The parser holds what came ahead; its bounds are the next
            # request's, so a fresh one reads it.
            self._http = self._fresh_parser()
            self.data_received(ahead)

    def framed(self, headers: message.Headers) -> list[tuple[bytes, bytes]]:
        """Return the head's fields with those of this connection."""
        framed = list(headers)
        if self._hooks.closing():
            framed.append((b"Connection", b"close"))
        return framed

    async def write(self, *events) -> None:
        """Send events; wait while the caller reads too slowly."""
        if self._lost:
            raise CallerGone("connection closed")
        data = b"".join(self._http.send(each) or b"" for each in events)
        self._transport.write(data)
        if self._writable.is_set():
            return
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._writable.wait()
        except TimeoutError:
            self.abort()
            raise CallerGone("reads too slowly") from None
        if self._lost:
            raise CallerGone("connection closed")

    # Ending.

    def _expect(self, within_s: float, late: Callable[[], None]) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(within_s, late)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Close after what was written has been sent."""
        self._lost = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cut the connection."""
        self._lost = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.abort()


def _refusal_of(error: h11.RemoteProtocolError) -> Refusal:
    return {
        431: Refusal.HEAD_TOO_LARGE,
        501: Refusal.UNSUPPORTED,
    }.get(error.error_status_hint, Refusal.MALFORMED)


def _is_strict(raw: bytes, head: h11.Request) -> bool:
    """Whether all readers of the head would read the same.

    Bare line feeds, folded fields and two ways to tell the body's length
    are read differently by different programs; behind such a head a
    second request can hide that only one of them sees.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return False
    end = raw.find(b"\r\n\r\n")
    if end < 0:
        return False
    lines = raw[:end].lstrip(b"\r\n")
    if lines.count(b"\n") != lines.count(b"\r\n"):
        return False
    if b"\r" in lines.replace(b"\r\n", b""):
        return False
    return b"\r\n " not in lines and b"\r\n\t" not in lines


class Listener:
    """Accepts callers' connections.

    Parameters
    ----------
    hooks : Hooks
        What it needs from its owner.
    """

    def __init__(self, hooks: Hooks):
        self._hooks = hooks
        self._server: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Bind and accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self._hooks, self),
            host,
            port,
            backlog=1024,
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def close_idle(self) -> None:
        """Close connections on which no request is under way."""
        for each in list(self.connections):
            if each.idle:
                each.close()

    @property
    def busy(self) -> int:
        """Connections with a request that has not been answered."""
        return sum(not each.idle for each in self.connections)

    async def stop(self) -> None:
        """Accept no more and cut what is left."""
        if self._server is not None:
            self._server.close()
        for each in list(self.connections):
            each.close() if each.idle else each.abort()
