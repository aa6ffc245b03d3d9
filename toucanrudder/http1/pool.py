"""Pool of idle connections to upstreams."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import re

from toucanrudder.http1 import answer_room
from toucanrudder.http1 import client
from toucanrudder.http1 import message

#: Seconds for which an idle connection is kept if the upstream announces no
#: timeout: half of the shortest default idle timeout of common servers.
DEFAULT_KEEP_S = 2.0

#: Fraction of the announced idle timeout for which a connection is kept.  If
#: a request crosses the upstream's close, nothing proves that it did not run.
IDLE_TIMEOUT_SHARE = 0.75

#: Shortest connect timeout whose expiry says something about the address: a
#: few round trips between availability zones.
MIN_TELLING_TIMEOUT_S = 0.1

#: Largest answer to a call that a router makes itself, and what all of them
#: may occupy while they are read; a page of a list is at most 1 MB.
MAX_ANSWER_BYTES = 8_388_608
MAX_ANSWERS_BYTES = 16_777_216

#: Idle connections per address.
MAX_IDLE_CONNECTIONS = 32

_TIMEOUT = re.compile(rb"timeout=(\d+)")


def keep_for_s(headers: message.Headers) -> float:
    """Return for how many seconds the connection may be kept idle.

    Examples
    --------
    >>> keep_for_s(((b"Keep-Alive", b"timeout=4"),))
    3.0
    >>> keep_for_s(((b"Connection", b"close"),))
    0.0
    """
    if message.announces_close(headers):
        return 0.0
    timeout = _TIMEOUT.search(
        message.first_value(headers, b"keep-alive") or b""
    )
    return IDLE_TIMEOUT_SHARE * int(timeout[1]) if timeout else DEFAULT_KEEP_S


def _ignore_result(address: str, is_connected: bool, now_s: float) -> None:
    """Ignore whether a connection could be opened."""


class ConnectionPool:
    """Idle connections by address; the most recently used is reused first.

    Parameters
    ----------
    connect : callable
        Given an address and a timeout in seconds, opens a connection.

    Attributes
    ----------
    opened : int
        Connections that were opened.
    on_connect : callable
        Given an address, whether a new connection to it could be opened,
        and the monotonic time.
    answers : answer_room.AnswerRoom
        Room for answers to calls that the router makes itself.
    """

    def __init__(self, connect=client.connect):
        self.connect = connect
        self.on_connect: Callable[[str, bool, float], None] = _ignore_result
        self._idle: dict[str, list[client.UpstreamConnection]] = {}
        self._in_use: dict[str, set[client.UpstreamConnection]] = {}
        self.opened = 0
        self.answers = answer_room.AnswerRoom(
            MAX_ANSWER_BYTES, MAX_ANSWERS_BYTES
        )

    def is_connected(self, address: str) -> bool:
        """Return whether any connection to an address is still open."""
        connections = (
            *self._idle.get(address, ()),
            *self._in_use.get(address, ()),
        )
        return any(connection.is_open for connection in connections)

    def _take_idle(
        self,
        address: str,
        now_s: float,
        max_idle_s: float,
        excluded: Collection[client.UpstreamConnection],
    ) -> client.UpstreamConnection | None:
        idle = self._idle.pop(address, [])
        chosen, passed_over = None, []
        while idle and chosen is None:
            newest = idle.pop()
            idle_s = now_s - newest.idle_since_s
            limit_s = min(newest.keep_for_s or 0.0, max_idle_s)
            if not newest.usable or idle_s >= limit_s:
                newest.abort()
            elif newest in excluded:
                passed_over.append(newest)
            else:
                chosen = newest
        idle.extend(reversed(passed_over))
        if idle:
            self._idle[address] = idle
        return chosen

    def _put_back(self, connection: client.UpstreamConnection, now_s) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.abort()
            return
        connection.idle_since_s = now_s
        idle.append(connection)

    async def _open(
        self, address: str, timeout_s: float, clock: Callable[[], float]
    ) -> client.UpstreamConnection:
        try:
            connection = await self.connect(address, timeout_s)
        except client.ExchangeError as error:
            is_timeout = error.fault is client.Fault.CONNECT_TIMEOUT
            if not is_timeout or timeout_s >= MIN_TELLING_TIMEOUT_S:
                self.on_connect(address, False, clock())
            raise
        self.opened += 1
        self.on_connect(address, True, clock())
        return connection

    async def probe(
        self, address: str, timeout_s: float, clock: Callable[[], float]
    ) -> None:
        """Open a connection and keep it for the next exchange.

        Raises
        ------
        ExchangeError
            ``NOT_CONNECTED`` or ``CONNECT_TIMEOUT``.
        """
        connection = await self._open(address, timeout_s, clock)
        connection.keep_for_s = DEFAULT_KEEP_S
        self._put_back(connection, clock())

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()

    @contextlib.asynccontextmanager
    async def connection(
        self,
        address: str,
        *,
        connect_timeout_s: float,
        clock,
        max_idle_s: float = float("inf"),
        excluded: Collection[client.UpstreamConnection] = (),
    ) -> AsyncIterator[client.UpstreamConnection]:
        """Provide a connection for one exchange, reused or new.

        Afterwards it returns to the pool only if a complete response and no
        further bytes were read from it; otherwise it is closed at once.

        Parameters
        ----------
        address : str
            ``IP:port``.
        connect_timeout_s : float
            Timeout for opening a new connection.
        clock : callable
            Monotonic time in seconds.
        max_idle_s : float
            A connection that was idle for this long or longer is closed
            instead of reused.
        excluded : collection of UpstreamConnection
            These are not reused, and stay in the pool.

        Raises
        ------
        ExchangeError
            ``NOT_CONNECTED`` or ``CONNECT_TIMEOUT``: no new connection could
            be opened.
        """
        connection = self._take_idle(address, clock(), max_idle_s, excluded)
        if connection is None:
            connection = await self._open(address, connect_timeout_s, clock)
        is_complete = False
        in_use = self._in_use.setdefault(address, set())
        in_use.add(connection)
        try:
            yield connection
            is_complete = True
        finally:
            in_use.discard(connection)
            if not in_use and self._in_use.get(address) is in_use:
                del self._in_use[address]
            if is_complete and connection.keep_for_s and connection.finish():
                self._put_back(connection, clock())
            else:
                connection.abort()
