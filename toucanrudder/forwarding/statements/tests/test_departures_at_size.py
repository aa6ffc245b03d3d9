"""Requests at upstreams that say in answers that they leave, virtual time."""

import asyncio

import pytest

from toucanrudder.testing.virtual import faults
from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

SERVICE = "llm"

#: For how long upstreams leave.
LEAVING_S = 9.0

#: Time after an answer that says so from which a router that has passed it
#: on must not send there what callers send it.
DRAIN_S = 2.0

routers_are_split = faults.split(after_s=2.0, for_s=4.0)
routers_lose_their_upstreams = faults.cut(after_s=3.0, for_s=3.0)
# The store is away for most of the time, or is an older copy.
entries_lapse_and_return = faults.lapse(after_s=4.0, for_s=1.0)


def run(routers, choose_leaving, fault, *, then=None):
    """Return a fleet where upstreams have left, and the time it began."""

    async def main():
        async with traffic.loaded_fleet(
            routers, SERVICE, warm_up_s=2.0
        ) as fleet:
            faults.set_store(fleet, stores.Way.SILENT)
            leaving = choose_leaving(fleet.of_service(SERVICE))
            began_s = fleet.site.now_s()
            for worker in leaving:
                worker.is_leaving = True
            fleet.site.spawn(fault(fleet, leaving))
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
    (8, faults.one, faults.no_fault),
    (8, faults.half, faults.no_fault),
    (8, faults.all_of_them, faults.no_fault),
    (8, faults.half, entries_lapse_and_return),
    (8, faults.all_of_them, entries_lapse_and_return),
    (8, faults.half, routers_are_split),
    (8, faults.half, routers_lose_their_upstreams),
    (82, faults.half, entries_lapse_and_return),
    (195, faults.half, faults.no_fault),
]


@pytest.mark.parametrize(("routers", "choose_leaving", "fault"), CASES)
def test_no_router_uses_an_upstream_that_has_told_it_that_it_leaves(
    routers, choose_leaving, fault
):
    fleet, _ = run(routers, choose_leaving, fault)
    assert fleet.statements
    assert late_arrivals(fleet) == []


@pytest.mark.parametrize("routers", [8, 82])
def test_all_routers_soon_know_what_one_was_told(routers):
    fleet, _ = run(routers, faults.half, faults.no_fault)
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
    fleet, began_s = run(8, faults.all_of_them, faults.no_fault)
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
        faults.set_store(fleet, stores.Way.WELL)
        await asyncio.sleep(2.0)
        for worker in leaving:
            fleet.restart(worker)
        await asyncio.sleep(6.0)

    fleet, began_s = run(8, faults.half, faults.no_fault, then=restart)
    used = {
        arrival.upstream
        for arrival in fleet.arrivals
        if arrival.at_s > began_s + LEAVING_S + 4.0
    }
    assert len(used) == 5
