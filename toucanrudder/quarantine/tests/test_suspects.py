import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from toucanrudder.quarantine import entry
from toucanrudder.quarantine import suspects

FREE, SUSPECT, QUARANTINED = suspects.Standing
NOW_S = 100.0


def crash(name, at_s=NOW_S, engine="e1", isolated=False):
    return entry.Entry(
        entry.Kind.CRASH, name, at_s, engine, f"{engine}-1", isolated
    )


def observation(kind, name, at_s):
    return entry.Entry(kind, name, at_s)


def trial(name, at_s=NOW_S + 1, engine="e2"):
    return crash(name, at_s, engine, isolated=True)


CLEARED, RELEASED = entry.Kind.CLEARED, entry.Kind.RELEASED

TABLE = [
    ([crash("p"), crash("o")], {"p": SUSPECT, "o": SUSPECT, "x": FREE}),
    # The second crash identifies its only suspect.  The other requests are
    # free, including those that joined it at the second engine.
    (
        [crash("p"), crash("o"), trial("p"), crash("n", 101.0, "e2")],
        {"p": QUARANTINED, "o": FREE, "n": FREE},
    ),
    # Two crashes without isolation identify no request.
    (
        [crash("p"), crash("o"), crash("p", 101, "e2"), crash("o", 101, "e2")],
        {"p": SUSPECT, "o": SUSPECT},
    ),
    # Two suspects at one engine: neither is quarantined.
    (
        [crash("p"), crash("o"), trial("p"), trial("o")],
        {"p": SUSPECT, "o": SUSPECT},
    ),
    # A crash reported by two routers is one crash.
    ([crash("p"), crash("p", 100.2)], {"p": SUSPECT}),
    ([crash("p"), observation(CLEARED, "p", 101.0)], {"p": FREE}),
    ([crash("p"), observation(CLEARED, "p", 99.0)], {"p": SUSPECT}),
    # A copy that ends normally does not end a quarantine.  A release by an
    # operator does, and later crashes are counted from zero.
    (
        [crash("p"), trial("p"), observation(CLEARED, "p", 103.0)],
        {"p": QUARANTINED},
    ),
    ([crash("p"), trial("p"), observation(RELEASED, "p", 103.0)], {"p": FREE}),
    (
        [
            crash("p"),
            trial("p"),
            observation(RELEASED, "p", 103.0),
            crash("p", 104.0, "e3"),
        ],
        {"p": SUSPECT},
    ),
]


@pytest.mark.parametrize(("entries", "expected"), TABLE)
def test_standing_does_not_depend_on_the_order_of_entries(entries, expected):
    orders = list(itertools.permutations(entries))
    for order in orders[:24]:
        tracker = suspects.SuspectTracker()
        for each_entry in order:
            tracker.merge([each_entry, each_entry], NOW_S)
        standings = {
            name: tracker.standing(name, NOW_S + 9) for name in expected
        }
        assert standings == expected


ENTRIES = strategies.lists(
    strategies.builds(
        entry.Entry,
        strategies.sampled_from(entry.Kind),
        strategies.sampled_from("abc"),
        strategies.sampled_from([NOW_S - 1, NOW_S, NOW_S + 1]),
        strategies.sampled_from(["", "e1", "e2"]),
        strategies.sampled_from(["", "i1"]),
        strategies.booleans(),
    ),
    max_size=12,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(ENTRIES, ENTRIES)
def test_merging_is_commutative_and_idempotent(ours, theirs):
    a, b = suspects.SuspectTracker(), suspects.SuspectTracker()
    a.merge(ours, NOW_S)
    b.merge(theirs, NOW_S)
    sent = a.entries(NOW_S), b.entries(NOW_S)
    for receiver, received in ((a, sent[1]), (b, sent[0]), (a, sent[1])):
        receiver.merge(received, NOW_S)
    assert set(a.entries(NOW_S)) == set(b.entries(NOW_S))
    assert not a.merge(b.entries(NOW_S), NOW_S)
    assert [a.standing(n, NOW_S) for n in "abc"] == [
        b.standing(n, NOW_S) for n in "abc"
    ]


def test_entries_expire_and_are_bounded():
    tracker = suspects.SuspectTracker(expiry_s=10.0, max_entries=3)
    tracker.merge([crash(f"r{i}", NOW_S + i) for i in range(5)], NOW_S)
    assert [tracker.standing(f"r{i}", NOW_S) for i in (1, 2)] == [
        FREE,
        SUSPECT,
    ]
    assert tracker.standing("r4", NOW_S + 15) is FREE
    assert tracker.entries(NOW_S + 15) == ()
    assert not tracker.merge([crash("late", NOW_S)], NOW_S + 15)


def test_a_crash_of_an_unknown_process_is_not_counted():
    tracker = suspects.SuspectTracker()
    on_trial = entry.InFlight("p", isolated=True)
    tracker.record_crash("e1", "i1", [on_trial], NOW_S)
    tracker.record_crash("e1", "", [on_trial], NOW_S)
    assert tracker.standing("p", NOW_S) is SUSPECT


FLEETS = [(4, 3, 1), (4, 8, 3), (2, 8, 7), (8, 8, 7), (1, 3, 2)]


@pytest.mark.parametrize(("engines", "batch", "routers"), FLEETS)
@pytest.mark.parametrize("seed", range(5))
def test_a_poison_request_crashes_two_engines_and_no_other_is_quarantined(
    engines, batch, routers, seed
):
    """One request of a batch crashes each engine that runs it.

    All callers resend, each time to another router, until they are answered
    or finally refused.  At most two engines may crash, only the request that
    crashes them may be quarantined, and each other one must be answered.
    With more suspects than engines, the rounds keep the suspects apart.
    """
    rng = random.Random(seed)
    fleet = [suspects.SuspectTracker() for _ in range(routers)]
    names = [f"{rng.getrandbits(32):08x}" for _ in range(batch)]
    poison = names[0]
    alive = [f"e{i}" for i in range(engines)]
    for name in names:
        rng.choice(fleet).record_crash(
            "e-first", "1", [entry.InFlight(name)], NOW_S
        )
    exchange_entries(fleet)
    crashes, answered, now_s = 1, set(), NOW_S + 1
    for _ in range(200):
        running = {}
        for name in names:
            router = rng.choice(fleet)
            standing = router.standing(name, now_s)
            if name in answered or standing is QUARANTINED:
                continue
            engine = rng.choice(alive)
            if standing is SUSPECT:
                planned = router.plan_trial(name, alive, now_s)
                if planned.wait_s > 0:
                    continue
                engine = planned.upstream
            running.setdefault(engine, []).append(
                (router, name, standing is SUSPECT)
            )
        for engine, requests in running.items():
            crashed = any(name == poison for _, name, _ in requests)
            crashes += crashed
            for router, name, isolated in requests:
                in_flight = entry.InFlight(name, isolated)
                if crashed:
                    router.record_crash(
                        engine, str(crashes), [in_flight], now_s
                    )
                else:
                    router.record_completion(name, now_s)
                    answered.add(name)
        exchange_entries(fleet)
        now_s += 0.7
    assert crashes == 2
    assert answered == set(names[1:])
    assert {r.quarantined(now_s) for r in fleet} == {(poison,)}


def exchange_entries(fleet):
    for receiver, sender in itertools.permutations(fleet, 2):
        receiver.merge(sender.entries(NOW_S), NOW_S)


def test_a_presumed_crash_is_withdrawn_when_the_process_answers():
    """Connections to two engines are lost in turn, each time with the same
    request in flight.  To the router that looks like two crashes, so the
    request is quarantined.  Then both processes answer a poll: neither has
    crashed, and the request must be free on every router.
    """
    here, there = suspects.SuspectTracker(), suspects.SuspectTracker()
    here.record_crash("e1", "i1", [entry.InFlight("p")], now_s=0.0)
    trial = entry.InFlight("p", isolated=True)
    here.record_crash("e2", "i2", [trial], now_s=1.0)
    assert here.standing("p", 2.0) is QUARANTINED
    assert here.is_presumed_dead("e1", "i1", 2.0)
    detail = here.detail("p", 2.0)
    assert (detail.crashes, detail.expires_in_s) == (2, suspects.EXPIRY_S - 2)
    here.record_alive("e1", "i1", 3.0)
    assert here.standing("p", 3.0) is SUSPECT
    here.record_alive("e2", "i2", 4.0)
    assert here.standing("p", 4.0) is FREE
    assert not here.is_presumed_dead("e1", "i1", 4.0)
    there.merge(here.entries(4.0), 4.0)
    assert there.standing("p", 4.0) is FREE
