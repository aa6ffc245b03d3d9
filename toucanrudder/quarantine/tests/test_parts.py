import itertools

import pytest

from toucanrudder.quarantine import entry
from toucanrudder.quarantine import parts as part_trackers

NOW_S = 1000.0
LATER_S = NOW_S + 1.0

OURS = entry.part_fingerprint("acme", "m", "5c1e")
THEIRS = entry.part_fingerprint("other", "m", "5c1e")


def crash(part, number, sequence, engine="e"):
    return entry.Entry(
        entry.Kind.CRASH,
        part,
        NOW_S,
        engine,
        f"{engine}{number}",
        sequence=sequence,
    )


def crash_in_sequence(tracker, part, count, engine="e"):
    for number in range(count):
        sequence = tracker.next_sequence(part)
        tracker.merge([crash(part, number, sequence, engine)], NOW_S)


def cleared(part, sequence):
    return entry.Entry(entry.Kind.CLEARED, part, NOW_S, sequence=sequence)


#: Entries, and the parts that are blocked.
TABLE = {
    "three in sequence": ([crash("p", n, n) for n in (1, 2, 3)], ("p",)),
    "two in sequence": ([crash("p", n, n) for n in (1, 2)], ()),
    "many at the same time": ([crash("p", n, 1) for n in range(20)], ()),
    "one process that several routers report": (
        [crash("p", 1, n) for n in (1, 2, 3)],
        (),
    ),
    "an answer in between": (
        [crash("p", n, n) for n in (1, 2, 3)] + [cleared("p", 1)],
        (),
    ),
    "three after a crash that an answer has cleared": (
        [crash("p", n, n) for n in (1, 2, 3, 4)] + [cleared("p", 1)],
        (),
    ),
    "five after a crash that an answer has cleared": (
        [crash("p", n, n) for n in range(1, 7)] + [cleared("p", 1)],
        ("p",),
    ),
    "three in sequence of as many organisations": (
        [
            crash(entry.part_fingerprint(f"org{n}", "m", "5c1e"), n, n)
            for n in (1, 2, 3)
        ],
        tuple(
            sorted(
                entry.part_fingerprint(f"org{n}", "m", "5c1e")
                for n in (1, 2, 3)
            )
        ),
    ),
    "present at some crashes of the cause": (
        [crash("p", n, n) for n in (1, 2, 3, 4)]
        + [crash("o", n, n) for n in (1, 2, 3)],
        ("p",),
    ),
    "absent from other crashes of its time": (
        [crash("p", n, n) for n in (1, 2, 3)] + [crash("o", 9, 1)],
        (),
    ),
}


@pytest.mark.parametrize(
    ("entries", "blocked"), TABLE.values(), ids=TABLE.keys()
)
def test_conclusions_do_not_depend_on_the_order_of_entries(entries, blocked):
    for order in itertools.islice(itertools.permutations(entries), 60):
        tracker = part_trackers.PartTracker()
        for each in order:
            tracker.merge([each, each], NOW_S)
        assert tracker.all_blocked(LATER_S) == blocked


def test_flood_of_crashes_washes_no_blocked_part_out():
    tracker = part_trackers.PartTracker(max_entries=100)
    crash_in_sequence(tracker, "p", 3)
    assert tracker.blocked(["p"], LATER_S) == "p"
    for number in range(1000):
        tracker.merge([crash(f"o{number}", number, 1, "f")], LATER_S)
    assert tracker.blocked(["p"], LATER_S) == "p"
    assert len(tracker.entries(LATER_S)) <= 100


def test_part_that_was_answered_before_needs_more_crashes():
    tracker = part_trackers.PartTracker()
    tracker.record_completion(["p"], NOW_S - 1.0)
    blocked = []
    for _ in range(part_trackers.MAX_DOUBTED_SEQUENCE):
        number = tracker.next_sequence("p")
        tracker.merge([crash("p", number, number)], NOW_S)
        blocked.append(tracker.blocked(["p"], LATER_S))
    assert blocked == [None, None, None, None, "p"]


def test_process_that_answers_has_not_crashed():
    tracker = part_trackers.PartTracker()
    crash_in_sequence(tracker, "p", 3)
    tracker.record_alive(("e", "e1"))
    assert tracker.blocked(["p"], LATER_S) is None
    tracker.forget_alive(("e", "e1"))
    assert tracker.blocked(["p"], LATER_S) == "p"


def test_parts_that_cannot_be_told_apart_are_refused_together():
    tracker = part_trackers.PartTracker()
    for name in "po":
        crash_in_sequence(tracker, name, 3)
    assert tracker.blocked(["a", "p"], LATER_S) is None
    assert tracker.blocked(["p", "a", "o"], LATER_S) is not None
    tracker.record_completion(["o"], LATER_S)
    assert tracker.blocked(["p"], LATER_S) == "p"
    assert tracker.blocked(["o"], LATER_S) is None


def test_one_crash_is_enough_for_a_part_that_is_blocked_elsewhere():
    tracker = part_trackers.PartTracker()
    crash_in_sequence(tracker, THEIRS, 3)
    assert tracker.blocked([OURS], LATER_S) is None
    tracker.merge([crash(OURS, 7, 1)], NOW_S)
    assert tracker.blocked([OURS], LATER_S) == OURS


def test_claim_of_another_organisation_blocks_and_clears_nothing():
    tracker = part_trackers.PartTracker()
    crash_in_sequence(tracker, THEIRS, 3)
    # Our request was in flight where theirs crashed the engine.
    tracker.merge([crash(OURS, 1, 1)], NOW_S)
    assert tracker.blocked([OURS], LATER_S) is None
    tracker.record_completion([OURS], LATER_S)
    assert tracker.blocked([THEIRS], LATER_S) == THEIRS


def test_release_ends_a_block_until_the_next_crashes():
    tracker = part_trackers.PartTracker()
    crash_in_sequence(tracker, "p", 3)
    tracker.release("p", LATER_S)
    assert tracker.all_blocked(LATER_S) == ()
    tracker.merge([crash("p", 8, tracker.next_sequence("p"))], LATER_S)
    assert tracker.all_blocked(LATER_S + 1.0) == ()
