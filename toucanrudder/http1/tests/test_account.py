"""Tests of what connections of callers may hold together."""

import asyncio

import attrs
import pytest

from toucanrudder.http1 import account as accounts

LIMIT = 1_000_000


@attrs.define(eq=False)
class FakeHolder:
    """A connection that holds what the test says."""

    held_bytes: int = 0
    since_s: float = 0.0
    is_revocable: bool = True
    is_under_way: bool = False
    given_up: int = 0
    organisation: str = ""

    def usage(self):
        return accounts.Usage(
            self.held_bytes,
            self.since_s,
            self.is_revocable,
            self.is_under_way,
        )

    def group(self):
        return self.organisation

    def give_up(self, *, lingers):
        self.given_up += 1
        self.held_bytes = 0


def _account(connections=100, memory_bytes=LIMIT):
    bounds = accounts.Bounds(memory_bytes, connections)
    return accounts.Account(lambda: bounds)


def _held(account, *holders):
    for holder in holders:
        account.add(holder)
    return holders


FRACTIONS = (0.001, 0.1, 0.3, 0.7)


@pytest.mark.parametrize("fraction", FRACTIONS)
def test_sum_never_exceeds_the_bound(fraction):
    """Guards against many bodies of legal size that fill the memory."""
    account = _account(connections=10_000)
    holders = []
    for number in range(2_000):
        holder = FakeHolder(int(fraction * LIMIT), since_s=float(number))
        account.add(holder)
        holders.append(holder)
        assert account.held_bytes <= LIMIT
    assert holders[0].given_up
    assert not holders[-1].given_up


def test_small_request_outlives_a_crowd_that_stops_short():
    """Guards against ordinary callers who pay for a crowd."""
    account = _account()
    crowd = _held(account, *(FakeHolder(200_000, float(n)) for n in range(4)))
    small = FakeHolder(2_000, since_s=1.5)
    account.add(small)
    newest = FakeHolder(240_000, since_s=9.0)
    account.add(newest)
    assert [each.given_up for each in crowd] == [1, 0, 0, 0]
    assert not small.given_up
    assert not newest.given_up


def test_request_under_way_is_not_given_up():
    """Guards against an answer that is lost because others send much."""
    account = _account()
    running = FakeHolder(900_000, is_revocable=False, is_under_way=True)
    reading = FakeHolder(200_000)
    _held(account, running, reading)
    assert not running.given_up
    assert reading.given_up


def test_memory_that_became_free_unnoticed_costs_no_connection():
    """Guards against refusals for bytes that were sent long ago."""
    account = _account()
    slow, other = _held(account, FakeHolder(900_000), FakeHolder(50_000))
    slow.held_bytes = 1_000
    other.held_bytes = 300_000
    account.update(other)
    assert not slow.given_up
    assert not other.given_up
    assert account.held_bytes == 301_000


UNDER_WAY = {
    "small beside large ones": ((300_000, 300_000), 9_000, True),
    "large beside large ones": ((300_000, 300_000), 300_000, False),
    "large beside small ones": ((9_000,) * 10, 500_000, True),
    "largest alone": ((), 700_000, True),
    "small beside many small ones": ((50_000,) * 20, 9_000, False),
}


@pytest.mark.parametrize(
    ("others", "body_bytes", "is_admitted"),
    UNDER_WAY.values(),
    ids=UNDER_WAY.keys(),
)
def test_room_is_kept_for_small_requests(others, body_bytes, is_admitted):
    """Guards against large requests under way that refuse all others."""
    account = _account()
    for held_bytes in others:
        account.add(
            FakeHolder(held_bytes, is_revocable=False, is_under_way=True)
        )
    reading = FakeHolder(body_bytes, is_revocable=False)
    account.add(reading)
    need = accounts.Need(body_bytes)
    assert account.admits(reading, need) is is_admitted


CROWDED = {
    "one of small requests": (10_000,),
    "one of middle-sized requests": (60_000,),
    "one of all sizes": (300_000, 60_000, 2_000),
    "several": (60_000, 30_000, 10_000, 2_000),
}


@pytest.mark.parametrize("sizes", CROWDED.values(), ids=CROWDED.keys())
@pytest.mark.parametrize("crowds", [1, 3])
def test_room_is_left_for_other_organisations(sizes, crowds):
    """Guards against callers who are refused as others fill all room."""
    account = _account(connections=10_000, memory_bytes=10 * LIMIT)
    for size_bytes in sizes:
        for number in range(2_000):
            crowd = f"crowd-{number % crowds}"
            _get_under_way(account, size_bytes, crowd)
    admitted = [
        _get_under_way(account, 2_000, f"organisation-{number}")
        for number in range(10)
    ]
    assert all(admitted)
    assert account.held_bytes <= 10 * LIMIT


def _get_under_way(account, body_bytes, organisation):
    holder = FakeHolder(body_bytes, organisation=organisation)
    account.add(holder)
    needed_bytes = body_bytes + accounts.REQUEST_BYTES
    is_admitted = account.admits(holder, accounts.Need(needed_bytes))
    if is_admitted:
        holder.held_bytes = needed_bytes
        holder.is_under_way, holder.is_revocable = True, False
        account.update(holder)
    else:
        account.remove(holder)
    return is_admitted


def test_longest_idle_connection_makes_room_for_a_new_one():
    """Guards against new callers that are turned away by idle ones."""
    account = _account(connections=3)
    running, idle, short = _held(
        account,
        FakeHolder(10, 0.0, is_revocable=False, is_under_way=True),
        FakeHolder(10, since_s=2.0),
        FakeHolder(10, since_s=1.0),
    )
    account.add(FakeHolder(10, since_s=3.0))
    assert [each.given_up for each in (running, idle, short)] == [0, 0, 1]


def test_removed_connections_leave_nothing():
    """Guards against an account that refuses everybody in the end."""
    account = _account()
    holders = _held(account, *(FakeHolder(9_000) for _ in range(50)))
    with account.reserved(7_000):
        assert account.held_bytes == 457_000
        for holder in holders:
            holder.held_bytes += 500
            account.update(holder)
            account.remove(holder)
            account.remove(holder)
            account.update(holder)
    assert (account.held_bytes, account.connections) == (0, 0)


MACHINES = {
    "smallest instance": (88, 4_194_304, 11_000_000),
    "larger instance": (552, 4_194_304, 228_000_000),
    "body beyond the share": (88, 32 * 2**20, 44_957_696),
}


@pytest.mark.parametrize(
    ("memory_mb", "max_body_bytes", "expected"),
    MACHINES.values(),
    ids=MACHINES.keys(),
)
def test_largest_body_always_has_room(memory_mb, max_body_bytes, expected):
    """Guards against a body inside the limits that is never served."""
    bounds = accounts.bounds_for(memory_mb * 10**6, 4_000, max_body_bytes)
    assert bounds.memory_bytes == expected
    held_bytes = (
        max_body_bytes + accounts.CONNECTION_BYTES + accounts.REQUEST_BYTES
    )
    other_bytes = accounts.SMALL_BODY_BYTES // 4 + accounts.REQUEST_BYTES
    assert accounts.admits(
        held_bytes, other_bytes, other_bytes, bounds.memory_bytes
    )


ALONE = {
    "alone": (0, 3 * LIMIT, True),
    "beside a small one": (50_000, 3 * LIMIT, True),
    "beside another large one": (500_000, 3 * LIMIT, False),
    "larger than what is left": (0, 2 * LIMIT, False),
}


@pytest.mark.parametrize(
    ("other_bytes", "free_bytes", "is_admitted"),
    ALONE.values(),
    ids=ALONE.keys(),
)
def test_request_beyond_all_shares_comes_alone(
    other_bytes, free_bytes, is_admitted
):
    """Guards against a request that fits and is never served."""
    bounds = accounts.Bounds(LIMIT, 100)
    account = accounts.Account(lambda: bounds, lambda: free_bytes)
    if other_bytes:
        account.add(FakeHolder(other_bytes, 0.0, False, True))
    holder = FakeHolder(2 * LIMIT, is_revocable=False)
    account.add(holder)
    need = accounts.Need(2 * LIMIT, passing_bytes=LIMIT)
    assert account.admits(holder, need) is is_admitted


ANSWERS = {
    "small": ((1_000,) * 50, 50),
    "as many as there is room for": ((50_000,) * 9, 5),
    "larger than all room": ((600_000,) * 3, 1),
    "one behind a large one": ((200_000, 100_000, 20_000), 1),
}


@pytest.mark.parametrize(
    ("sizes_bytes", "at_once"), ANSWERS.values(), ids=ANSWERS.keys()
)
async def test_answers_wait_for_room(sizes_bytes, at_once):
    """Guards against answers that fill the memory, or that wait for good."""
    account = _account()
    reading, most, ended = 0, 0, 0
    gate = asyncio.Event()

    async def read(size_bytes):
        nonlocal reading, most, ended
        async with account.answer_room(size_bytes):
            reading += 1
            most = max(most, reading)
            await gate.wait()
            reading -= 1
        ended += 1

    tasks = [asyncio.ensure_future(read(each)) for each in sizes_bytes]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert reading == at_once
    gate.set()
    await asyncio.gather(*tasks)
    assert ended == len(sizes_bytes)
    assert account.held_bytes == 0


async def test_answer_that_is_given_up_leaves_its_place():
    """Guards against room that is held for a caller who has left."""
    account = _account()
    async with account.answer_room(200_000):
        waiting = [
            asyncio.ensure_future(_hold_room(account, 200_000))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.wait(waiting[:1])
    await asyncio.sleep(0)
    waiting[1].cancel()
    await asyncio.wait(waiting[1:], timeout=10)
    assert waiting[2].done()
    assert account.held_bytes == 0


async def _hold_room(account, size_bytes):
    async with account.answer_room(size_bytes):
        await asyncio.sleep(0)
