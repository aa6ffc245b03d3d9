import asyncio
import contextlib
import json
import random
import time
from unittest import mock

import aiohttp
import pytest
import tenacity

from toucanrudder import clock
from toucanrudder.controllers import cache_events
from toucanrudder.document import model
from toucanrudder.prefix import cache_index
from toucanrudder.standins import engine as engines
from toucanrudder.testing.virtual import timing

KEYS = (b"1" * 16, b"2" * 16)


async def until_believed(believed, engine):
    async for attempt in tenacity.AsyncRetrying(
        retry=tenacity.retry_if_exception_type(AssertionError),
        stop=tenacity.stop_after_delay(30),
        wait=tenacity.wait_fixed(0.02),
        reraise=True,
    ):
        with attempt:
            assert believed.expected_cached_tokens(
                "e", engine.incarnation, KEYS, time.monotonic()
            )


async def test_events_of_a_restarted_engine_are_read_from_the_start():
    """An engine with many events behind it restarts at the same address.

    Its numbers begin at one again.  A reader that asks for what comes
    after the old number hears nothing for long, and goes on computing
    prompts that the engine holds.
    """
    believed = cache_index.PrefixCacheIndex()
    options = {"name": "e", "event_lag_s": 0.0}
    async with aiohttp.ClientSession() as session:
        async with engines.opened(**options) as first:
            upstream = model.Upstream("e", "engine", first.address, "z", "p")
            controller = cache_events.CacheEventController(
                session,
                believed,
                lambda: (upstream,),
                random.Random(1),
                time.monotonic,
            )
            following = asyncio.create_task(controller.run())
            for number in range(50):
                first.cache.store([b"%016d" % number], time.time())
            first.cache.store(KEYS, time.time())
            await until_believed(believed, first)
        port = int(first.address.rpartition(":")[2])
        async with engines.opened(port=port, **options) as second:
            second.cache.store(KEYS, time.time())
            await until_believed(believed, second)
        following.cancel()


class Streams:
    """Event streams in place of a session; keeps who was asked."""

    def __init__(self, first):
        self.first = first
        self.asked = []

    @contextlib.asynccontextmanager
    async def get(self, url, **options):
        self.asked.append(url)
        lines = self.first.pop(url, GOOD)
        if isinstance(lines, BaseException):
            raise lines
        response = mock.Mock()
        response.content.iter_any = lambda: self._chunks(lines)
        yield response

    async def _chunks(self, lines):
        yield lines
        await asyncio.sleep(3600)


GOOD = (
    json.dumps(
        {
            "seq": 1,
            "incarnation": "i",
            "kind": "stored",
            "blocks": [key.hex() for key in KEYS],
        }
    ).encode()
    + b"\n"
)
URLS = ["http://e1:1/cache/events", "http://e2:1/cache/events"]


def _controller(streams, believed):
    upstreams = tuple(
        model.Upstream(name, "engine", f"{name}:1", "z", "p")
        for name in ("e1", "e2")
    )
    return cache_events.CacheEventController(
        streams, believed, lambda: upstreams, random.Random(1), clock.now_s
    )


UNREADABLE = [
    pytest.param(b"nothing", id="no_json"),
    pytest.param(b"[" * 100_000, id="deep"),
    pytest.param(b"null", id="null"),
    pytest.param(b"[]", id="list"),
    pytest.param(b"{}", id="no_seq"),
    pytest.param(b'{"seq": null}', id="seq_null"),
    pytest.param(b'{"seq": 1e400}', id="seq_infinite"),
    pytest.param(b'{"seq": 1}', id="no_incarnation"),
    pytest.param(b'{"seq": 1, "incarnation": "i"}', id="no_kind"),
    pytest.param(GOOD.replace(b"[", b'5, "x": ['), id="blocks_number"),
    pytest.param(GOOD.replace(b"[", b"[5, "), id="block_number"),
    pytest.param(GOOD.replace(b"[", b'["z", '), id="block_no_hex"),
]


@pytest.mark.parametrize("line", UNREADABLE)
def test_an_event_that_cannot_be_read_breaks_its_stream_alone(line):
    """One engine's strange event ends the reading of all engines' events.

    The error that it raises is none of those that a stream may end by, so
    that it ends the group of tasks that reads all streams.
    """

    async def main():
        believed = cache_index.PrefixCacheIndex()
        streams = Streams({URLS[0]: line.strip() + b"\n"})
        running = asyncio.ensure_future(_controller(streams, believed).run())
        await asyncio.sleep(1.0 + max(cache_events.RECONNECT_S))
        has_ended = running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return has_ended, sorted(streams.asked)

    assert timing.run(main) == (False, [URLS[0], *URLS])


def test_all_engines_are_followed_again_after_a_restart():
    """Prompts that engines hold are computed again, for ever.

    A task ends by an error that nobody expected, and the controller with
    it.  Started again, it finds the ended tasks in its table and starts
    none.
    """

    async def main():
        believed = cache_index.PrefixCacheIndex()
        streams = Streams({URLS[0]: RuntimeError("fault"), URLS[1]: b""})
        controller = _controller(streams, believed)
        with pytest.raises(ExceptionGroup):
            await controller.run()
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(1.0)
        running.cancel()
        return [
            name
            for name in ("e1", "e2")
            if believed.expected_cached_tokens(name, "i", KEYS, clock.now_s())
        ]

    assert timing.run(main) == ["e1", "e2"]


def test_an_engine_is_followed_again_after_its_task_was_cancelled():
    """One engine's prompts are computed again, for as long as the run lasts.

    Something that its task waits on is cancelled by another part of the
    process.  A cancelled task ends no group, and nobody starts another.
    """

    async def main():
        believed = cache_index.PrefixCacheIndex()
        streams = Streams({URLS[0]: asyncio.CancelledError(), URLS[1]: b""})
        running = asyncio.ensure_future(_controller(streams, believed).run())
        await asyncio.sleep(3 * cache_events.CHECK_S)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return bool(
            believed.expected_cached_tokens("e1", "i", KEYS, clock.now_s())
        )

    assert timing.run(main)
