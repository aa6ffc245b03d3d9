"""Parts of prompts at which engines crash, in requests never alike."""

import asyncio
import itertools

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import crashing

ENGINES = 8
ROUTERS = 3
BAD, SHARED = "bad", "a0"

#: Crashes before the bound holds, how long routers may then take to agree,
#: and requests that may reach engines afterwards.
FREE_CRASHES = 5
CONTACT_S = 3.0
MOST_LATE = 3

#: Time between two requests with the bad part, and how many come late.
PAUSE_S = 0.25
LATE_REQUESTS = 9

NUMBERS = itertools.count()


async def start_routers(cluster, count=ROUTERS):
    routers = [await cluster.router("r1")]
    address = routers[0].peering.node.address
    for number in range(2, count + 1):
        routers.append(await cluster.router(f"r{number}", address))
    await clusters.wait_until(
        lambda: all(each.state.live_routers() == count for each in routers)
    )
    return routers


async def ask(router, *parts, path=b"/s/", **headers):
    """Send a request with the parts and a tail of its own."""
    number = next(NUMBERS)
    prefix = ",".join(f"{part}:100" for part in (*parts, f"{number:x}ff"))
    return await clusters.send_request(
        router,
        path + b"%d" % number,
        method=b"POST",
        body=b"body %d" % number,
        Prompt_Prefix=prefix,
        Token_Counts=f"{100 * len(parts) + 100},5",
        **headers,
    )


async def crash_engines(engines, routers, *parts):
    """Send bad requests until the bound holds, or one reaches no engine."""
    for router in itertools.cycle(routers):
        arrived = len(engines.arrivals)
        await ask(router, *parts)
        await asyncio.sleep(PAUSE_S)
        if engines.ended >= FREE_CRASHES or len(engines.arrivals) == arrived:
            return


async def count_late_arrivals(engines, routers, *parts):
    """Return how many bad requests reach engines once routers must agree."""
    await asyncio.sleep(CONTACT_S)
    arrived = len(engines.arrivals)
    for router in itertools.islice(itertools.cycle(routers), LATE_REQUESTS):
        await ask(router, *parts)
        await asyncio.sleep(PAUSE_S)
    return len(engines.arrivals) - arrived


PLACES = [(SHARED, BAD), (BAD,), (SHARED, "a1", BAD, "a2")]


@pytest.mark.parametrize("parts", PLACES)
async def test_part_that_crashes_engines_is_stopped_whatever_follows_it(
    cluster, parts
):
    engines = crashing.CrashingEngines(cluster, {BAD})
    await engines.start(ENGINES)
    routers = await start_routers(cluster)
    await crash_engines(engines, routers, *parts)
    late = await count_late_arrivals(engines, routers, *parts)
    assert late <= MOST_LATE
    sound_parts = [part for part in parts if part != BAD]
    answers = [await ask(router, *sound_parts) for router in routers]
    assert {answer.body for answer in answers} == {clusters.EVENTS}
