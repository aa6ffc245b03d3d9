import collections
import random

import pytest

from toucanrudder.admission import fair
from toucanrudder.admission import line as lines
from toucanrudder.admission import rates
from toucanrudder.admission import shares


def waiter(name="a", rank=0, *, deadline_s=0.5, arrived_s=0.0, **options):
    return lines.Waiter(name, 1.0, rank, deadline_s, arrived_s, **options)


def line_with(places_per_s, bounds=None):
    line = lines.Line(lines.Held(bounds or lines.Bounds()))
    for _ in range(int(places_per_s * rates.INITIAL_HOLD_S)):
        line.flow.record_begin(0.0)
    return line


def test_order_is_urgency_then_time_left():
    line = line_with(1000)
    given = [(2, 0.3), (0, 0.5), (0, 0.4), (1, 0.2)]
    for rank, deadline_s in given:
        assert line.push(waiter(rank=rank, deadline_s=deadline_s), 0.0) == []
    order = [(each.priority, each.deadline_s) for each in line.in_order()]
    assert order == [(0, 0.4), (0, 0.5), (1, 0.2), (2, 0.3)]


def test_the_order_that_is_told_is_the_order_of_service():
    rng = random.Random(3)
    queue = fair.FairQueue()
    for _ in range(200):
        queue.push(
            fair.Entry(
                rng.choice("abc"),
                rng.choice((0.5, 1.0, 3.0)),
                rng.randrange(-2, 7),
                1e9,
                rng.random(),
                cost=rng.choice((0.1, 1.0, 20.0)),
            )
        )
        if rng.random() < 0.3:
            queue.pop()
    told = list(queue.in_order())
    assert [queue.pop() for _ in range(len(queue))] == told


def test_a_large_cost_counts_against_its_organisation():
    queue = fair.FairQueue()
    for name, cost in (("large", 4.0), ("small", 1.0)):
        for _ in range(8):
            queue.push(fair.Entry(name, 1.0, 0, 1e9, 0.0, cost=cost))
    first = [queue.pop().organisation for _ in range(10)]
    assert collections.Counter(first) == {"small": 8, "large": 2}


def test_what_becomes_hopeless_is_refused_then():
    line = line_with(20)
    late = waiter("b", rank=1, deadline_s=0.3)
    assert line.push(late, 0.0) == []
    refused = []
    for number in range(8):
        now_s = 0.01 * (number + 1)
        urgent = waiter(deadline_s=now_s + 4.0, arrived_s=now_s)
        refused += line.push(urgent, now_s)
    assert late in [each.waiter for each in refused]
    assert now_s < late.deadline_s


def test_nobody_outlasts_a_jump_of_the_clock():
    line = line_with(20)
    line.push(waiter(), 0.0)
    (refusal,) = line.sweep(3600.0)
    assert (refusal.reason, len(line)) == (lines.NO_TIME, 0)
    assert line.held.requests == 0
    assert line.push(waiter(deadline_s=3601.0, arrived_s=3600.0), 3600.0) == []
    assert line.sweep(3599.0) == []


BOUNDS = [
    (lines.Bounds(requests=4), "requests"),
    (lines.Bounds(size_bytes=400), "bytes"),
]


@pytest.mark.parametrize(("bounds", "unit"), BOUNDS)
def test_a_full_line_names_its_bound_and_keeps_room_for_others(bounds, unit):
    line = line_with(10_000, bounds)
    refused = [
        refusal
        for _ in range(6)
        for refusal in line.push(waiter("flood", size_bytes=100), 0.0)
    ]
    assert {each.reason for each in refused} == {
        f"{unit} of one organisation that wait"
    }
    assert line.push(waiter("small", size_bytes=100), 0.0) == []
    (displaced,) = line.push(waiter("other", size_bytes=100), 0.0)
    assert displaced.waiter.organisation == "flood"
    assert displaced.reason == lines.DISPLACED


def test_a_size_that_lies_does_not_lower_what_is_held():
    held = lines.Held()
    held.add(waiter(size_bytes=-(10**12)))
    assert (held.requests, held.size_bytes) == (1, 0)


@pytest.mark.parametrize("routers", [1, 3, 8, 87, 400])
def test_each_place_has_one_owner_and_routers_own_alike(routers):
    names = [f"r{number}" for number in range(routers)]
    places = [(f"u{number}", number % 5) for number in range(60)]
    total = collections.Counter()
    counts = []
    for name in names:
        own = shares.own_places(places, names, name)
        total.update(own)
        counts.append(sum(own.values()))
    assert all(total[upstream] == slots for upstream, slots in places)
    assert max(counts) - min(counts) <= 1
