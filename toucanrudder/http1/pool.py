"""Kept connections to upstreams."""

from collections.abc import AsyncIterator
from collections.abc import Collection
import contextlib
import re

from toucanrudder.http1 import client
from toucanrudder.http1 import message

#: Seconds for which a connection is kept when the upstream does not say:
#: half of the shortest idle timeout that common servers ship with.
KEEP_S = 2.0

#: Part of the idle timeout an upstream announces that is made use of.  A
#: request that crosses the upstream's close cannot be proved not run.
KEEP_SHARE = 0.75

#: Kept connections to one address.
MAX_KEPT = 32

_TIMEOUT = re.compile(rb"timeout=(\d+)")


def keep_for_s(headers: message.Headers) -> float:
    """Return for how long the connection may be kept idle.

    Examples
    --------
    >>> keep_for_s(((b"Keep-Alive", b"timeout=4"),))
    3.0
    >>> keep_for_s(((b"Connection", b"close"),))
    0.0
    """
    if message.closes(headers):
        return 0.0
    found = _TIMEOUT.search(message.first_value(headers, b"keep-alive") or b"")
    return KEEP_SHARE * int(found[1]) if found else KEEP_S


class ConnectionPool:
    """Kept connections by address, last used first."""

    def __init__(self):
        self._kept: dict[str, list[client.UpstreamConnection]] = {}
        self.opened = 0

    def _take(
        self,
        address: str,
        now_s: float,
        max_idle_s: float,
        excluded: Collection[client.UpstreamConnection],
    ) -> client.UpstreamConnection | None:
        kept = self._kept.pop(address, [])
        found, passed_over = None, []
        while kept and found is None:
            newest = kept.pop()
            idle_s = now_s - newest.idle_since_s
            limit_s = min(newest.keep_for_s or 0.0, max_idle_s)
            if not newest.usable or idle_s >= limit_s:
                newest.abort()
            elif newest in excluded:
                passed_over.append(newest)
            else:
                found = newest
        kept.extend(reversed(passed_over))
        if kept:
            self._kept[address] = kept
        return found

    def _keep(self, connection: client.UpstreamConnection, now_s) -> None:
        kept = self._kept.setdefault(connection.address, [])
        if len(kept) >= MAX_KEPT:
            connection.abort()
            return
        connection.idle_since_s = now_s
        kept.append(connection)

    def close(self) -> None:
        """Close everything kept."""
        for kept in self._kept.values():
            for connection in kept:
                connection.abort()
        self._kept.clear()

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
        """Lend a connection for one exchange.

        It is kept afterwards only if a whole answer was read from it and
        nothing else came; in every other case it is closed at once.

        Parameters
        ----------
        address : str
            ``IP:port``.
        connect_timeout_s : float
            Longest wait for a new connection.
        clock : callable
            Monotonic time in seconds.
        max_idle_s : float
            A connection that was idle for longer is not taken.
        excluded : collection of UpstreamConnection
            These are not taken, and stay kept.

        Raises
        ------
        ExchangeError
            ``NOT_CONNECTED``.
        """
        found = self._take(address, clock(), max_idle_s, excluded)
        if found is None:
            found = await client.connect(address, connect_timeout_s)
            self.opened += 1
        whole = False
        try:
            yield found
            whole = True
        finally:
            if whole and found.keep_for_s and found.finish():
                self._keep(found, clock())
            else:
                found.abort()
