"""HTTP/1.1 server: strict parsing, bounded memory, prompt cancellation."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable
import contextlib
import enum
import logging
import math

import attrs
import h11

from toucanrudder import stalls
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import body as bodies
from toucanrudder.http1 import message
from toucanrudder.http1 import reads
from toucanrudder.http1 import receive_buffers
from toucanrudder.http1 import refusal_log
from toucanrudder.http1 import sockets
from toucanrudder.http1 import turns

LOG = logging.getLogger(__name__)

#: Bytes that a caller may pipeline while its current request is processed.
MAX_PIPELINED_BYTES = 65_536

#: Seconds that written bytes may wait for a slow reader before the connection
#: is aborted: as long as the slowest caller needs for one event on a link with
#: retransmissions, and well below the time in which memory would fill up.
WRITE_TIMEOUT_S = 10.0

#: Events of the parser that are handled when bytes arrive; more than a body
#: without chunks needs.  Those beyond wait for a turn, and so do heads of more
#: lines.
EVENTS_AT_ONCE = 64
LINES_AT_ONCE = 64

#: Memory of a field of a head beside its bytes.
FIELD_BYTES = 256

#: Seconds for which the rest of a refused request is read and dropped.  A
#: close with unread bytes resets the connection, and the refusal may be lost.
LINGER_S = 1.0

_SERVER_STATES_DONE = (h11.DONE, h11.MUST_CLOSE)


@attrs.frozen
class Limits:
    """Limits on the size and duration of requests.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Largest head and largest body.
    head_timeout_s : float
        Timeout from the first byte of a request to the end of its head.
    idle_timeout_s : float
        Timeout between two requests, and between two pieces of a body.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Refusal(enum.Enum):
    """Reason why a request was refused before it reached the handler."""

    MALFORMED = ("malformed_request", 400)
    HEAD_TOO_LARGE = ("head_too_large", 431)
    BODY_TOO_LARGE = ("body_too_large", 413)
    UNSUPPORTED = ("unsupported_coding", 501)
    SLOW = ("slow_request", 408)
    #: Callers occupy all memory that they may.
    MEMORY_FULL = ("memory_full", 503)

    @property
    def code(self) -> str:
        """Error code for callers and metrics."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self.value[1]


class EndCause(enum.Enum):
    """How a caller's connection ended."""

    NONE = ""
    CLOSED = "closed"
    RESET = "reset"
    #: The caller's host has acknowledged nothing for too long.
    TIMED_OUT = "timed_out"
    #: The caller did not read what was written.
    UNREAD = "unread"
    #: This router closed it.
    ABORTED = "aborted"


class CallerGone(Exception):
    """The caller has disconnected or reads too slowly."""


@attrs.frozen
class Request:
    """A complete request.

    Parameters
    ----------
    head : message.RequestHead
        Request line and header fields.
    body : bytes
        Body without transfer coding.
    began_s : float
        Monotonic time in seconds at which the first byte arrived.
    """

    head: message.RequestHead
    body: bytes = attrs.field(repr=False)
    began_s: float = 0.0


@attrs.frozen
class Hooks:
    """Callbacks of a listener.

    Parameters
    ----------
    handle : callable
        Answers a request by means of the given `Answer`.
    limits : callable
        Returns the current limits.
    closing : callable
        Returns whether connections are to be closed after their response.
    refusal_body : callable
        Returns the response body for a refusal.
    refused : callable
        Called with each refusal.
    clock : callable
        Returns the monotonic time in seconds.
    memory_refusal : callable
        Returns after how many seconds a client may return that is refused
        for lack of memory, and the response body that says so.
    group : callable
        Returns what a request has in common with those that it shares room
        with.
    needs_room : bool
        Whether requests are refused while others hold all memory.
    """

    handle: Callable[[Request, "Answer"], Awaitable[None]]
    limits: Callable[[], Limits]
    closing: Callable[[], bool]
    refusal_body: Callable[[Refusal], bytes]
    refused: Callable[[Refusal], None]
    clock: Callable[[], float]
    memory_refusal: Callable[[], tuple[float, bytes]] = lambda: (1.0, b"")
    group: Callable[[message.RequestHead], Hashable] = lambda head: None
    needs_room: bool = True


class Answer:
    """Writer of the response to one request.

    Parameters
    ----------
    connection : CallerConnection
        Connection that the response is written to.
    """

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self.started = False
        self.ended = False

    @property
    def end_cause(self) -> EndCause:
        """How the connection has ended, if it has."""
        return self._connection.end_cause

    async def start(self, status: int, headers: message.Headers) -> None:
        """Send the head; without a length the body is sent in chunks."""
        self.started = True
        await self._connection.write(
            h11.Response(
                status_code=status,
                headers=self._connection.with_connection_fields(headers),
            )
        )

    async def write(self, content: bytes) -> None:
        """Send a piece of the body.

        Raises
        ------
        CallerGone
            The caller has disconnected, or reads too slowly.
        """
        await self._connection.write(h11.Data(data=content))

    async def end(self) -> None:
        """Complete the response."""
        await self._connection.write(h11.EndOfMessage())
        self.ended = True

    async def send_whole(
        self, status: int, headers: message.Headers, body: bytes
    ) -> None:
        """Send a complete response in one write."""
        self.started = True
        length = (b"Content-Length", str(len(body)).encode())
        await self._connection.write(
            h11.Response(
                status_code=status,
                headers=self._connection.with_connection_fields(
                    (*headers, length)
                ),
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self.ended = True

    def abort(self) -> None:
        """Abort the connection: the only sign of a truncated response."""
        self._connection.abort()


class CallerConnection(reads.BoundedReads):
    """One connection from a caller.

    Parameters
    ----------
    hooks : Hooks
        Callbacks of the listener.
    listener : Listener
        Listener that keeps the set of connections.
    """

    def __init__(self, hooks: Hooks, listener: "Listener"):
        self._hooks = hooks
        self._listener = listener
        self._limits = hooks.limits()
        self._transport: asyncio.Transport | None = None
        self._http = self._new_parser()
        self._task: asyncio.Task | None = None
        self._timer: stalls.Timer | None = None
        self._timeout_s = 0.0
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = False
        self._lost = False
        self._awaits_turn = False
        self._holds_much = False
        self._since_s = hooks.clock()
        self.end_cause = EndCause.NONE
        self._written_bytes = 0
        self._bears_slow_reader = False
        self._pipelined = bodies.BodyBuffer()
        self._reset_request()

    def _new_parser(self) -> h11.Connection:
        self._parsed_head_bytes = self._limits.max_head_bytes
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._parsed_head_bytes
        )

    def _reset_request(self) -> None:
        self._head: message.RequestHead | None = None
        self._group: Hashable = None
        self._raw_head = bytearray()
        self._head_lines = 0
        self._body = bodies.BodyBuffer()
        self._began_s: float | None = None
        self._request_bytes = 0
        self._since_s = self._hooks.clock()

    @property
    def idle(self) -> bool:
        """Whether no byte of an unanswered request has been received."""
        return self._task is None and self._began_s is None

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Store the transport and start the idle timeout."""
        self._transport = transport
        sockets.enable_dead_peer_detection(transport)
        self._listener.connections.add(self)
        self._set_read_timer()
        self._listener.account.receive_buffers.add(transport)
        self._listener.account.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the current request, or buffer pipelined ones."""
        if self._closed:
            return
        if self._task is not None:
            self._pipelined.append(data)
            if len(self._pipelined) > MAX_PIPELINED_BYTES:
                # No legitimate client pipelines that much.  Pausing reads
                # instead would hide that the caller disconnects.
                self.abort()
            self._count_memory()
            return
        if not self._awaits_turn:
            self._update_read_deadline()
        if self._head is None:
            self._raw_head += data
            self._head_lines += data.count(b"\n")
        self._http.receive_data(data)
        if self._head is None and self._head_lines > LINES_AT_ONCE:
            self._await_turn()
        elif self._awaits_turn:
            self._bound_read_ahead()
        else:
            self.read_events(EVENTS_AT_ONCE)
        self._count_memory()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        return False

    def connection_lost(self, error) -> None:
        """Cancel the handler, since no one waits for its response."""
        if self.end_cause is EndCause.NONE:
            self.end_cause = _end_cause(error)
        self._closed = True
        self._cancel_timer()
        self._lost = True
        self._writable.set()
        self._listener.connections.discard(self)
        self._listener.account.receive_buffers.remove(self._transport)
        if self._task is not None:
            self._task.cancel()
        else:
            self._listener.account.remove(self)

    def pause_writing(self) -> None:
        """Block writers until the caller has caught up."""
        self._writable.clear()
        self._since_s = self._hooks.clock()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()
        self._listener.account.update(self)

    # Reading.

    def _update_read_deadline(self) -> None:
        if self._began_s is None:
            self._began_s = self._since_s = self._hooks.clock()
            self._limits = self._hooks.limits()
            if self._parsed_head_bytes != self._limits.max_head_bytes:
                # The parser has no bytes of this request yet.
                self._http = self._new_parser()
            self._set_read_timer()
        elif self._head is not None:
            self._set_read_timer()

    def read_events(self, at_most: int) -> int:
        """Handle what the parser has found; return the number of events.

        A body may consist of chunks of one byte.  Events that are left wait
        for their turn beside those of others, and reading pauses once many
        bytes wait.  Each field of a head counts as an event.  What a client
        has sent that has left is dropped.

        Parameters
        ----------
        at_most : int
            Number of events that are handled now, the last one in full.
        """
        if self._awaits_turn and sockets.has_peer_left(self._transport):
            self.abort()
            return 1
        handled = 0
        while handled < at_most:
            try:
                events = self._read_event()
            except h11.RemoteProtocolError as error:
                # The frames of the traceback refer to the error, and would
                # keep this connection until they are collected.
                error.__traceback__ = None
                refusal = _refusal_for(error)
                if refusal is Refusal.HEAD_TOO_LARGE and self._reparse_head():
                    continue
                self._refuse(refusal)
                events = 0
            if not events:
                self._end_turns()
                return handled
            handled += events
        self._await_turn()
        self._count_memory()
        return handled

    def _await_turn(self) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            self._cancel_timer()
            self._listener.turns.append(self)
        self._bound_read_ahead()

    def _bound_read_ahead(self) -> None:
        """Read on only while few bytes wait, none of them of a head."""
        waiting_bytes = len(self._http.trailing_data[0])
        if self._head and waiting_bytes < turns.READ_AHEAD_BYTES:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _end_turns(self) -> None:
        if not self._awaits_turn:
            return
        self._awaits_turn = False
        self._listener.account.update(self)
        if self._closed:
            return
        self._transport.resume_reading()
        if self._task is None:
            self._set_read_timer()

    def _reparse_head(self) -> bool:
        """Parse a head again if its limit was raised since its first byte."""
        if self._head is not None or not self._raw_head:
            return False
        self._limits = self._hooks.limits()
        if self._limits.max_head_bytes <= self._parsed_head_bytes:
            return False
        self._http = self._new_parser()
        self._http.receive_data(bytes(self._raw_head))
        return True

    def _is_beyond(self, size_bytes: int, limit: str) -> bool:
        """Whether a size exceeds a limit, by its name, of `Limits`."""
        if size_bytes <= getattr(self._limits, limit):
            return False
        # It may have been raised since the request began.
        self._limits = self._hooks.limits()
        return size_bytes > getattr(self._limits, limit)

    def _read_timeout_s(self) -> float:
        """Return the timeout of what is being waited for."""
        if self._began_s is None or self._head is not None:
            return self._limits.idle_timeout_s
        return self._limits.head_timeout_s

    def _set_read_timer(self) -> None:
        delay_s = self._timeout_s = self._read_timeout_s()
        if self._began_s is not None and self._head is None:
            delay_s -= self._hooks.clock() - self._began_s
        self._set_timer(max(0.0, delay_s), self._handle_read_timeout)

    def _handle_read_timeout(self) -> None:
        """Give up waiting, unless the timeout was raised meanwhile."""
        self._limits = self._hooks.limits()
        timeout_s = self._read_timeout_s()
        raised_by_s = timeout_s - self._timeout_s
        if raised_by_s > 0:
            self._timeout_s = timeout_s
            self._set_timer(raised_by_s, self._handle_read_timeout)
        elif self._began_s is None:
            self.abort()
        else:
            self._refuse(Refusal.SLOW)

    @property
    def awaits_turn(self) -> bool:
        """Whether events of the parser are left that can be handled."""
        return self._awaits_turn and not self._closed

    def _read_event(self) -> int:
        """Handle one event; return its weight, 0 if there is none."""
        if self._task is not None or self._closed:
            return 0
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            self._send_continue_if_expected()
            return 0
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            return 0
        if isinstance(event, h11.Request):
            self._accept_head(event)
            return 1 + len(event.headers)
        if isinstance(event, h11.Data):
            self._body.append(event.data)
            if self._is_beyond(len(self._body), "max_body_bytes"):
                self._refuse(Refusal.BODY_TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()
            return 1 + len(event.headers)
        return 1

    def _send_continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(response))

    def _accept_head(self, head: h11.Request) -> None:
        raw = bytes(self._raw_head)
        if not _is_strict(raw, head):
            self._refuse(Refusal.MALFORMED)
            return
        if self._is_beyond(raw.find(b"\r\n\r\n"), "max_head_bytes"):
            # The parser enforces its limit only if the head arrives in several
            # reads.
            self._refuse(Refusal.HEAD_TOO_LARGE)
            return
        self._head = message.RequestHead(
            head.method, head.target, tuple(head.headers.raw_items())
        )
        self._request_bytes = len(raw) + FIELD_BYTES * len(head.headers)
        self._raw_head.clear()
        length = self._head.get(b"content-length")
        if length is not None and self._is_beyond(
            int(length), "max_body_bytes"
        ):
            self._refuse(Refusal.BODY_TOO_LARGE)
            return
        self._set_read_timer()

    def _refuse(self, refusal: Refusal, *, lingers: bool = True) -> None:
        if self._closed:
            return
        self._hooks.refused(refusal)
        self._listener.refusals.record(refusal.code, self._hooks.clock())
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(h11.LocalProtocolError):
                self._transport.write(self._refusal_answer(refusal))
        is_whole = self._http.their_state in _SERVER_STATES_DONE
        self._closed = True
        self._reset_request()
        self._cancel_timer()
        if lingers and not is_whole:
            self._linger()
        else:
            self._transport.close()

    def _refusal_answer(self, refusal: Refusal) -> bytes:
        headers = [(b"Content-Type", b"application/json")]
        if refusal is Refusal.MEMORY_FULL:
            delay_s, body = self._hooks.memory_refusal()
            headers.append((b"Retry-After", f"{delay_s:.3f}".encode()))
        else:
            body = self._hooks.refusal_body(refusal)
        headers += [
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        response = h11.Response(status_code=refusal.status, headers=headers)
        return self._http.send(response) + body

    def _linger(self) -> None:
        """Drop the rest of a refused request, so that its client reads on."""
        # The parser holds what it has not parsed.
        self._http = self._new_parser()
        if self._awaits_turn:
            self._transport.resume_reading()
        with contextlib.suppress(OSError, RuntimeError):
            self._transport.write_eof()
        self._set_timer(LINGER_S, self.abort)

    # Serving.

    def _start_handler(self) -> None:
        self._cancel_timer()
        need = accounts.Need(self.usage().held_bytes + accounts.REQUEST_BYTES)
        if self._hooks.needs_room and not self._listener.account.admits(
            self, need
        ):
            self._refuse(Refusal.MEMORY_FULL)
            return
        self._request_bytes += len(self._body)
        request = Request(self._head, self._body.take(), self._began_s)
        self._task = asyncio.get_running_loop().create_task(
            self._run_handler(request)
        )
        self._task.add_done_callback(self._handler_done)

    async def _run_handler(self, request: Request) -> None:
        answer = Answer(self)
        try:
            await self._hooks.handle(request, answer)
        finally:
            if not answer.ended:
                self.abort()

    def _handler_done(self, task: asyncio.Task) -> None:
        self._task = None
        if self._lost:
            self._listener.account.remove(self)
        if not task.cancelled() and task.exception() is not None:
            if not isinstance(task.exception(), CallerGone):
                LOG.error("request handler failed", exc_info=task.exception())
            self.abort()
        if self._closed:
            return
        is_announced = h11.MUST_CLOSE in (
            self._http.our_state,
            self._http.their_state,
        )
        # A request that was read before the caller could know about the close
        # is still served.
        if is_announced or (
            self._hooks.closing() and not self._has_next_request
        ):
            self.close()
            return
        self._next_request()

    @property
    def _has_next_request(self) -> bool:
        return bool(self._http.trailing_data[0] or self._pipelined)

    def _next_request(self) -> None:
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            self.abort()
            return
        self._reset_request()
        pipelined = self._http.trailing_data[0] + self._pipelined.take()
        self._limits = self._hooks.limits()
        self._set_read_timer()
        if pipelined:
            # A new parser reads the pipelined bytes, so that the limits of the
            # next request apply to them.
            self._http = self._new_parser()
            self.data_received(pipelined)
        self._count_memory()

    def with_connection_fields(
        self, headers: message.Headers
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields with those of this connection added."""
        fields = list(headers)
        if self._hooks.closing():
            fields.append((b"Connection", b"close"))
        return fields

    async def write(self, *events) -> None:
        """Send events; wait while the transport's write buffer is full."""
        if self._closed:
            raise CallerGone("connection closed")
        data = b"".join(self._http.send(event) or b"" for event in events)
        self._transport.write(data)
        self._written_bytes += len(data)
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes > accounts.CONNECTION_BYTES:
            self._listener.account.update(self)
        if (
            self._written_bytes > sockets.WINDOW_BYTES
            and not self._bears_slow_reader
        ):
            self._bears_slow_reader = sockets.bear_slow_reader(self._transport)
        if self._writable.is_set():
            return
        try:
            async with stalls.timeout(WRITE_TIMEOUT_S):
                await self._writable.wait()
        except TimeoutError:
            self.end_cause = EndCause.UNREAD
            self.abort()
            raise CallerGone("caller reads too slowly") from None
        if self._closed:
            raise CallerGone("connection closed")

    # Memory.

    def _count_memory(self) -> None:
        """Tell the account what is held, unless it is as little as before."""
        held_bytes = (
            len(self._raw_head)
            + len(self._body)
            + self._request_bytes
            + len(self._pipelined)
        )
        holds_much = (
            self._task is not None or held_bytes > accounts.CONNECTION_BYTES
        )
        if holds_much or self._awaits_turn or self._holds_much:
            self._holds_much = holds_much
            self._listener.account.update(self)

    def usage(self) -> accounts.Usage:
        """Return the memory that this connection holds."""
        if self._lost and self._task is None:
            return accounts.Usage(0)
        held_bytes = (
            accounts.CONNECTION_BYTES
            + len(self._raw_head)
            + len(self._body)
            + len(self._http.trailing_data[0])
            + len(self._pipelined)
            + self._request_bytes
            # The handler that waits for its client holds the bytes as well.
            + 2 * self._transport.get_write_buffer_size()
        )
        is_under_way = self._task is not None
        if is_under_way:
            held_bytes += accounts.REQUEST_BYTES
        return accounts.Usage(
            held_bytes,
            -math.inf if self._closed else self._since_s,
            is_revocable=not is_under_way
            or not self._writable.is_set()
            or len(self._pipelined) > accounts.CONNECTION_BYTES,
            is_under_way=is_under_way,
        )

    def group(self) -> Hashable:
        """Return what the request shares its room with."""
        if self._group is None and self._head is not None:
            self._group = self._hooks.group(self._head)
        return self._group

    def give_up(self, *, lingers: bool) -> None:
        """Refuse the request that is being read, or close the connection."""
        if self._closed or self._task is not None:
            self.abort()
        elif self._began_s is None:
            self.close()
        else:
            self._refuse(Refusal.MEMORY_FULL, lingers=lingers)

    # Ending.

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = stalls.Timer(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        self._closed = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without flushing buffered bytes."""
        if self.end_cause is EndCause.NONE and not self._closed:
            self.end_cause = EndCause.ABORTED
        self._closed = True
        self._cancel_timer()
        self._pipelined.clear()
        if self._transport is not None:
            self._transport.abort()


def _end_cause(error: Exception | None) -> EndCause:
    if error is None:
        return EndCause.CLOSED
    is_timeout = isinstance(error, TimeoutError)
    return EndCause.TIMED_OUT if is_timeout else EndCause.RESET


def _refusal_for(error: h11.RemoteProtocolError) -> Refusal:
    return {
        431: Refusal.HEAD_TOO_LARGE,
        501: Refusal.UNSUPPORTED,
    }.get(error.error_status_hint, Refusal.MALFORMED)


def _is_strict(raw: bytes, head: h11.Request) -> bool:
    """Whether all HTTP implementations parse the head in the same way.

    Bare line feeds, folded fields and a body length that is given in two
    ways are parsed differently by different implementations.  They allow
    request smuggling: a second request that only one of them sees.
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
    """Server socket that accepts connections of callers.

    Parameters
    ----------
    hooks : Hooks
        Callbacks for the connections.
    account : account.Account or None
        What the connections of all listeners of the process hold; None for
        one of its own without bounds.
    """

    def __init__(self, hooks: Hooks, account: accounts.Account | None = None):
        self._hooks = hooks
        self._server: asyncio.Server | None = None
        self.account = account or accounts.unbounded()
        self.turns = turns.Turns()
        self.refusals = refusal_log.RefusalLog()
        self.connections: set[CallerConnection] = set()
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Bind the address and accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self._hooks, self),
            host,
            port,
            backlog=receive_buffers.BACKLOG,
        )
        self.account.receive_buffers.bound_unaccepted(self._server)
        bound_address = self._server.sockets[0].getsockname()
        self.address = f"{bound_address[0]}:{bound_address[1]}"

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    @property
    def busy(self) -> int:
        """Number of connections with an unanswered request."""
        return sum(not connection.idle for connection in self.connections)

    async def stop(self) -> None:
        """Stop accepting, close idle connections and abort the others."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close() if connection.idle else connection.abort()
