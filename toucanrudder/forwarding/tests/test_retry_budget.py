"""Retries of whole fleets, on virtual time."""

import asyncio
import bisect
import collections

import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

RATIO = 0.2
WINDOW_S = 10.0

#: Time for which routers run before the first request, and then serve.
STARTED_S = 12.0
SERVING_S = 26.0

#: When a failure begins, and when it ends.
FROM_S, UNTIL_S = 5.0, 20.0

#: Time until a killed router is started again.
DOWN_S = 0.5

#: Routers, requests a second and slack of a deployment.
FLEETS = {8: (46.0, 56.0), 82: (250.0, 204.0), 195: (400.0, 400.0)}


async def no_failure(site):
    """No failure."""


async def split_in_two(site):
    await asyncio.sleep(FROM_S)
    await site.split_routers(site.names[::2], for_s=UNTIL_S - FROM_S)


async def each_alone(site):
    await asyncio.sleep(FROM_S)
    site.alone = set(site.names)
    await asyncio.sleep(UNTIL_S - FROM_S)
    site.alone = set()


async def most_restarted_twice(site):
    for wait_s in (FROM_S, 4.0):
        await asyncio.sleep(wait_s)
        await site.restart_routers(
            site.names[: 3 * site.routers // 5], down_s=DOWN_S
        )


async def all_restarted_twice(site):
    for wait_s in (FROM_S, 6.0):
        await asyncio.sleep(wait_s)
        await site.restart_routers(site.names, down_s=DOWN_S)


async def split_and_restarted(site):
    site.spawn(split_in_two(site))
    await asyncio.sleep(FROM_S + 3.0)
    await site.restart_routers(
        site.names[: 3 * site.routers // 5], down_s=DOWN_S
    )


async def one_half_restarted_in_a_split(site):
    site.spawn(split_in_two(site))
    await asyncio.sleep(FROM_S + 1.0)
    await site.restart_routers(site.names[::2], down_s=DOWN_S)


async def all_at_once(site):
    site.spawn(split_in_two(site))
    site.spawn(all_restarted_twice(site))
    await asyncio.sleep(FROM_S + 8.0)
    site.alone = set(site.names)
    await asyncio.sleep(4.0)
    site.alone = set()


FAILURES = [
    no_failure,
    split_in_two,
    each_alone,
    most_restarted_twice,
    all_restarted_twice,
    split_and_restarted,
    one_half_restarted_in_a_split,
    all_at_once,
]


def run(routers, failure, seed, **fleet_settings):
    """Return the fleet after it has served requests of which each fails."""
    per_s, slack = FLEETS[routers]

    async def main():
        site = sites.Site(
            seed, routers=routers, engine_count=1, retry_slack=slack, zones=3
        )
        fleet = traffic.Fleet(site, {"llm": 5}, **fleet_settings)
        for worker in fleet.of_service("llm"):
            worker.is_failing = True
        async with fleet.serving(
            {"llm": per_s}, seed=seed, started_s=STARTED_S, once_share=0.0
        ):
            site.spawn(failure(site))
            await asyncio.sleep(SERVING_S)
        return fleet

    return timing.run(main)


def between(times_s, since_s, until_s):
    """Return how many of the sorted times are in an interval."""
    first = bisect.bisect_left(times_s, since_s)
    return bisect.bisect_left(times_s, until_s) - first


def worst_share(fleet, slack):
    """Return the largest share of the bound that is used in a window."""
    sent_s = sorted(outcome.at_s for outcome in fleet.outcomes)
    seen = collections.Counter()
    retried_s = []
    for arrival in fleet.arrivals:
        if seen[arrival.request_id]:
            retried_s.append(arrival.at_s)
        seen[arrival.request_id] += 1
    shares = [0.0]
    for since_s in retried_s:
        retries = between(retried_s, since_s, since_s + WINDOW_S)
        requests = max(
            between(sent_s, since_s - back_s, since_s - back_s + WINDOW_S)
            for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        shares.append(retries / (RATIO * requests + slack))
    return max(shares)


CASES = [
    *((8, failure, seed) for failure in FAILURES for seed in (907, 3119)),
    *((82, failure, 907) for failure in (each_alone, all_at_once)),
]


@pytest.mark.parametrize(("routers", "failure", "seed"), CASES)
def test_retries_of_all_routers_stay_within_the_bound(routers, failure, seed):
    fleet = run(routers, failure, seed)
    assert worst_share(fleet, FLEETS[routers][1]) <= 1.0


@pytest.mark.parametrize("seed", [907, 3119])
def test_arrivals_at_upstreams_are_charged_after_a_peer_was_refused(seed):
    # Peers are refused by one upstream and do not reach the others.
    async def main():
        site = sites.Site(
            seed, routers=3, engine_count=1, retry_slack=10_000.0
        )
        fleet = traffic.Fleet(site, {"llm": 4})
        fleet.cut = {site.names[0]}
        fleet.is_refused = True
        first, *others = fleet.of_service("llm")
        first.is_full = True
        fleet.dead = {other.address for other in others}
        charged = 0
        with sites.unpacked():
            fleet.start()
            await asyncio.sleep(STARTED_S)
            for _ in range(20):
                await fleet.send(site.names[0], "/llm/idempotent/x")
                await asyncio.sleep(0.2)
            for name in site.names:
                budget = site.state_of(name).retries_for("llm")
                charged += budget._retries.total()
        return fleet, charged

    fleet, charged = timing.run(main)
    requests = {arrival.request_id for arrival in fleet.arrivals}
    assert requests
    assert len(fleet.arrivals) - len(requests) <= charged
