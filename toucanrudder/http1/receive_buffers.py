"""Receive buffers of sockets, bounded over all connections of a process.

Bytes that a peer has sent wait in the socket until the event loop reads them.
A crowd of peers sends faster than one process reads, so without a bound on
the sum the kernel keeps more for them than the instance has.
"""

import asyncio
from collections.abc import Callable
import contextlib
import socket

#: Bytes that one socket may hold unread, at least and at most.
MIN_BYTES = 4_096
MAX_BYTES = 131_072

#: The same for a connection that is not accepted yet.
MAX_UNACCEPTED_BYTES = 32_768

#: Connections that may wait to be accepted.
BACKLOG = 1_024


def buffer_bytes(bound_bytes: int, connections: int, current: int) -> int:
    """Return how much each of some connections may hold unread.

    A power of two, so that it changes seldom.  It grows again only when twice
    as much would fit.

    Parameters
    ----------
    bound_bytes : int
        What all may hold.
    connections : int
        How many there are.
    current : int
        What each may hold now.

    Examples
    --------
    >>> buffer_bytes(4_000_000, 100, MAX_BYTES)
    32768
    >>> [buffer_bytes(4_000_000, count, 32_768) for count in (60, 30, 5)]
    [32768, 65536, 131072]
    >>> buffer_bytes(4_000_000, 100_000, MAX_BYTES)
    4096
    """
    size = current
    while size > MIN_BYTES and size * connections > bound_bytes:
        size //= 2
    while size < MAX_BYTES and 4 * size * connections <= bound_bytes:
        size *= 2
    return size


def _set(sock: socket.socket | None, size_bytes: int) -> None:
    if sock is None or sock.fileno() < 0:
        return
    # The kernel doubles the value, for what it needs itself.  A socket that
    # has closed in the meantime holds nothing.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes // 2)


class ReceiveBuffers:
    """Sizes the receive buffers of connections.

    Parameters
    ----------
    bound_bytes : callable
        Returns what all of them may hold.
    """

    def __init__(self, bound_bytes: Callable[[], int]):
        self._bound_bytes = bound_bytes
        self._transports: set[asyncio.BaseTransport] = set()
        self.size_bytes = MAX_BYTES

    def add(self, transport: asyncio.BaseTransport) -> None:
        """Size the buffer of a new connection, and those of others anew."""
        self._transports.add(transport)
        if not self._resize():
            _set(transport.get_extra_info("socket"), self.size_bytes)

    def remove(self, transport: asyncio.BaseTransport) -> None:
        """Forget a connection that has ended."""
        self._transports.discard(transport)
        self._resize()

    def _resize(self) -> bool:
        size_bytes = buffer_bytes(
            self._bound_bytes(), len(self._transports), self.size_bytes
        )
        if size_bytes == self.size_bytes:
            return False
        self.size_bytes = size_bytes
        for transport in self._transports:
            _set(transport.get_extra_info("socket"), size_bytes)
        return True

    def bound_unaccepted(self, server: asyncio.Server) -> None:
        """Bound what connections hold that a server has not accepted."""
        size_bytes = buffer_bytes(self._bound_bytes(), BACKLOG, MAX_BYTES)
        for sock in server.sockets:
            _set(sock, min(size_bytes, MAX_UNACCEPTED_BYTES))
