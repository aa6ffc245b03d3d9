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


async def until_indexed(index, engine):
    async for attempt in tenacity.AsyncRetrying(
        retry=tenacity.retry_if_exception_type(AssertionError),
        stop=tenacity.stop_after_delay(30),
        wait=tenacity.wait_fixed(0.02),
        reraise=True,
    ):
        with attempt:
            assert index.expected_cached_tokens(
                "e", engine.incarnation, KEYS, time.monotonic()
            )


async def test_events_of_a_restarted_engine_are_read_from_the_start():
    """Events of a restarted engine are missed for a long time.

    An engine that has sent many events restarts at the same address and
    numbers its events from one again.  A reader that asks for events after
    the old number gets none, and prompts are sent elsewhere though the
    engine has them cached.
    """
    index = cache_index.PrefixCacheIndex()
    options = {"name": "e", "event_lag_s": 0.0}
    async with aiohttp.ClientSession() as session:
        async with engines.opened(**options) as first:
            upstream = model.Upstream("e", "engine", first.address, "z", "p")
            controller = cache_events.CacheEventController(
                session,
                index,
                lambda: (upstream,),
                random.Random(1),
                time.monotonic,
            )
            following = asyncio.create_task(controller.run())
            for number in range(50):
                first.cache.store([b"%016d" % number], time.time())
            first.cache.store(KEYS, time.time())
            await until_indexed(index, first)
        port = int(first.address.rpartition(":")[2])
        async with engines.opened(port=port, **options) as second:
            second.cache.store(KEYS, time.time())
            await until_indexed(index, second)
        following.cancel()


class StubSession:
    """A client session with scripted streams; records the requested URLs."""

    def __init__(self, first_replies):
        self.first_replies = first_replies
        self.requested = []

    @contextlib.asynccontextmanager
    async def get(self, url, **options):
        self.requested.append(url)
        lines = self.first_replies.pop(url, GOOD)
        if isinstance(lines, BaseException):
            raise lines
        response = mock.Mock(status=200)
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


def _controller(session, index):
    upstreams = tuple(
        model.Upstream(name, "engine", f"{name}:1", "z", "p")
        for name in ("e1", "e2")
    )
    return cache_events.CacheEventController(
        session, index, lambda: upstreams, random.Random(1), clock.now_s
    )


MALFORMED_LINES = [
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


@pytest.mark.parametrize("line", MALFORMED_LINES)
def test_a_malformed_event_ends_only_its_own_stream(line):
    """One engine's malformed event ends the streams of all engines.

    It raises an error that is not handled as the end of one stream, and
    so ends the task group that reads all streams.
    """

    async def main():
        index = cache_index.PrefixCacheIndex()
        session = StubSession({URLS[0]: line.strip() + b"\n"})
        running = asyncio.ensure_future(_controller(session, index).run())
        await asyncio.sleep(1.0 + max(cache_events.RECONNECT_DELAY_S))
        has_ended = running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return has_ended, sorted(session.requested)

    assert timing.run(main) == (False, [URLS[0], *URLS])


def test_all_engines_are_followed_again_after_a_restart():
    """No cache events are read any more after a restart.

    A task fails with an unexpected error, and the controller with it.
    When restarted, the controller finds the ended tasks in its table and
    starts no new ones.
    """

    async def main():
        index = cache_index.PrefixCacheIndex()
        session = StubSession({URLS[0]: RuntimeError("fault"), URLS[1]: b""})
        controller = _controller(session, index)
        with pytest.raises(ExceptionGroup):
            await controller.run()
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(1.0)
        running.cancel()
        return [
            name
            for name in ("e1", "e2")
            if index.expected_cached_tokens(name, "i", KEYS, clock.now_s())
        ]

    assert timing.run(main) == ["e1", "e2"]


def test_an_engine_is_followed_again_after_its_task_was_cancelled():
    """One engine's cache events are not read any more.

    Something that its task waits on is cancelled by another part of the
    process.  A cancelled task does not end its group, and no new task is
    started.
    """

    async def main():
        index = cache_index.PrefixCacheIndex()
        session = StubSession(
            {URLS[0]: asyncio.CancelledError(), URLS[1]: b""}
        )
        running = asyncio.ensure_future(_controller(session, index).run())
        await asyncio.sleep(3 * cache_events.UPDATE_INTERVAL_S)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return bool(
            index.expected_cached_tokens("e1", "i", KEYS, clock.now_s())
        )

    assert timing.run(main)
