"""Parts of prompts at which engines crash, in requests never alike."""

import asyncio
import itertools
import json

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import crashing
from toucanrudder.platform.testing import standins
from toucanrudder.quarantine import parts as part_trackers

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
    routers = await cluster.routers(ROUTERS)
    await crash_engines(engines, routers, *parts)
    late = await count_late_arrivals(engines, routers, *parts)
    assert late <= MOST_LATE
    sound_parts = [part for part in parts if part != BAD]
    answers = [await ask(router, *sound_parts) for router in routers]
    assert {answer.body for answer in answers} == {clusters.EVENTS}


async def block(engines, routers, *parts):
    """Crash engines until no router sends the parts to any."""
    await crash_engines(engines, routers, *parts)
    while len(engines.arrivals) < FREE_CRASHES:
        arrived = len(engines.arrivals)
        await asyncio.sleep(PAUSE_S)
        await ask(routers[0], *parts)
        if len(engines.arrivals) == arrived:
            return


async def start_blocked(cluster, count=ROUTERS):
    """Start engines and routers that have blocked the bad part."""
    engines = crashing.CrashingEngines(cluster, {BAD})
    await engines.start(ENGINES)
    routers = await cluster.routers(count)
    await block(engines, routers, SHARED, BAD)
    return engines, routers


@pytest.mark.parametrize("path", [b"/s/", b"/once/"])
async def test_blocked_prompt_is_refused_without_being_invited_back(
    cluster, path
):
    engines, routers = await start_blocked(cluster)
    arrived = len(engines.arrivals)
    for router in routers:
        answer = await ask(router, SHARED, BAD, path=path)
        error = json.loads(answer.body)["error"]
        assert (answer.status, error["code"], error["ran"]) == (
            502,
            "crashed_upstreams",
            "not_run",
        )
        assert answer.get(b"retry-after") is None
    assert len(engines.arrivals) == arrived


async def test_router_without_peers_counts_what_it_sees(cluster):
    engines, routers = await start_blocked(cluster, 1)
    assert await count_late_arrivals(engines, routers, SHARED, BAD) == 0


async def test_router_that_has_just_started_sends_no_blocked_part(cluster):
    engines, routers = await start_blocked(cluster)
    arrived = len(engines.arrivals)
    newcomer = await cluster.router("r9", routers[0].peering.node.address)
    for _ in range(3):
        assert (await ask(newcomer, SHARED, BAD)).status == 502
    assert len(engines.arrivals) == arrived


async def test_router_cut_off_from_engines_hands_no_blocked_part_over(cluster):
    engines, routers = await start_blocked(cluster)
    arrived = len(engines.arrivals)
    with clusters.cut_off(routers[1], clusters.refuse):
        assert (await ask(routers[1], SHARED, BAD)).status == 502
    assert len(engines.arrivals) == arrived


async def test_no_organisation_blocks_a_part_of_another(cluster):
    engines = crashing.CrashingEngines(cluster, {BAD}, "north")
    await engines.start(ENGINES)
    routers = await cluster.routers(ROUTERS)
    await block(engines, routers, SHARED, BAD)
    key = "Bearer key-of-south"
    for router in routers:
        answer = await ask(router, SHARED, BAD, Authorization=key)
        assert answer.body == clusters.EVENTS
        assert (await ask(router, SHARED, BAD)).status == 502


async def test_two_parts_that_crash_engines_are_both_stopped(cluster):
    engines = crashing.CrashingEngines(cluster, {BAD, "worse"})
    await engines.start(ENGINES)
    routers = await cluster.routers(ROUTERS)
    await block(engines, routers, SHARED, BAD)
    assert (await ask(routers[0], SHARED, "a3")).status == 200
    engines.arrivals.clear()
    engines.ended = 0
    await block(engines, routers, SHARED, "worse", "a3")
    late = await count_late_arrivals(engines, routers, SHARED, "worse", "a3")
    assert late <= MOST_LATE
    answers = [await ask(router, SHARED, "a3") for router in routers]
    assert {answer.body for answer in answers} == {clusters.EVENTS}


async def test_connections_that_break_without_a_crash_block_no_part(cluster):
    engines = [await cluster.engine() for _ in range(4)]
    routers = await cluster.routers(ROUTERS)
    for round_number in range(8):
        for engine in engines:
            engine.behaviours = [standins.resets]
        # Each request with the part is reset; others show that engines live.
        await ask(routers[round_number % ROUTERS], "a1", "a2")
        for engine in engines:
            engine.behaviours = []
        for router in routers * 2:
            assert (await ask(router, "a9")).status == 200
        await asyncio.sleep(0.1)
    answer = await ask(routers[0], "a1", "a2")
    assert answer.body == clusters.EVENTS


async def test_old_block_is_tried_by_one_request_at_a_time(
    cluster, monkeypatch
):
    engines, routers = await start_blocked(cluster)
    await asyncio.sleep(PAUSE_S)
    monkeypatch.setattr(part_trackers, "TRIAL_AFTER_S", 2 * PAUSE_S)
    await asyncio.sleep(2 * PAUSE_S)
    arrived = len(engines.arrivals)
    answers = await asyncio.gather(
        *(ask(router, SHARED, BAD) for router in routers * 4)
    )
    assert {answer.status for answer in answers} == {502}
    assert len(engines.arrivals) == arrived + 1


async def test_part_that_crashes_engines_no_more_is_served_again(
    cluster, monkeypatch
):
    engines, routers = await start_blocked(cluster)
    engines.bad_parts.clear()
    monkeypatch.setattr(part_trackers, "TRIAL_AFTER_S", PAUSE_S)
    await asyncio.sleep(2 * PAUSE_S)
    for router in routers:
        await ask(router, SHARED, BAD)
    await asyncio.sleep(PAUSE_S)
    answers = [await ask(router, SHARED, BAD) for router in routers]
    assert {answer.body for answer in answers} == {clusters.EVENTS}
