"""Fleets on virtual time whose engines crash at parts of prompts."""

import collections
import heapq
import itertools
import random

import attrs
import pytest

from toucanrudder.quarantine import parts as part_trackers

BAD = "bad"
CONTACT_S = 3.0
FREE_CRASHES, MOST_LATE = 5, 3

#: Time from the begin of a bad request until its engine ends, and until
#: another one serves in its place.
CRASH_AFTER_S = (0.05, 0.3)
RESTART_S = (2.0, 4.0)
SOUND_S = (0.1, 2.5)

#: Routers that get urgent news at once, and when the others have it.
TOLD_AT_ONCE, TOLD_S, GOSSIP_S = 32, 0.06, 1.5


@attrs.frozen
class Size:
    routers: int
    engines: int
    sound_per_s: float


SIZES = {
    8: Size(8, 5, 30.0),
    82: Size(82, 22, 40.0),
    195: Size(195, 62, 60.0),
}


@attrs.define(eq=False)
class Request:
    parts: tuple[str, ...]
    router: int
    tries: int = 0
    asked_s: float = 0.0
    sent: tuple = ()

    @property
    def is_bad(self):
        return BAD in self.parts


class Fleet:
    """Routers with a tracker each, engines, and callers."""

    def __init__(self, size, seed):
        self.size, self.rng = size, random.Random(seed)
        self.trackers = [
            part_trackers.PartTracker() for _ in range(size.routers)
        ]
        self.running = {n: {} for n in range(size.engines)}
        self.starts = itertools.count()
        self.process = {n: next(self.starts) for n in range(size.engines)}
        self.events, self.order = [], itertools.count()
        self.now_s = 0.0
        self.crashes_s, self.bad_sent_s = [], []
        self.wrongly_refused = collections.Counter()
        self.refused_bad = 0
        self.first_attempts = []

    def at(self, delay_s, action, *args):
        entry = (self.now_s + delay_s, next(self.order), action, args)
        heapq.heappush(self.events, entry)

    def run(self, length_s):
        while self.events and self.events[0][0] < length_s:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)

    # Callers.

    def send_sound(self):
        self.at(self.rng.expovariate(self.size.sound_per_s), self.send_sound)
        organisation = self.rng.choice("abcdefgh")
        subject = int(self.rng.paretovariate(0.7)) % 400
        first = f"{organisation}.0"
        self.place(Request((first, f"{first}.{subject}"), self.any_router()))

    def send_bad(self, pause_s):
        self.at(self.rng.expovariate(1 / pause_s), self.send_bad, pause_s)
        parts = ("a.0", f"a.0.{self.rng.randrange(9)}", BAD)
        self.place(Request(parts, self.any_router()))

    def any_router(self):
        return self.rng.randrange(self.size.routers)

    # Routers.

    def place(self, request):
        tracker = self.trackers[request.router]
        if tracker.blocked(request.parts, self.now_s) is not None:
            if request.is_bad:
                self.refused_bad += 1
            else:
                self.wrongly_refused[request.parts] += 1
            return
        live = [n for n, process in self.process.items() if process >= 0]
        if not request.is_bad and not request.tries:
            request.asked_s = self.now_s
            if not live:
                self.first_attempts.append((self.now_s, False))
        if not live:
            return
        engine = self.rng.choice(live)
        request.tries += 1
        request.sent = tracker.sent(request.parts)
        self.running[engine][request] = None
        if request.is_bad:
            self.bad_sent_s.append(self.now_s)
            delay_s = self.rng.uniform(*CRASH_AFTER_S)
            self.at(delay_s, self.crash, engine, self.process[engine])
        else:
            delay_s = self.rng.uniform(*SOUND_S)
            self.at(delay_s, self.complete, engine, request)

    def complete(self, engine, request):
        if request not in self.running[engine]:
            return
        del self.running[engine][request]
        if request.tries == 1:
            self.first_attempts.append((request.asked_s, True))
        tracker = self.trackers[request.router]
        if tracker.record_completion(request.parts, self.now_s):
            self.tell(request.router)

    def tell(self, router):
        others = [n for n in range(self.size.routers) if n != router]
        self.rng.shuffle(others)
        entries = self.trackers[router].entries(self.now_s, self.now_s - 2)
        for place, other in enumerate(others):
            delay_s = TOLD_S
            if place >= TOLD_AT_ONCE:
                delay_s = self.rng.uniform(TOLD_S, GOSSIP_S)
            self.at(delay_s, self.merge, other, entries)

    def merge(self, router, entries):
        self.trackers[router].merge(entries, self.now_s)

    # Engines.

    def crash(self, engine, process):
        if self.process[engine] != process:
            return
        self.process[engine] = -1
        self.crashes_s.append(self.now_s)
        lost, self.running[engine] = list(self.running[engine]), {}
        for request in lost:
            self.trackers[request.router].record_crash(
                (f"e{engine}", f"i{process}"), request.sent, self.now_s
            )
        for router in sorted({request.router for request in lost}):
            self.tell(router)
        for request in lost:
            if request.tries == 1 and not request.is_bad:
                self.first_attempts.append((request.asked_s, False))
            if request.tries < 2:
                self.place(request)
        self.at(self.rng.uniform(*RESTART_S), self.restart, engine)

    def restart(self, engine):
        self.process[engine] = next(self.starts)

    def crash_some(self, share, pause_s, spread_s):
        self.at(pause_s, self.crash_some, share, pause_s, spread_s)
        count = max(1, round(share * self.size.engines))
        for engine in self.rng.sample(sorted(self.process), count):
            delay_s = self.rng.uniform(0.0, spread_s)
            self.at(delay_s, self.crash, engine, self.process[engine])


def late_sends(fleet):
    """Return the bad requests sent after routers must have agreed."""
    if len(fleet.crashes_s) < FREE_CRASHES:
        return 0
    bound_s = fleet.crashes_s[FREE_CRASHES - 1] + CONTACT_S
    return sum(sent_s > bound_s for sent_s in fleet.bad_sent_s)


@pytest.mark.parametrize("pause_s", [0.25, 1.0])
@pytest.mark.parametrize(("size", "seeds"), [(8, 10), (82, 1), (195, 1)])
def test_bad_part_is_blocked_and_no_part_beside_it(size, seeds, pause_s):
    for seed in range(seeds):
        fleet = Fleet(SIZES[size], seed)
        fleet.at(0.0, fleet.send_sound)
        fleet.at(3.0, fleet.send_bad, pause_s)
        fleet.run(14.0)
        assert fleet.refused_bad, seed
        assert late_sends(fleet) <= MOST_LATE, (seed, fleet.crashes_s)
        assert not fleet.wrongly_refused, seed


def served_share(fleet, since_s, until_s):
    """Return the share of sound requests served at the first attempt."""
    served = [
        is_served
        for at_s, is_served in fleet.first_attempts
        if since_s <= at_s < until_s
    ]
    assert len(served) >= 20
    return sum(served) / len(served)


def test_sound_requests_are_served_again_while_bad_ones_come():
    for seed in range(10):
        fleet = Fleet(SIZES[8], seed)
        fleet.at(0.0, fleet.send_sound)
        fleet.at(6.0, fleet.send_bad, 0.25)
        fleet.run(24.0)
        before = served_share(fleet, 0.0, 3.0)
        crashes_s = fleet.crashes_s[:FREE_CRASHES]
        since_s = crashes_s[-1] + 2 * CONTACT_S
        after = served_share(fleet, since_s, since_s + 5.0)
        assert after >= 0.95 * before, (seed, before, after)


TROUBLE = [(0.34, 5.0, 0.0), (0.34, 4.0, 1.0), (0.2, 1.0, 0.0)]


@pytest.mark.parametrize(("share", "pause_s", "spread_s"), TROUBLE)
@pytest.mark.parametrize(("size", "seeds"), [(8, 8), (82, 1)])
def test_crashes_without_a_bad_part_block_none(
    size, seeds, share, pause_s, spread_s
):
    for seed in range(seeds):
        fleet = Fleet(SIZES[size], seed)
        fleet.at(0.0, fleet.send_sound)
        fleet.at(5.0, fleet.crash_some, share, pause_s, spread_s)
        fleet.run(15.0)
        assert fleet.crashes_s
        assert not fleet.wrongly_refused, seed
