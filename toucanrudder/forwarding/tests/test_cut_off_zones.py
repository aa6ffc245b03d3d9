"""First attempts of callers while routers reach no upstreams.

Whole requests on virtual time; callers, the store and the other routers reach
the routers that are cut off.
"""

import asyncio
import statistics

import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

STARTED_S = 8.0

#: A cut, and the time from which it counts.
CUT_S = 10.0
CONTACT_S = 4.0

#: Least share of first attempts that is served at routers that are cut off,
#: of that at the others.
MIN_SERVED_SHARE = 0.95

#: Requests a second to each service, its upstreams, and zones, by routers.
FLEETS = {
    8: ({"llm": 26.0, "desk": 10.0}, {"llm": 5, "desk": 3}, 3),
    82: ({"llm": 92.0, "desk": 32.0}, {"llm": 30, "desk": 3}, 3),
    195: ({"llm": 180.0, "desk": 63.0}, {"llm": 62, "desk": 5}, 5),
}


def zone(site):
    """Return all routers of one availability zone."""
    return {name for name in site.names if site.zone_of(name) == "z0"}


def half(site):
    """Return every second router."""
    return set(site.names[::2])


def all_but_few(site):
    """Return nine of ten routers."""
    return set(site.names) - set(site.names[:: max(4, site.routers // 8)])


def run(routers, choose_cut, *, is_refused, seed=907):
    """Return the outcomes of first attempts from a while into a cut."""
    rates, upstreams, zones = FLEETS[routers]

    async def main():
        site = sites.Site(seed, routers=routers, engine_count=1, zones=zones)
        fleet = traffic.Fleet(site, upstreams)
        fleet.is_refused = is_refused
        async with fleet.serving(rates, seed=seed, started_s=STARTED_S):
            await asyncio.sleep(2.0)
            cut = fleet.cut = choose_cut(site)
            await asyncio.sleep(CUT_S)
            fleet.cut = set()
            await asyncio.sleep(2.0)
        since_s = STARTED_S + 2.0 + CONTACT_S
        return cut, [
            outcome
            for outcome in fleet.outcomes
            if since_s <= outcome.at_s < since_s + CUT_S - CONTACT_S
        ]

    return timing.run(main)


def served_share(outcomes):
    return statistics.fmean(outcome.status == 200 for outcome in outcomes)


CASES = [
    *(
        (8, choose_cut, how)
        for choose_cut in (zone, half, all_but_few)
        for how in ("hang", "refused")
    ),
    (82, zone, "hang"),
    (82, zone, "refused"),
    (82, half, "hang"),
    (82, all_but_few, "hang"),
]


@pytest.mark.parametrize(("routers", "choose_cut", "how"), CASES)
def test_first_attempts_at_cut_off_routers_are_served(
    routers, choose_cut, how
):
    cut, outcomes = run(routers, choose_cut, is_refused=how == "refused")
    at_cut = [each for each in outcomes if each.router in cut]
    at_others = [each for each in outcomes if each.router not in cut]
    assert served_share(at_cut) >= MIN_SERVED_SHARE * served_share(at_others)
