"""Whom a crowded service serves and refuses, on virtual time."""

import asyncio
import collections
import functools
import random
import statistics

import attrs
import pytest

from toucanrudder.forwarding import model
from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing
from toucanrudder.testing.virtual import traffic

SERVICE = "llm"
OBJECTIVE_S, LIMIT_S = 0.5, 2.0
WORKERS, SLOTS, WORK_S = 3, 2, 0.2
ROOM_PER_S = WORKERS * SLOTS / WORK_S
URGENT_SHARE = 0.4
URGENT, OTHER = "/llm/urgent/", "/llm/other/"
FLOOD, SMALL = "key-of-large", "key-of-small"

#: The flooding tenant sends this share of all requests.
FLOOD_SHARE = 5 / 6
WARM_UP_S, PLAYED_S = 2.0, 20.0


def _route(path, priority):
    return model.Route(
        path,
        "h",
        path,
        (model.Split(SERVICE),),
        model.Repetition.IDEMPOTENT,
        max_upstreams=2,
        timeout_s=LIMIT_S,
        objective_s=OBJECTIVE_S,
        priority=priority,
    )


CONFIGURED = attrs.evolve(
    traffic.CONFIGURED,
    routes=(_route(URGENT, 0), _route(OTHER, 2)),
    organisations=tuple(
        model.Organisation(name, frozenset({f"key-of-{name}"}))
        for name in ("small", "large")
    ),
    requires_keys=True,
)


@attrs.define
class Played:
    """What callers were told in a part of a run."""

    outcomes: list
    served: int
    seconds: float
    shares_used: list

    def room_used(self):
        """Return the share of the slots in use while somebody waits."""
        return sum(self.shares_used) / len(self.shares_used)

    def kind(self, path=None, key=None):
        return [
            each
            for each in self.outcomes
            if path in (None, each.path) and key in (None, each.key)
        ]

    def in_time(self, path=None, key=None):
        asked = self.kind(path, key)
        good = [
            each
            for each in asked
            if each.status == 200 and each.after_s <= OBJECTIVE_S
        ]
        return len(good) / len(asked)

    def early_refusals(self):
        refused = [each for each in self.outcomes if each.status == 503]
        early = [each for each in refused if each.after_s <= OBJECTIVE_S / 8]
        return len(early) / max(1, len(refused))


async def _watch(fleet, shares_used):
    """Note how much of the room is used while somebody waits."""
    while True:
        await asyncio.sleep(0.005)
        nodes = fleet.site.nodes.values()
        if any(
            node.daemon.state.waiting.is_waiting(SERVICE) for node in nodes
        ):
            alive = [
                worker
                for worker in fleet.of_service(SERVICE)
                if worker.address not in fleet.dead
            ]
            running = sum(worker.running for worker in alive)
            shares_used.append(running / (SLOTS * len(alive)))


async def _call(fleet, per_s, flood_share, seed):
    rng = random.Random(seed)
    while True:
        await asyncio.sleep(rng.expovariate(per_s))
        path = URGENT if rng.random() < URGENT_SHARE else OTHER
        key = FLOOD if rng.random() < flood_share else SMALL
        router = rng.choice(fleet.site.names)
        fleet.site.spawn(fleet.send(router, path, LIMIT_S, key))


def play(
    times_room,
    *,
    flood_share=FLOOD_SHARE,
    routers=3,
    seed=11,
    fault=None,
    from_s=WARM_UP_S,
    played_s=PLAYED_S,
    workers_count=WORKERS,
    tells_load=False,
):
    """Play callers that ask for a multiple of the room."""

    async def main():
        site = sites.Site(seed, routers=routers, engine_count=1, zones=3)
        fleet = traffic.Fleet(site, {SERVICE: workers_count}, CONFIGURED)
        for worker in fleet.of_service(SERVICE):
            worker.max_requests, worker.work_s = SLOTS, WORK_S
            worker.tells_load = tells_load
        with sites.unpacked():
            fleet.start()
            await asyncio.sleep(traffic.STARTED_S)
            room = workers_count * SLOTS / WORK_S
            site.spawn(_call(fleet, times_room * room, flood_share, seed))
            if fault is not None:
                site.spawn(fault(fleet))
            await asyncio.sleep(from_s)
            began_s, served, shares_used = site.now_s(), _served(fleet), []
            site.spawn(_watch(fleet, shares_used))
            await asyncio.sleep(played_s)
            ended_s, served = site.now_s(), _served(fleet) - served
            await asyncio.sleep(LIMIT_S + 0.1)
        outcomes = [
            each for each in fleet.outcomes if began_s <= each.at_s < ended_s
        ]
        return Played(outcomes, served, played_s, shares_used), fleet

    return timing.run(main)


def _served(fleet):
    return sum(each.served for each in fleet.of_service(SERVICE))


SEEDS = (11, 12, 13)
LOADS = (1.0, 1.5, 3.0, 10.0)


@functools.cache
def played(times_room, **options):
    """Return what three runs with other seeds bring together."""
    runs = [play(times_room, seed=seed, **options)[0] for seed in SEEDS]
    return Played(
        [each for run in runs for each in run.outcomes],
        sum(run.served for run in runs),
        sum(run.seconds for run in runs),
        [share for run in runs for share in run.shares_used],
    )


def test_urgent_callers_who_fit_are_served():
    assert played(1.5).in_time(URGENT) >= 0.95


@pytest.mark.parametrize("times_room", LOADS)
def test_no_urgent_kind_fares_worse_than_a_less_urgent_one(times_room):
    run = played(times_room)
    assert run.in_time(URGENT) >= run.in_time(OTHER)
    for key in (FLOOD, SMALL):
        assert run.in_time(URGENT, key) >= run.in_time(OTHER, key)


@pytest.mark.parametrize("times_room", LOADS)
def test_a_small_tenant_fares_no_worse_than_a_flooding_one(times_room):
    run = played(times_room)
    assert run.in_time(key=SMALL) >= run.in_time(key=FLOOD)


def test_a_tenant_at_ten_times_its_share_leaves_others_theirs():
    """One of ten equal callers asks for ten times a tenth of the room."""
    run = played(1.1, flood_share=10 / 11)
    assert run.in_time(key=SMALL) >= run.in_time(key=FLOOD)
    assert run.in_time(URGENT, SMALL) >= 0.95


@pytest.mark.parametrize("times_room", LOADS)
def test_refusals_come_early(times_room):
    assert played(times_room).early_refusals() >= 0.8


@pytest.mark.parametrize("times_room", LOADS)
def test_room_is_used_while_somebody_waits(times_room):
    assert played(times_room).room_used() >= 0.95


@pytest.mark.parametrize("times_room", LOADS)
def test_callers_are_told_to_return_while_they_have_time(times_room):
    delays_s = {
        path: [
            each.retry_after_s
            for each in played(times_room).kind(path)
            if each.status == 503
        ]
        for path in (URGENT, OTHER)
    }
    both = delays_s[URGENT] + delays_s[OTHER]
    assert min(both) > 0.0
    assert max(both) <= LIMIT_S / 2
    windows = collections.Counter(int(delay_s / 0.05) for delay_s in both)
    assert max(windows.values()) < len(both) / 4
    assert statistics.mean(delays_s[URGENT]) <= statistics.mean(
        delays_s[OTHER]
    )


async def a_third_is_lost(fleet):
    await asyncio.sleep(WARM_UP_S)
    worker = fleet.of_service(SERVICE)[0]
    fleet.dead.add(worker.address)


async def halves_are_apart(fleet):
    await asyncio.sleep(WARM_UP_S)
    await fleet.site.split_routers(fleet.site.names[::2], for_s=15.0)


FAULTS = [(a_third_is_lost, 3), (halves_are_apart, 4)]


@pytest.mark.parametrize(("fault", "routers"), FAULTS)
def test_order_holds_in_a_fault_at_the_peak(fault, routers):
    run = played(1.5, fault=fault, routers=routers, from_s=WARM_UP_S + 3.0)
    assert run.in_time(URGENT) >= max(0.8, run.in_time(OTHER))
    assert run.in_time(key=SMALL) >= run.in_time(key=FLOOD)
    assert {each.status for each in run.outcomes} <= {200, 503}


def test_nothing_waits_where_nothing_is_full():
    run, fleet = play(0.1, routers=1)
    assert len(run.shares_used) == 0
    assert {each.status for each in run.outcomes} == {200}
    unfinished = len(fleet.arrivals) - _served(fleet)
    assert unfinished <= WORKERS * SLOTS


def test_callers_that_leave_hold_no_place_and_a_killed_router_no_line():
    async def main():
        site = sites.Site(5, routers=2, engine_count=1, zones=1)
        fleet = traffic.Fleet(site, {SERVICE: 1}, CONFIGURED)
        (worker,) = fleet.of_service(SERVICE)
        worker.max_requests, worker.work_s = SLOTS, 0.1
        with sites.unpacked():
            fleet.start()
            await asyncio.sleep(traffic.STARTED_S)
            first, second = site.names
            calls = [
                asyncio.ensure_future(fleet.send(first, OTHER, LIMIT_S, SMALL))
                for _ in range(6)
            ]
            await asyncio.sleep(0.05)
            room = site.state_of(first).waiting
            assert room.is_waiting(SERVICE)
            for call in calls:
                call.cancel()
            await asyncio.sleep(0.5)
            assert not room.is_waiting(SERVICE)
            assert (room.held.requests, room.held.size_bytes) == (0, 0)
            site.spawn(fleet.send(second, OTHER, LIMIT_S, SMALL))
            site.kill_router(first)
            fleet.outcomes.clear()
            await fleet.send(second, URGENT, LIMIT_S, SMALL)
            assert fleet.outcomes[-1].status == 200

    timing.run(main)
