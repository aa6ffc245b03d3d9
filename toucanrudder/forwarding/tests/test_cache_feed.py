"""Polls of cache events after unexpected errors and router changes."""

import asyncio
import collections
import logging
import random

import pytest

from toucanrudder import clock
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import model
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.testing.virtual import timing

PART = model.Part("a", 500)
FAULT_S = 3.0


class Dialect(cache_feed.CacheDialect):
    """Answers polls, except for one fault at one source."""

    def __init__(self, faulty, fault):
        self.faulty = faulty
        self.fault = fault

    async def cache_events(self, source, since, *, wait_s):
        await asyncio.sleep(wait_s)
        name = cache_feed.source_key(source)
        if name == self.faulty and clock.now_s() >= FAULT_S and self.fault:
            fault, self.fault = self.fault, None
            return fault()
        events = ()
        if clock.now_s() > FAULT_S:
            events = (cache.Event("1", PART.identity, PART.tokens, True),)
        return cache_feed.CacheUpdate(1, since + 1, events)


def _broken():
    raise RuntimeError("fault")


def _cancelled():
    raise asyncio.CancelledError


def _malformed():
    return cache_feed.CacheUpdate(1, 1, (None,))


FAULTS = [
    pytest.param(_broken, "RuntimeError", id="dialect"),
    pytest.param(_cancelled, "CancelledError", id="cancelled"),
    pytest.param(_malformed, "AttributeError", id="index"),
]


def _controller(fault, faulty="e1", routers=lambda: ["r0"]):
    rng = random.Random(1)
    state = states.ForwardingState("r0", "", rng, retry_window.RetryBounds())
    service = model.Service("s", model.Engine(64, 100_000))
    state.offer(model.Configuration(1, services={"s": service}))
    for name in ("e1", "e2"):
        state.registry.put(model.Upstream(name, "s", f"{name}:80"))
    controller = cache_feed.CacheFeedController(
        state, Dialect(faulty, fault), routers, rng
    )
    return state, controller


def _cached_sources(state):
    return [
        name
        for name in ("e1", "e2")
        if state.cache.cached_tokens(name, "1", (PART,))
    ]


@pytest.mark.parametrize(("fault", "logged"), FAULTS)
def test_a_source_is_polled_again_after_an_unexpected_error(
    fault, logged, caplog
):
    """Guards against cached prompts that are prefilled again for good.

    The task that polls an engine ends by an unexpected error.  It stayed in
    the table of polls, so that no other task replaced it.
    """

    async def main():
        state, controller = _controller(fault)
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(FAULT_S + 2 * cache_feed.REFRESH_INTERVAL_S + 2.5)
        running.cancel()
        return _cached_sources(state)

    with caplog.at_level(logging.ERROR, cache_feed.__name__):
        assert timing.run(main) == ["e1", "e2"]
    (line,) = [
        record.getMessage()
        for record in caplog.records
        if record.name == cache_feed.__name__
    ]
    assert "e1" in line
    assert logged in line


def test_all_sources_are_polled_again_after_a_restart():
    """Guards against caches that are not used any more.

    A check ends by an error, and with it the controller, which cancels all
    tasks.  Restarted, it found them in its table and started none.
    """
    pending_faults = [True]

    def routers():
        if pending_faults and clock.now_s() >= FAULT_S:
            pending_faults.pop()
            raise RuntimeError("fault")
        return ["r0"]

    async def main():
        state, controller = _controller(None, routers=routers)
        with pytest.raises(RuntimeError):
            await controller.run()
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(2.5)
        running.cancel()
        return _cached_sources(state)

    assert timing.run(main) == ["e1", "e2"]


class CountingDialect(cache_feed.CacheDialect):
    """Counts the polls of each source."""

    def __init__(self):
        self.polls = collections.Counter()

    async def cache_events(self, source, since, *, wait_s):
        self.polls[cache_feed.source_key(source)] += 1
        await asyncio.sleep(wait_s)
        return cache_feed.CacheUpdate(1, since + 1, ())


ROUTER_COUNTS = [
    # Number of routers by second; whether engines are polled within 3.5 s.
    pytest.param({0.0: 1, 0.6: 40}, False, id="all start at once"),
    pytest.param({0.0: 1, 0.4: 5, 1.1: 20, 1.8: 195}, False, id="slowly"),
    pytest.param({0.0: 1, 0.6: 8}, True, id="few"),
    pytest.param({0.0: 1}, True, id="alone"),
]


@pytest.mark.parametrize(("counts", "is_polled"), ROUTER_COUNTS)
def test_engines_are_polled_once_the_routers_are_known(counts, is_polled):
    """Guards against requests that wait for seconds after a full restart.

    Each router knows no other yet and takes itself for the only one, so all
    would poll all engines for their whole caches and spend seconds on the
    answers.
    """
    dialect = CountingDialect()

    def routers():
        latest = max(at_s for at_s in counts if at_s <= clock.now_s())
        return [f"r{number}" for number in range(counts[latest])]

    async def main():
        _state, controller = _controller(None, routers=routers)
        controller._dialect = dialect
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(3.6)
        running.cancel()

    timing.run(main)
    assert bool(dialect.polls) is is_polled


def test_parts_are_dropped_with_their_weights():
    """Guards against memory that grows with each version of the weights."""

    async def main():
        state, controller = _controller(None)
        running = asyncio.ensure_future(controller.run())
        for version in range(1, 40):
            state.registry.update_weights("e1", "m", version)
            for number in range(50):
                part = model.Part(f"{version}-{number}", 9)
                state.cache.add_parts(
                    "e1", cache.make_salt("", version), (part,)
                )
            await asyncio.sleep(cache_feed.REFRESH_INTERVAL_S)
        running.cancel()
        return state.cache._engines["e1"].salts

    assert len(timing.run(main)) <= 2
