"""Requests at upstreams that say in answers that they leave, virtual time."""

import asyncio

import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

STARTED_S = 6.0

#: For how long upstreams leave.
LEAVING_S = 9.0

#: Time after an answer that says so from which a router that has passed it
#: on must not send there what callers send it.
DRAIN_S = 2.0

#: Requests a second to a service, and its upstreams, by routers.
FLEETS = {8: (26.0, 5), 82: (92.0, 30), 195: (180.0, 60)}


def one(workers):
    return workers[:1]


def half(workers):
    return workers[::2]


def all_of_them(workers):
    return workers


async def no_failure(fleet, leaving):
    """No failure."""


async def entries_lapse_and_return(fleet, leaving):
    # The store is away for most of the time, or is an older copy.
    await asyncio.sleep(4.0)
    set_store(fleet, stores.Way.WELL)
    for worker in leaving:
        fleet.unregister(worker)
    await asyncio.sleep(1.0)
    for worker in leaving:
        fleet.register(worker)


async def routers_are_split(fleet, leaving):
    await asyncio.sleep(2.0)
    fleet.site.apart = set(fleet.site.names[::2])
    await asyncio.sleep(4.0)
    fleet.site.apart = set()


async def routers_lose_their_upstreams(fleet, leaving):
    await asyncio.sleep(3.0)
    fleet.cut = set(fleet.site.names[::3])
    await asyncio.sleep(3.0)
    fleet.cut = set()


def set_store(fleet, way):
    for router in fleet.site.names:
        fleet.site.store.treat(router, way)


def run(routers, choose_leaving, failure, *, then=None, seed=907):
    """Return a fleet where upstreams have left, and the time it began."""
    per_s, upstreams = FLEETS[routers]

    async def main():
        site = sites.Site(seed, routers=routers, engine_count=1, zones=3)
        fleet = traffic.Fleet(site, {"llm": upstreams})
        with sites.unpacked():
            fleet.start()
            await asyncio.sleep(STARTED_S)
            site.spawn(fleet.call("llm", per_s, seed=seed))
            await asyncio.sleep(2.0)
            set_store(fleet, stores.Way.SILENT)
            leaving = choose_leaving(fleet.of_service("llm"))
            began_s = site.now_s()
            for worker in leaving:
                worker.is_leaving = True
            site.spawn(failure(fleet, leaving))
            await asyncio.sleep(LEAVING_S)
            if then is not None:
                await then(fleet, leaving)
        return fleet, began_s

    return timing.run(main)


def first_told_s(fleet):
    """Return when each router was first told, by router and upstream."""
    told_s = {}
    for word in fleet.statements:
        told_s.setdefault((word.router, word.upstream), word.at_s)
    return told_s


def late_arrivals(fleet):
    """Return the arrivals from routers that were told before."""
    told_s = first_told_s(fleet)
    return [
        arrival
        for arrival in fleet.arrivals
        if fleet.sent_s[arrival.request_id]
        > told_s.get((arrival.router, arrival.upstream), float("inf"))
        + DRAIN_S
    ]


CASES = [
    (8, one, no_failure),
    (8, half, no_failure),
    (8, all_of_them, no_failure),
    (8, half, entries_lapse_and_return),
    (8, all_of_them, entries_lapse_and_return),
    (8, half, routers_are_split),
    (8, half, routers_lose_their_upstreams),
    (82, half, entries_lapse_and_return),
    (195, half, no_failure),
]


@pytest.mark.parametrize(("routers", "choose_leaving", "failure"), CASES)
def test_no_router_uses_an_upstream_that_has_told_it_that_it_leaves(
    routers, choose_leaving, failure
):
    fleet, _ = run(routers, choose_leaving, failure)
    assert fleet.statements
    assert late_arrivals(fleet) == []


@pytest.mark.parametrize("routers", [8, 82])
def test_all_routers_soon_know_what_one_was_told(routers):
    fleet, _ = run(routers, half, no_failure)
    since_s = {}
    for word in fleet.statements:
        since_s.setdefault(word.upstream, word.at_s)
    late = [
        arrival
        for arrival in fleet.arrivals
        if fleet.sent_s[arrival.request_id]
        > since_s.get(arrival.upstream, float("inf")) + DRAIN_S
    ]
    assert late == []


def test_requests_are_refused_at_once_if_all_upstreams_leave():
    fleet, began_s = run(8, all_of_them, no_failure)
    refused = [
        outcome
        for outcome in fleet.outcomes
        if outcome.at_s > began_s + DRAIN_S
    ]
    assert refused
    assert {outcome.status for outcome in refused} == {503}
    assert max(outcome.after_s for outcome in refused) < 0.02


def test_a_process_that_starts_under_the_same_name_is_used():
    async def restart(fleet, leaving):
        set_store(fleet, stores.Way.WELL)
        await asyncio.sleep(2.0)
        for worker in leaving:
            fleet.restart(worker)
        await asyncio.sleep(6.0)

    fleet, began_s = run(8, half, no_failure, then=restart)
    used = {
        arrival.upstream
        for arrival in fleet.arrivals
        if arrival.at_s > began_s + LEAVING_S + 4.0
    }
    assert len(used) == 5
