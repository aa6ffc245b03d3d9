"""Timeouts of a process that does not run all the time."""

import asyncio
import contextlib
import socket
import time

import pytest
import uvloop

from toucanrudder import stalls
from toucanrudder.testing.virtual import timing

LIMIT_S = 0.2


@pytest.fixture
async def reported():
    """Stalls that were reported while they are watched."""
    found = []
    task = asyncio.ensure_future(stalls.watch(found.append))
    await asyncio.sleep(2 * stalls.TICK_S)
    yield found
    task.cancel()


async def test_time_in_which_the_process_stood_still_does_not_count(reported):
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, time.sleep, 3 * LIMIT_S)
    began_s = loop.time()
    with pytest.raises(TimeoutError):
        async with stalls.timeout(LIMIT_S):
            await asyncio.Event().wait()
    took_s = loop.time() - began_s
    assert 3 * LIMIT_S + LIMIT_S / 2 < took_s < 5 * LIMIT_S
    assert len(reported) == 1


def test_bytes_that_came_in_a_standstill_are_read_before_a_timeout():
    # This loop runs its timers before it reads.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_bytes_are_read_before_a_timeout())


async def _bytes_are_read_before_a_timeout():
    # Not watched: no stall is measured, and time is up at once.
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    with contextlib.closing(theirs):
        reader, writer = await asyncio.open_connection(sock=ours)
        loop = asyncio.get_running_loop()

        def stand_still():
            time.sleep(3 * LIMIT_S)
            theirs.send(b"x")

        loop.call_later(0.05, stand_still)
        async with stalls.timeout(LIMIT_S):
            assert await reader.read(1) == b"x"
        writer.close()


async def test_without_stalls_a_timeout_ends_in_time(reported):
    began_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with stalls.timeout(LIMIT_S):
            await asyncio.Event().wait()
    assert time.monotonic() - began_s >= LIMIT_S


async def test_no_limit_is_no_timeout():
    async with stalls.timeout(None):
        await asyncio.sleep(0)


async def test_running_time_stands_still_with_the_process(reported):
    before_s = stalls.running_s()
    time.sleep(3 * LIMIT_S)  # noqa: ASYNC251
    await asyncio.sleep(0)
    assert stalls.running_s() - before_s <= stalls.TICK_S


@pytest.mark.parametrize("stalled_s", (0.1, 1 / 3, 7.7, 123.456))
def test_timer_ends_though_its_clock_is_rounded(stalled_s):
    """Guards against a timer that waits for less than a clock can show."""
    readings = []

    async def main():
        loop = asyncio.get_running_loop()

        def running_s():
            readings.append(loop.time())
            assert readings.count(readings[-1]) < 9
            return readings[-1] - stalled_s

        for delay_ms in range(1, 300):
            ended = asyncio.Event()
            stalls.Timer(delay_ms / 1000, ended.set, clock=running_s)
            await ended.wait()

    timing.run(main)
