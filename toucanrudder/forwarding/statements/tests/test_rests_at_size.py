"""Requests at upstreams that refuse and ask for rest, on virtual time."""

import asyncio
import collections

import attrs
import pytest

from toucanrudder.testing.virtual import faults
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

SERVICE = "llm"

#: For how long upstreams take one request at a time, and work on it.
FULL_S, WORK_S = 8.0, 0.5

#: Rest that they ask for, time until it counts, and requests of one router
#: that are allowed in it.
REST_S, UNTIL_COUNTED_S, ALLOWED = 2.5, 0.5, 2

routers_are_split = faults.split(after_s=2.0, for_s=20.0)
entries_lapse_and_return = faults.repeated(
    faults.lapse(after_s=0.7, for_s=0.1)
)


@attrs.frozen
class Played:
    """A fleet where upstreams were full for a while."""

    fleet: traffic.Fleet
    began_s: float
    ended_s: float

    def outcomes(self):
        """Return what callers were told meanwhile."""
        return [
            outcome
            for outcome in self.fleet.outcomes
            if self.began_s + 1.0 < outcome.at_s < self.ended_s
        ]


def run(routers, choose_full, fault, *, rest_s=REST_S):
    async def main():
        async with traffic.loaded_fleet(
            routers, SERVICE, warm_up_s=2.0
        ) as fleet:
            began_s = fleet.site.now_s()
            full = choose_full(fleet.of_service(SERVICE))
            for worker in full:
                worker.max_requests, worker.work_s = 1, WORK_S
                worker.rest_s = rest_s
            fleet.site.spawn(fault(fleet, full))
            await asyncio.sleep(FULL_S)
            ended_s = fleet.site.now_s()
            for worker in full:
                worker.max_requests, worker.work_s = None, 0.02
            await asyncio.sleep(4.0)
        return Played(fleet, began_s, ended_s)

    return timing.run(main)


def most_in_a_rest(fleet):
    """Return the most requests of one router in a rest asked of it."""
    arrived_s = collections.defaultdict(list)
    for arrival in fleet.arrivals:
        arrived_s[arrival.router, arrival.upstream].append(arrival.at_s)
    return max(
        sum(
            word.at_s + UNTIL_COUNTED_S <= at_s < word.at_s + word.rest_s
            for at_s in arrived_s[word.router, word.upstream]
        )
        for word in fleet.statements
    )


CASES = [
    (8, faults.one, faults.no_fault),
    (8, faults.half, faults.no_fault),
    (8, faults.all_of_them, faults.no_fault),
    (8, faults.half, entries_lapse_and_return),
    (8, faults.half, routers_are_split),
    (82, faults.half, faults.no_fault),
    (82, faults.all_of_them, faults.no_fault),
]


@pytest.mark.parametrize(("routers", "choose_full", "fault"), CASES)
def test_upstreams_get_the_rest_that_they_ask_for(routers, choose_full, fault):
    played = run(routers, choose_full, fault)
    assert played.fleet.statements
    assert most_in_a_rest(played.fleet) <= ALLOWED


def test_requests_are_refused_at_once_if_all_upstreams_rest():
    played = run(8, faults.all_of_them, faults.no_fault, rest_s=20.0)
    refused = [
        outcome for outcome in played.outcomes() if outcome.status == 503
    ]
    late = [outcome for outcome in refused if outcome.after_s > 0.05]
    assert len(refused) > 50
    assert late == []


def test_refusals_name_the_end_of_the_first_rest_and_spread():
    """Callers that all return at one moment are refused again."""
    played = run(8, faults.all_of_them, faults.no_fault)
    delays_s = [
        outcome.retry_after_s
        for outcome in played.outcomes()
        if outcome.status == 503
    ]
    assert min(delays_s) > 0
    assert max(delays_s) > REST_S / 2
    assert len(set(delays_s)) > len(delays_s) / 2
