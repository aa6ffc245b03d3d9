"""Requests at upstreams that state a limit, on virtual time."""

import asyncio

import attrs
import pytest

from toucanrudder.testing.virtual import faults
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

SERVICE = "llm"

#: Time from the first answer that states a limit until the limit holds.
CONTACT_S = 3.0

#: For how long limits are stated.
STATED_S = 12.0

#: Window of the bound, and the bound for a limit of one request per second.
WINDOW_S = 4.0
OVERRUN, SLACK = 1.5, 5.0

#: Limits that upstreams state, in turns.
LIMITS_PER_S = (1.3, 1.7, 0.4, 3.0)

routers_are_split = faults.split(after_s=2.0, for_s=8.0)
routers_lose_their_upstreams = faults.cut(after_s=4.0, for_s=4.0)
half_of_the_routers_restart = faults.restart(4.0, 2.0)


@attrs.frozen
class Played:
    """What has arrived where limits were stated for a while."""

    fleet: traffic.Fleet
    limits_per_s: dict[str, float]
    stated_s: float
    ended_s: float


def run(routers, choose_limited, fault, *, factor=1.0):
    async def main():
        async with traffic.loaded_fleet(
            routers, SERVICE, warm_up_s=4.0, factor=factor
        ) as fleet:
            stated_s = fleet.site.now_s()
            limited = choose_limited(fleet.of_service(SERVICE))
            for number, worker in enumerate(limited):
                worker.limit_per_s = LIMITS_PER_S[number % len(LIMITS_PER_S)]
            fleet.site.spawn(fault(fleet, limited))
            await asyncio.sleep(STATED_S)
            played = Played(
                fleet,
                {worker.name: worker.limit_per_s for worker in limited},
                stated_s,
                fleet.site.now_s(),
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
    (8, faults.one, faults.no_fault, 1.0),
    (8, faults.half, faults.no_fault, 1.0),
    (8, faults.all_of_them, faults.no_fault, 1.0),
    (8, faults.all_of_them, faults.no_fault, 4.0),
    (8, faults.half, half_of_the_routers_restart, 1.0),
    (8, faults.all_of_them, half_of_the_routers_restart, 4.0),
    (8, faults.all_of_them, routers_are_split, 4.0),
    (8, faults.half, routers_lose_their_upstreams, 1.0),
    (82, faults.half, faults.no_fault, 1.0),
    (82, faults.all_of_them, routers_are_split, 1.0),
]


@pytest.mark.parametrize(
    ("routers", "choose_limited", "fault", "factor"), CASES
)
def test_upstreams_get_no_more_than_they_say_they_take(
    routers, choose_limited, fault, factor
):
    played = run(routers, choose_limited, fault, factor=factor)
    assert max(overruns(played).values()) <= 1.0
