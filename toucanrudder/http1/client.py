"""Client connection to an upstream that carries one exchange at a time."""

import asyncio
import collections
import contextlib
import enum

import attrs
import h11

from toucanrudder import stalls
from toucanrudder.http1 import message
from toucanrudder.http1 import reads
from toucanrudder.http1 import sockets

#: Body bytes that are buffered for a slow reader before reading pauses.
MAX_BUFFERED_BYTES = 16_384

#: Longest head of a response.
MAX_HEAD_BYTES = 65_536


#: Largest status of HTTP (RFC 9110, section 15).
MAX_STATUS = 599


class Fault(enum.Enum):
    """Why an exchange did not end with a complete response."""

    NOT_CONNECTED = "not_connected"
    CONNECT_TIMEOUT = "connect_timeout"
    RESET = "reset"
    #: The peer's host has acknowledged nothing for too long.
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    NOT_HTTP = "not_http"
    TIMEOUT = "timeout"


class ExchangeError(Exception):
    """The exchange failed.

    Parameters
    ----------
    fault : Fault
        Cause of the failure.
    sent : bool
        Whether a byte of the request may have left this process.
    reused : bool
        Whether the connection carried another request before.
    """

    def __init__(self, fault: Fault, *, sent: bool, reused: bool = False):
        super().__init__(fault.value)
        self.fault = fault
        self.sent = sent
        self.reused = reused

    @property
    def is_refused(self) -> bool:
        """Whether nothing listens at the address."""
        return isinstance(self.__cause__, ConnectionRefusedError)

    @property
    def has_reached(self) -> bool:
        """Whether something at the address took the connection, or reset it.

        A process that takes no more connections opens them and resets them
        at once, sometimes before they are seen as open.
        """
        if self.fault in (Fault.NOT_CONNECTED, Fault.CONNECT_TIMEOUT):
            return isinstance(self.__cause__, ConnectionResetError)
        return True


@attrs.frozen
class Data:
    """A piece of a response body."""

    content: bytes


@attrs.frozen
class End:
    """The response is complete."""


class UpstreamConnection(reads.BoundedReads):
    """A connection that carries exchanges one after the other.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    """

    def __init__(self, address: str):
        self.address = address
        self.idle_since_s = 0.0
        self.keep_for_s: float | None = None
        self.uses = 0
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._events: collections.deque = collections.deque()
        self._waiter: asyncio.Future | None = None
        self._fault: Fault | None = None
        self._buffered = 0
        self._in_exchange = False
        self._sent = False
        self._response_ended = False
        self._bears_slow_reader = False

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Store the transport and set its socket options."""
        self._transport = transport
        sockets.enable_dead_peer_detection(transport)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes into events."""
        if not self._in_exchange or self._response_ended:
            # Unsolicited bytes: a second response, or garbage after a
            # complete one.  If the connection were reused, another caller
            # would receive them as the response to its request.
            self._fail(Fault.NOT_HTTP)
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(Fault.NOT_HTTP)

    def eof_received(self) -> bool:
        """Complete a response without a length, or fail the exchange."""
        if self._was_reset():
            self._fail(Fault.RESET)
            return False
        if self._in_exchange and not self._response_ended:
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                pass
        self._fail(Fault.CLOSED)
        return False

    def _was_reset(self) -> bool:
        """Whether the reported end of the stream is a reset.

        If data and a reset arrive together, libuv delivers the data and
        reports an ordinary end of the stream.  A truncated body without a
        length would then look complete.
        """
        sock = self._transport.get_extra_info("socket")
        return sock is not None and sockets.was_reset(sock)

    def connection_lost(self, error) -> None:
        """Fail the current exchange."""
        is_timeout = isinstance(error, TimeoutError)
        self._fail(Fault.TIMED_OUT if is_timeout else Fault.RESET)

    def _read_events(self) -> None:
        while not self._response_ended:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.ConnectionClosed):
                self._fail(Fault.CLOSED)
                return
            self._events.append(self._convert_event(event))
            self._wake_reader()

    def _convert_event(self, event):
        if isinstance(event, h11.Response):
            if self._bears_slow_reader:
                sockets.end_slow_reader(self._transport)
                self._bears_slow_reader = False
            if event.status_code > MAX_STATUS:
                raise h11.RemoteProtocolError("no status of HTTP")
            return message.AnswerHead(
                event.status_code, tuple(event.headers.raw_items())
            )
        if isinstance(event, h11.Data):
            content = bytes(event.data)
            self._buffered += len(content)
            if self._buffered > MAX_BUFFERED_BYTES:
                self._transport.pause_reading()
            return Data(content)
        self._response_ended = True
        return End()

    def _fail(self, fault: Fault) -> None:
        if self._fault is None:
            self._fault = fault
        self.abort()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Interface for exchanges.

    @property
    def is_open(self) -> bool:
        """Whether neither side is known to have closed this connection."""
        return (
            self._fault is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def usable(self) -> bool:
        """Whether another request can be sent on this connection."""
        return self.is_open and not self._in_exchange

    @property
    def sent(self) -> bool:
        """Whether a byte of the current request may have been sent."""
        return self._sent

    @property
    def has_pending_event(self) -> bool:
        """Whether `next_event` has something to return or raise."""
        return bool(self._events) or self._fault is not None

    @property
    def reused(self) -> bool:
        """Whether it carried another request before the current one."""
        return self.uses > 1

    def error(self, fault: Fault) -> ExchangeError:
        """Return the exception for a fault of the current exchange."""
        return ExchangeError(fault, sent=self._sent, reused=self.reused)

    def send(self, head: message.RequestHead, body: bytes) -> None:
        """Send a complete request; the head must state the body length.

        Raises
        ------
        ExchangeError
            The connection cannot be used any more; nothing was sent.
        """
        self._sent = False
        self.uses += 1
        if not self.usable:
            raise self.error(self._fault or Fault.CLOSED)
        self._in_exchange = True
        data = self._http.send(
            h11.Request(
                method=head.method, target=head.target, headers=head.headers
            )
        )
        body = self._http.send(h11.Data(data=body)) if body else b""
        body += self._http.send(h11.EndOfMessage())
        self._sent = True
        # A large body is not copied to stand behind its head.
        if len(body) > sockets.WINDOW_BYTES:
            self._transport.write(data)
            self._transport.write(body)
        else:
            self._transport.write(data + body)
        if len(data) + len(body) > sockets.WINDOW_BYTES:
            self._bears_slow_reader = sockets.bear_slow_reader(self._transport)

    async def next_event(self) -> message.AnswerHead | Data | End:
        """Return the next part of the response.

        Raises
        ------
        ExchangeError
            The connection failed before the response was complete.
        """
        while not self._events:
            if self._fault is not None:
                raise self.error(self._fault)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, Data):
            self._release_buffered(len(event.content))
        return event

    def _release_buffered(self, length: int) -> None:
        before, self._buffered = self._buffered, self._buffered - length
        if before > MAX_BUFFERED_BYTES >= self._buffered:
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()

    def finish(self) -> bool:
        """End an exchange; return whether the connection can be reused."""
        if not self._response_ended or self._fault is not None:
            self.abort()
            return False
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            self.abort()
            return False
        if self._http.trailing_data[0]:
            self.abort()
            return False
        self._in_exchange = self._response_ended = False
        return True

    def abort(self) -> None:
        """Close at once, so that the upstream stops processing the request."""
        if self._transport is not None:
            sockets.drop_unsent(self._transport)
            self._transport.abort()


async def connect(address: str, timeout_s: float) -> UpstreamConnection:
    """Open a connection to an upstream.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout_s : float
        Connect timeout.

    Raises
    ------
    ExchangeError
        ``NOT_CONNECTED`` or ``CONNECT_TIMEOUT``; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with stalls.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: UpstreamConnection(address),
                host.strip("[]"),
                int(port),
            )
    except TimeoutError as error:
        raise ExchangeError(Fault.CONNECT_TIMEOUT, sent=False) from error
    except OSError as error:
        raise ExchangeError(Fault.NOT_CONNECTED, sent=False) from error
    return protocol
