"""An event loop whose time passes only while nothing is left to do."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import selectors
import types
from typing import Any
from unittest import mock

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.forwarding import peering
from toucanrudder.peers import client
from toucanrudder.peers import server

#: Unix time at which virtual time begins.
EPOCH_S = 1_700_000_000.0

#: Modules of the control path that read a clock themselves.
_READERS = (clock, stalls, peering, client, server)


class Stuck(Exception):
    """All tasks wait for something that no timer brings about."""


class _Selector(selectors.SelectSelector):
    """Lets time pass in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Return at once what is ready; else move the time on."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise Stuck
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, from 0 s on."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


@contextlib.contextmanager
def _clocks_of(loop: VirtualLoop) -> Iterator[None]:
    """Let the control path read the loop's time for the block."""
    virtual = types.SimpleNamespace(
        CLOCK_BOOTTIME=0,
        clock_gettime=lambda _: loop.time(),
        monotonic=loop.time,
        time=lambda: EPOCH_S + loop.time(),
    )
    with contextlib.ExitStack() as stack:
        for module in _READERS:
            stack.enter_context(mock.patch.object(module, "time", virtual))
        yield


def run(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine function on virtual time; return its result.

    Examples
    --------
    >>> async def hour():
    ...     await asyncio.sleep(3600)
    ...     return clock.now_s()
    >>> run(hour)
    3600.0
    """
    with (
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
        _clocks_of(runner.get_loop()),
    ):
        return runner.run(main())
