"""Connections of the aiohttp listeners, bounded in memory and time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import contextlib
import math
import random

from aiohttp import web
import attrs

from toucanrudder import errors
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import body as bodies
from toucanrudder.http1 import reads
from toucanrudder.http1 import sockets
from toucanrudder.http1 import turns as parse_turns

STEP = "read"

#: Times after which clients that were refused for lack of memory may return;
#: they differ, so that those of a crowd do not return together.
RETRY_AFTER_S = (0.5, 3.0)

#: Line feeds in a piece of a request that is parsed at once.  Chunks of one
#: byte have one each, so that a piece may take long to parse.
LINES_AT_ONCE = 64

#: Bytes that are parsed at once between two requests.  The error of a head
#: that cannot be parsed keeps them, and quotes them.
HEAD_PIECE_BYTES = 4_096

#: End of a head, and how many of them a piece of a body may have that is
#: parsed at once.  Each may be that of a pipelined request, whose fields
#: need far more memory than its bytes.
HEAD_END = b"\r\n\r\n"
HEADS_IN_BODY = 4

#: How often the head of a request stands in memory, in the fields that aiohttp
#: makes of it.
HEAD_COPIES = 3

#: Bytes that a caller may pipeline while its current request is processed.
MAX_PIPELINED_BYTES = 65_536

#: Seconds for which the rest of a refused request is read and dropped.
LINGER_S = 1.0

#: Bytes of a body beyond which aiohttp stops to read until a handler has read
#: half of them, and the most that it buffers.
BUFFER_LIMIT_BYTES = 16_384
BUFFERED_BYTES = 2 * BUFFER_LIMIT_BYTES + reads.READ_BYTES

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def memory_full() -> errors.RudderError:
    """Return the refusal of a request for lack of memory."""
    return errors.RudderError(
        errors.Code.MEMORY_FULL,
        "callers occupy the memory that they may",
        step=STEP,
        retry_after_s=round(random.uniform(*RETRY_AFTER_S), 3),
    )


class _Transport:
    """A connection's transport as aiohttp sees it.

    Reading is paused while either side wants it paused.
    """

    def __init__(
        self, transport: asyncio.Transport, connection: "CallerConnection"
    ):
        self.transport = transport
        self._is_paused_within = self._is_paused_outside = False
        self.connection = connection

    def __getattr__(self, name: str):
        return getattr(self.transport, name)

    def pause_reading(self) -> None:
        """Pause, as aiohttp's buffers are full."""
        self._is_paused_within = True
        self._update()

    def resume_reading(self) -> None:
        """Go on, as aiohttp's buffers have room."""
        self._is_paused_within = False
        self._update()

    def hold_reading(self, is_held: bool) -> None:
        """Pause while received bytes wait to be parsed."""
        self._is_paused_outside = is_held
        self._update()

    def _update(self) -> None:
        if self.transport.is_closing():
            return
        if self._is_paused_within or self._is_paused_outside:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()


class CallerConnection(reads.BoundedReads):
    """A connection whose bytes aiohttp parses in turns of the event loop.

    Parameters
    ----------
    handler : asyncio.Protocol
        aiohttp's protocol of the connection.
    account : accounts.Account
        What the connections of all listeners of the process hold.
    turns : parse_turns.Turns
        Turns of the listener's connections.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        handler: asyncio.Protocol,
        account: accounts.Account,
        turns: parse_turns.Turns,
        clock: Callable[[], float],
    ):
        self._handler = handler
        self._account = account
        self._turns = turns
        self._clock = clock
        self._transport: _Transport | None = None
        self._unparsed = bodies.BodyBuffer()
        self._awaits_handler = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_in_turns = False
        self._requests = 0
        self._has_begun = False
        self._group: Hashable = None
        self._since_s = clock()
        self._lost = self._is_dropped = False
        self._is_writable = True
        self._refuse_body: Callable[[], None] | None = None
        self._is_body_read: Callable[[], bool] = lambda: False

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Count the connection, and let aiohttp serve it."""
        self._transport = _Transport(transport, self)
        self._handler.connection_made(self._transport)
        self._account.receive_buffers.add(transport)
        self._account.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what needs little time; let the rest wait for a turn."""
        if self._is_dropped:
            return
        if not self._unparsed and self._may_parse:
            length = self._length_at_once(data, LINES_AT_ONCE)
            if self._turns.claim_events(data.count(b"\n", 0, length)):
                self._parse(data[:length])
                data = data[length:]
        if data and not self._is_dropped:
            self._unparsed.append(data)
            self._await_turn()
        self._account.update(self)

    @property
    def _may_parse(self) -> bool:
        """Whether bytes that arrive belong to the present request.

        Its handler must have begun before more than its head is parsed.
        """
        return not self._is_answering and not self._awaits_handler

    def _length_at_once(self, data: bytes | bytearray, max_lines: int) -> int:
        """Return how much of a piece is parsed at once."""
        length = _end_of_lines(data, max_lines)
        if self._requests or self._is_draining:
            return _end_of_heads(data, length, HEADS_IN_BODY)
        length = min(length, HEAD_PIECE_BYTES)
        if data.count(HEAD_END, 0, length) > 1 or length < len(data):
            return _end_of_heads(data, length, 1)
        return length

    def _parse(self, piece: bytes) -> None:
        if not self._requests and not self._is_draining:
            self._awaits_handler = HEAD_END in piece.lstrip(b"\r\n")
        self._received_bytes += len(piece)
        self._handler.data_received(piece)

    def _await_turn(self) -> None:
        if self._is_answering:
            # Without reading it would not be seen that the client leaves.
            self._transport.hold_reading(False)
            if len(self._unparsed) > MAX_PIPELINED_BYTES:
                self._abort()
            return
        # The end of a connection is seen only behind all of its bytes.
        self._transport.hold_reading(
            self._awaits_handler
            or len(self._unparsed) >= parse_turns.READ_AHEAD_BYTES
        )
        if not self._awaits_handler and not self._is_in_turns:
            self._is_in_turns = True
            self._turns.append(self)

    @property
    def _is_answering(self) -> bool:
        """Whether further bytes belong to a later request."""
        return bool(self._requests) and self._is_body_read()

    @property
    def _is_draining(self) -> bool:
        """Whether the rest of a body is read whose request is over."""
        return (
            self._has_begun and not self._requests and not self._is_body_read()
        )

    def eof_received(self) -> bool | None:
        """Pass on the end of the caller's stream."""
        return None if self._is_dropped else self._handler.eof_received()

    def connection_lost(self, error) -> None:
        """Count the connection no more once no request is under way."""
        self._lost = True
        self._account.receive_buffers.remove(self._transport.transport)
        self._drop(error)
        if not self._requests:
            self._end()

    def _end(self) -> None:
        """Count the connection no more, and break its reference cycles.

        Otherwise all that it refers to stays until the garbage collector has
        found it, which the account does not see.
        """
        self._account.remove(self)
        self._transport.connection = None
        self._is_body_read = lambda: False

    def _drop(self, error: Exception | None = None) -> None:
        if self._is_dropped:
            return
        self._is_dropped = True
        self._unparsed.clear()
        self._received_bytes = 0
        self._handler.connection_lost(error)

    def _abort(self) -> None:
        """Close the connection and free at once what it holds.

        The event loop reports the loss only once it has read from all other
        connections that have bytes.
        """
        self._transport.abort()
        self._drop()

    def pause_writing(self) -> None:
        """Block writers until the caller has caught up."""
        self._is_writable = False
        self._since_s = self._clock()
        if self._is_dropped:
            return
        self._handler.pause_writing()
        self._account.update(self)

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._is_writable = True
        if not self._is_dropped:
            self._handler.resume_writing()

    # Turns.

    @property
    def awaits_turn(self) -> bool:
        """Whether received bytes are left that can be parsed."""
        return self._is_in_turns

    def read_events(self, at_most: int) -> int:
        """Parse at most as many lines; return how many."""
        if self._unparsed and sockets.has_peer_left(self._transport):
            self._abort()
        if not self._unparsed or not self._may_parse:
            self._end_turns()
            return 1
        length = self._length_at_once(self._unparsed.first, at_most)
        piece = self._unparsed.take_first(length)
        self._parse(piece)
        if not self._unparsed or not self._may_parse:
            self._end_turns()
        else:
            self._await_turn()
        return max(1, piece.count(b"\n"))

    def _end_turns(self) -> None:
        self._is_in_turns = False
        self._transport.hold_reading(False)
        self._account.update(self)

    # Memory.

    def usage(self) -> accounts.Usage:
        """Return the memory that this connection holds."""
        if self._lost and not self._requests:
            return accounts.Usage(0)
        if self._requests:
            unread_bytes = min(self._received_bytes, BUFFERED_BYTES)
        else:
            unread_bytes = HEAD_COPIES * self._received_bytes
        held_bytes = (
            accounts.CONNECTION_BYTES
            + unread_bytes
            + len(self._unparsed)
            + self._body_bytes
            + self._transport.get_write_buffer_size()
        )
        if self._requests:
            held_bytes += accounts.REQUEST_BYTES
        return accounts.Usage(
            held_bytes,
            -math.inf if self._transport.is_closing() else self._since_s,
            is_revocable=not self._is_answering
            or not self._is_writable
            or len(self._unparsed) > accounts.CONNECTION_BYTES,
            is_under_way=self._is_answering,
        )

    def group(self) -> Hashable:
        """Return what the request shares its room with."""
        return self._group

    def give_up(self, *, lingers: bool) -> None:
        """Refuse the body that is being read, or close the connection."""
        if self._refuse_body is None or not lingers:
            self._abort()
            return
        refuse, self._refuse_body = self._refuse_body, None
        self._body_bytes = self._received_bytes = 0
        self._transport.hold_reading(True)
        refuse()

    # Requests.

    @contextlib.contextmanager
    def request(self, is_read: Callable[[], bool]) -> Iterator[None]:
        """Count a request as under way during the block.

        Parameters
        ----------
        is_read : callable
            Returns whether its whole body has been read.
        """
        self._requests += 1
        self._has_begun = True
        self._awaits_handler = False
        self._group = None
        self._is_body_read = is_read
        self._since_s = self._clock()
        if self._unparsed:
            self._await_turn()
        self._account.update(self)
        try:
            yield
        finally:
            self._requests -= 1
            self._body_bytes = 0
            if is_read():
                self._received_bytes = 0
            self._since_s = self._clock()
            self._transport.hold_reading(bool(self._unparsed))
            if self._unparsed:
                self._await_turn()
            if self._lost and not self._requests:
                self._end()
            else:
                self._account.update(self)

    @contextlib.contextmanager
    def reading(self, refuse: Callable[[], None]) -> Iterator[None]:
        """Let a body be refused during the block.

        Parameters
        ----------
        refuse : callable
            Makes the reader of the body raise the refusal.
        """
        self._refuse_body = refuse
        try:
            yield
        finally:
            self._refuse_body = None

    def hold_body(self, size_bytes: int) -> None:
        """Count what a body occupies by now."""
        self._received_bytes = 0
        self._body_bytes = size_bytes
        self._account.update(self)

    def admit(self, need: accounts.Need, group: Hashable) -> None:
        """Raise RudderError if a whole request may not get under way.

        Parameters
        ----------
        need : accounts.Need
            What its body needs.
        group : hashable
            What it has in common with the requests that it shares room with.
        """
        self._group = group
        self.hold_body(need.held_bytes)
        total = attrs.evolve(need, held_bytes=self.usage().held_bytes)
        if not self._account.admits(self, total):
            raise memory_full()


def _end_of_lines(data: bytes | bytearray, count: int) -> int:
    """Return the length up to the end of the last of some lines.

    Examples
    --------
    >>> _end_of_lines(b"a\\nb\\nc\\n", 2), _end_of_lines(b"a\\nb", 2)
    (4, 3)
    """
    if data.count(b"\n") <= count:
        return len(data)
    end = 0
    for _ in range(count):
        end = data.find(b"\n", end) + 1
    return end


def _end_of_heads(data: bytes | bytearray, length: int, count: int) -> int:
    """Return the length up to the end of some heads, at most as stated."""
    end = 0
    for _ in range(count):
        end = data.find(HEAD_END, end, length)
        if end < 0:
            return length
        end += len(HEAD_END)
    return end


def connection_of(request: web.Request) -> CallerConnection | None:
    """Return a request's connection; None if its listener has no bounds."""
    return getattr(request.transport, "connection", None)


@web.middleware
async def track_request(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Count a request as under way while it is handled."""
    connection = connection_of(request)
    if connection is None:
        return await handler(request)
    with connection.request(request.content.at_eof):
        try:
            return await handler(request)
        except web.HTTPException as error:
            # The request refers to the exception, whose traceback would keep
            # both until the garbage collector has found them.
            error.__traceback__ = None
            return web.Response(
                status=error.status, headers=error.headers, text=error.text
            )
