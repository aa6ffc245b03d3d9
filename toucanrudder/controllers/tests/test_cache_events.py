import asyncio
import random
import time

import aiohttp
import tenacity

from toucanrudder.controllers import cache_events
from toucanrudder.document import model
from toucanrudder.prefix import beliefs
from toucanrudder.standins import engine as engines

KEYS = (b"1" * 16, b"2" * 16)


async def until_believed(believed, engine):
    async for attempt in tenacity.AsyncRetrying(
        retry=tenacity.retry_if_exception_type(AssertionError),
        stop=tenacity.stop_after_delay(30),
        wait=tenacity.wait_fixed(0.02),
        reraise=True,
    ):
        with attempt:
            assert believed.believed_tokens(
                "e", engine.incarnation, KEYS, time.monotonic()
            )


async def test_events_of_a_restarted_engine_are_read_from_the_start():
    """An engine with many events behind it restarts at the same address.

    Its numbers begin at one again.  A reader that asks for what comes
    after the old number hears nothing for long, and goes on computing
    prompts that the engine holds.
    """
    believed = beliefs.Beliefs()
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
