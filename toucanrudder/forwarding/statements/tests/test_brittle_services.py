"""Upstreams that fail if they have to refuse too many requests per second.

A model on virtual time: routers decide with the product's code; upstreams
queue, refuse and fail; callers retry.
"""

import collections
import heapq
import itertools
import random

import pytest

from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import plain_choice
from toucanrudder.forwarding import upstream_states
from toucanrudder.forwarding.handover import choice
from toucanrudder.forwarding.statements import brittleness
from toucanrudder.membership import routers as routers_module

SLOTS = 6
REFUSALS_PER_S = 5.0
SERVICE_TIME_S = 0.5
DOWN_S = 4.0
LENGTH_S = 6.0

#: Round trip between router and upstream, and time until peers have heard of
#: a refusal: the batching of urgent news and its way.
ROUND_TRIP_S = 0.004
NEWS_S = 0.03
TOLD_PEERS = 32

RETRY_AFTER_S = 0.25
MAX_TRIES = 3


class UpstreamModel:
    """An upstream with slots and few places to wait."""

    def __init__(self, name, places):
        self.entry = model.Upstream(name, "app", f"{name}:1", slots=SLOTS)
        self.places = places
        self.queue = []
        self.runs = []
        self.refused_s = collections.deque()
        self.down_until_s = 0.0
        self.falls = 0

    def load(self):
        return model.Load(len(self.runs), len(self.queue), SLOTS)

    def refuse(self, now_s):
        self.refused_s.append(now_s)
        while self.refused_s[0] <= now_s - 1.0:
            self.refused_s.popleft()
        if len(self.refused_s) > REFUSALS_PER_S:
            self.falls += 1
            self.down_until_s = now_s + DOWN_S
            self.refused_s.clear()


class RouterModel:
    """What one router knows."""

    def __init__(self, number):
        self.name = f"r{number}"
        self.owners = brittleness.SlotOwners(self.name)
        self.stats = upstream_states.UpstreamStates()
        self.brittle = brittleness.BrittleServices()


class Fleet:
    """Routers, upstreams and callers on virtual time."""

    def __init__(self, routers, upstreams, places, seed, *, is_guarded=True):
        self.rng = random.Random(seed)
        self.is_guarded = is_guarded
        self.routers = [RouterModel(number) for number in range(routers)]
        self.members = [
            routers_module.Member(each.name, "", 1) for each in self.routers
        ]
        self.peers = [
            tuple(m for m in self.members if m.name != each.name)
            for each in self.routers
        ]
        self.upstreams = [
            UpstreamModel(f"u{number}", places) for number in range(upstreams)
        ]
        self.events, self.order = [], itertools.count()
        self.served = self.asked = 0

    def at(self, at_s, action, *args):
        heapq.heappush(self.events, (at_s, next(self.order), action, args))

    def run(self, per_s, restarts=()):
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(per_s)) < LENGTH_S:
            self.asked += 1
            self.at(at_s, self.ask, MAX_TRIES)
        for at_s in restarts:
            self.at(at_s, self.restart)
        while self.events:
            now_s, _, action, args = heapq.heappop(self.events)
            action(now_s, *args)
        return [each.falls for each in self.upstreams]

    def restart(self, now_s):
        """Restart half of the routers; upstreams drop what they had sent."""
        half = len(self.routers) // 2
        gone = self.routers[:half]
        self.routers[:half] = [RouterModel(number) for number in range(half)]
        for upstream in self.upstreams:
            upstream.queue = [e for e in upstream.queue if e not in gone]
            upstream.runs = [
                run for run in upstream.runs if run[1] not in gone
            ]

    def usable(self, now_s, number):
        router = self.routers[number]
        candidates = [
            placing.Candidate(
                each.entry, router.stats.of(each.entry.incarnation)
            )
            for each in self.upstreams
        ]
        usable = placing.usable_candidates(candidates, now_s)
        if not self.is_guarded:
            return usable, usable
        return usable, placing.with_room(
            usable, router.owners, self.peers[number], now_s
        )

    def ask(self, now_s, tries):
        number = self.rng.randrange(len(self.routers))
        for _ in range(1 + choice.MAX_OFFERS_FOR_ROOM):
            not_full, usable = self.usable(now_s, number)
            if usable:
                self.send(now_s, number, usable, tries)
                return
            if not not_full:
                break
            owners = self.routers[number].owners.owners(
                self.rng.choice(not_full).upstream, self.peers[number]
            )
            number = int(self.rng.choice(owners)[1:])
        self.refused(now_s, tries)

    def send(self, now_s, number, usable, tries):
        router = self.routers[number]
        router.brittle.merge("app", REFUSALS_PER_S, now_s)
        chosen = plain_choice.choose_for_plain(
            "z", usable, now_s=now_s, rng=self.rng
        )
        upstream = self.upstreams[int(chosen.upstream.name[1:])]
        router.stats.of(upstream.entry.incarnation).requests += 1
        arrival_s = now_s + ROUND_TRIP_S / 2
        self.at(arrival_s, self.arrive, upstream, router, tries)

    def refused(self, now_s, tries):
        if tries > 1:
            self.at(now_s + RETRY_AFTER_S, self.ask, tries - 1)

    def arrive(self, now_s, upstream, router, tries):
        answer_s = now_s + ROUND_TRIP_S / 2
        if now_s < upstream.down_until_s:
            self.at(answer_s, self.failed, upstream, router, tries)
        elif len(upstream.runs) < SLOTS:
            self.begin(now_s, upstream, router)
        elif len(upstream.queue) < upstream.places:
            upstream.queue.append(router)
        else:
            upstream.refuse(now_s)
            self.at(
                answer_s, self.full, upstream, router, tries, upstream.load()
            )

    def begin(self, now_s, upstream, router):
        run = (now_s, router)
        upstream.runs.append(run)
        self.at(now_s + SERVICE_TIME_S, self.end, upstream, run)

    def end(self, now_s, upstream, run):
        if run not in upstream.runs:
            return
        upstream.runs.remove(run)
        if upstream.queue:
            self.begin(now_s, upstream, upstream.queue.pop(0))
        answer_s = now_s + ROUND_TRIP_S / 2
        self.at(answer_s, self.answered, upstream, run[1], upstream.load())

    def answered(self, now_s, upstream, router, load):
        name = upstream.entry.incarnation
        self.served += 1
        router.stats.of(name).requests -= 1
        router.stats.record_load(name, load, now_s)
        router.stats.record_success(name, now_s)

    def failed(self, now_s, upstream, router, tries):
        name = upstream.entry.incarnation
        router.stats.of(name).requests -= 1
        router.stats.record_failure(name, now_s)
        self.refused(now_s, tries)

    def full(self, now_s, upstream, router, tries, load):
        name = upstream.entry.incarnation
        router.stats.of(name).requests -= 1
        router.stats.record_load(name, load, now_s)
        self.refused(now_s, tries)
        if not self.is_guarded:
            router.stats.record_full(name, now_s, 0.05)
            return
        limit_per_s = router.brittle.limit_per_s("app", now_s)
        for_s = brittleness.backoff_s(limit_per_s)
        router.stats.record_full(name, now_s, for_s)
        told = self.rng.sample(
            self.routers, min(TOLD_PEERS, len(self.routers))
        )
        for peer in told:
            self.at(now_s + NEWS_S, self.heard, peer, name, for_s)

    def heard(self, now_s, peer, name, for_s):
        peer.stats.record_full(name, now_s, for_s)


#: Number of routers and upstreams, and places to wait at each upstream.
FLEETS = [(8, 3, 0), (8, 9, 2), (82, 9, 2), (82, 25, 0), (195, 20, 2)]


@pytest.mark.parametrize(("routers", "upstreams", "places"), FLEETS)
@pytest.mark.parametrize("load", [0.5, 2.0])
def test_brittle_upstreams_do_not_fall_over_for_want_of_room(
    routers, upstreams, places, load
):
    fleet = Fleet(routers, upstreams, places, seed=1)
    capacity_per_s = upstreams * SLOTS / SERVICE_TIME_S
    falls = fleet.run(load * capacity_per_s, restarts=(2.0, 2.1, 4.0))
    assert sum(falls) <= 2 + upstreams / 10
    assert fleet.served >= 0.5 * min(fleet.asked, capacity_per_s * LENGTH_S)


def test_without_care_for_room_the_model_lets_upstreams_fall_over():
    fleet = Fleet(8, 3, 0, seed=1, is_guarded=False)
    assert sum(fleet.run(2 * 3 * SLOTS / SERVICE_TIME_S)) > 2 + 3 / 10


LOADS = {
    "idle": ({}, model.Load(0, 0, SLOTS), True),
    "busy": ({}, model.Load(SLOTS - 1, 0, SLOTS), True),
    "all slots taken": ({}, model.Load(SLOTS, 0, SLOTS), False),
    "requests wait for memory": ({}, model.Load(1, 1, SLOTS), False),
    "refused, own share used": (
        {"refused_at_s": 9.0, "requests": 1},
        model.Load(1, 0, SLOTS),
        False,
    ),
    "refused, nothing of our own there": (
        {"refused_at_s": 9.0},
        model.Load(1, 0, SLOTS),
        True,
    ),
}


@pytest.mark.parametrize(
    ("fields", "load", "has_room"), LOADS.values(), ids=LOADS
)
def test_brittle_upstream_is_used_only_with_room(fields, load, has_room):
    state = upstream_states.UpstreamState(load=load, load_at_s=9.9, **fields)
    candidate = placing.Candidate(
        model.Upstream("u", "app", "u:1", slots=SLOTS), state
    )
    peers = tuple(
        routers_module.Member(f"r{number}", "", 1) for number in range(1, 6)
    )
    owners = brittleness.SlotOwners("r0")
    usable = placing.with_room([candidate], owners, peers, 10.0)
    assert bool(usable) is has_room
