"""Requests at upstreams that state a limit, on virtual time."""

import asyncio

import attrs
import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

STARTED_S = 6.0

#: Time from the first answer that states a limit until the limit holds.
CONTACT_S = 3.0

#: For how long limits are stated.
STATED_S = 12.0

#: Window of the bound, and the bound for a limit of one request per second.
WINDOW_S = 4.0
OVERRUN, SLACK = 1.5, 5.0

#: Requests a second to a service, and its upstreams, by routers.
FLEETS = {8: (26.0, 5), 82: (92.0, 30)}

#: Limits that upstreams state, in turns.
LIMITS_PER_S = (1.3, 1.7, 0.4, 3.0)


@attrs.frozen
class Played:
    """What has arrived where limits were stated for a while."""

    fleet: traffic.Fleet
    limits_per_s: dict[str, float]
    stated_s: float
    ended_s: float


def one(workers):
    return workers[:1]


def half(workers):
    return workers[::2]


def all_of_them(workers):
    return workers


async def no_failure(fleet):
    """No failure."""


async def half_of_the_routers_restart(fleet):
    site = fleet.site
    for wait_s in (4.0, 2.0):
        await asyncio.sleep(wait_s)
        restarted = site.names[::2]
        for router in restarted:
            site.kill_router(router)
        await asyncio.sleep(0.5)
        for router in restarted:
            site.start_router(router)


async def routers_are_split(fleet):
    await asyncio.sleep(2.0)
    fleet.site.apart = set(fleet.site.names[::2])
    await asyncio.sleep(8.0)
    fleet.site.apart = set()


async def routers_lose_their_upstreams(fleet):
    await asyncio.sleep(4.0)
    fleet.cut = set(fleet.site.names[::3])
    await asyncio.sleep(4.0)
    fleet.cut = set()


def run(routers, choose_limited, failure, *, factor=1.0, seed=907):
    per_s, upstreams = FLEETS[routers]

    async def main():
        site = sites.Site(seed, routers=routers, engine_count=1, zones=3)
        fleet = traffic.Fleet(site, {"llm": upstreams})
        with sites.unpacked():
            fleet.start()
            await asyncio.sleep(STARTED_S)
            site.spawn(fleet.call("llm", factor * per_s, seed=seed))
            await asyncio.sleep(4.0)
            stated_s = site.now_s()
            limited = choose_limited(fleet.of_service("llm"))
            for number, worker in enumerate(limited):
                worker.limit_per_s = LIMITS_PER_S[number % len(LIMITS_PER_S)]
            site.spawn(failure(fleet))
            await asyncio.sleep(STATED_S)
            played = Played(
                fleet,
                {worker.name: worker.limit_per_s for worker in limited},
                stated_s,
                site.now_s(),
            )
            for worker in limited:
                worker.limit_per_s = None
            await asyncio.sleep(6.0)
        return played

    return timing.run(main)


def most_in_window(times_s):
    """Return the largest number of the times in one window."""
    return max(
        (
            sum(since_s <= at_s < since_s + WINDOW_S for at_s in times_s)
            for since_s in times_s
        ),
        default=0,
    )


def overruns(played):
    """Return the largest share of its bound that each upstream got."""
    shares = {}
    for name, limit_per_s in played.limits_per_s.items():
        arrived_s = [
            arrival.at_s
            for arrival in played.fleet.arrivals
            if arrival.upstream == name and arrival.at_s < played.ended_s
        ]
        first_s = min(
            (at_s for at_s in arrived_s if at_s >= played.stated_s),
            default=played.ended_s,
        )
        # A window counts from then on.
        counted_s = [at_s for at_s in arrived_s if at_s >= first_s + CONTACT_S]
        bound = OVERRUN * limit_per_s * WINDOW_S + SLACK
        shares[name] = most_in_window(counted_s) / bound
    return shares


CASES = [
    (8, one, no_failure, 1.0),
    (8, half, no_failure, 1.0),
    (8, all_of_them, no_failure, 1.0),
    (8, all_of_them, no_failure, 4.0),
    (8, half, half_of_the_routers_restart, 1.0),
    (8, all_of_them, half_of_the_routers_restart, 4.0),
    (8, all_of_them, routers_are_split, 4.0),
    (8, half, routers_lose_their_upstreams, 1.0),
    (82, half, no_failure, 1.0),
    (82, all_of_them, routers_are_split, 1.0),
]


@pytest.mark.parametrize(
    ("routers", "choose_limited", "failure", "factor"), CASES
)
def test_upstreams_get_no_more_than_they_say_they_take(
    routers, choose_limited, failure, factor
):
    played = run(routers, choose_limited, failure, factor=factor)
    assert max(overruns(played).values()) <= 1.0
