"""Count of the requests that are open at this router."""

import asyncio
from collections.abc import Iterator
import contextlib


class OpenExchanges:
    """Counts open requests and remembers when the last one arrived."""

    def __init__(self, clock):
        self._clock = clock
        self._open = 0
        self._changed = asyncio.Event()
        self.last_arrival_s = clock()

    @property
    def open(self) -> int:
        """Number of open requests."""
        return self._open

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count one request for as long as the context is open."""
        self._open += 1
        self.last_arrival_s = self._clock()
        try:
            yield
        finally:
            self._open -= 1
            self._changed.set()

    async def wait_idle(self, idle_s: float) -> None:
        """Wait until no request is open and none has arrived for `idle_s`.

        A request may arrive on a caller's pooled connection just as the
        router stops.  An idle time, during which responses ask callers to
        close their connections, keeps such requests from being cut.
        """
        while True:
            since_s = self._clock() - self.last_arrival_s
            if self._open == 0 and since_s >= idle_s:
                return
            self._changed.clear()
            wait_s = max(0.01, idle_s - since_s) if self._open == 0 else 1.0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
