"""Time for which this process did not run.

A process that is stopped, or waits for a processor, neither reads its sockets
nor runs its timers.  Afterwards timers become due before the bytes that have
arrived meanwhile are read, so others seem to have been silent for as long.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time

#: Interval of the timer whose delay is measured: the shortest stall that is
#: measured in full.
TICK_S = 0.05

#: Shortest stall that is reported.
REPORTED_STALL_S = 0.2

#: Delay within which an event loop reads its sockets once.
POLL_S = 0.001


class StallMonitor:
    """Measures the stalls of an event loop by the delay of a timer.

    Examples
    --------
    >>> monitor = StallMonitor()
    >>> monitor.tick(10.0)
    0.0
    >>> round(monitor.tick(12.0), 2), round(monitor.running_s(12.0), 2)
    (1.95, 10.05)
    """

    def __init__(self):
        self._tick_due_s: float | None = None
        self._stalled_s = 0.0
        self._watchers = 0

    def _overdue_s(self, now_s: float) -> float:
        if self._tick_due_s is None:
            return 0.0
        return max(0.0, now_s - self._tick_due_s)

    def tick(self, now_s: float) -> float:
        """Record that the timer runs; return the length of its delay."""
        overdue_s = self._overdue_s(now_s)
        self._stalled_s += overdue_s
        self._tick_due_s = now_s + TICK_S
        return overdue_s

    def running_s(self, now_s: float) -> float:
        """Return the monotonic time without all stalls so far."""
        return now_s - self._stalled_s - self._overdue_s(now_s)

    @contextlib.contextmanager
    def watched(self) -> Iterator[None]:
        """Expect ticks during the block."""
        self._watchers += 1
        try:
            yield
        finally:
            self._watchers -= 1
            if not self._watchers:
                self._tick_due_s = None


_MONITOR = StallMonitor()


def running_s() -> float:
    """Return the monotonic time without the stalls of this process.

    What others did, or failed to do, is judged by this clock.
    """
    return _MONITOR.running_s(time.monotonic())


async def watch(on_stall: Callable[[float], None]) -> None:
    """Measure stalls until cancelled.

    Parameters
    ----------
    on_stall : callable
        Given the length of each stall that is worth a report, in seconds.
    """
    with _MONITOR.watched():
        while True:
            overdue_s = _MONITOR.tick(time.monotonic())
            if overdue_s >= REPORTED_STALL_S:
                on_stall(overdue_s)
            await asyncio.sleep(TICK_S)


class Timer:
    """Calls back once a time has passed and the sockets have been read since.

    Parameters
    ----------
    delay_s : float
        Time until then.
    callback : callable
        Called without arguments.
    clock : callable
        Clock of that time; by default the time in which this process runs.
    """

    def __init__(
        self,
        delay_s: float,
        callback: Callable[[], object],
        clock: Callable[[], float] = running_s,
    ):
        self._callback = callback
        self._clock = clock
        self._ends_s = clock() + delay_s
        self._has_polled = False
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        left_s = self._ends_s - self._clock()
        if left_s > 0:
            # The two clocks may differ by less than the loop's can show.
            self._handle = self._loop.call_later(
                max(left_s, POLL_S), self._check
            )
        elif not self._has_polled:
            # What has arrived by now must be read before time is up.
            self._has_polled = True
            self._handle = self._loop.call_later(POLL_S, self._check)
        else:
            self._callback()

    def cancel(self) -> None:
        """Call nothing any more."""
        self._handle.cancel()


@contextlib.asynccontextmanager
async def timeout(
    delay_s: float | None, clock: Callable[[], float] = running_s
) -> AsyncIterator[Timer | None]:
    """Raise TimeoutError if the block takes longer.

    Parameters
    ----------
    delay_s : float or None
        Longest time; None for no limit.
    clock : callable
        Clock of that time; by default the time in which this process runs.

    Yields
    ------
    Timer or None
        Its cancellation removes the limit.
    """
    async with asyncio.timeout(None) as limit:
        if delay_s is None:
            yield None
            return
        loop = asyncio.get_running_loop()
        timer = Timer(
            delay_s, lambda: limit.reschedule(loop.time()), clock=clock
        )
        try:
            yield timer
        finally:
            timer.cancel()
