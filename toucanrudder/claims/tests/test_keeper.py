import asyncio

import pytest

from toucanrudder import errors
from toucanrudder.claims import decision
from toucanrudder.claims import keeper
from toucanrudder.claims import reaper
from toucanrudder.claims import record
from toucanrudder.store import memory

BODY, OTHER = "a" * 64, "b" * 64
RESULT = record.Result(201, (("Content-Type", "text/plain"),), b"booked")


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    monkeypatch.setattr(keeper, "BACKOFF_S", (0.0, 0.0))


@pytest.fixture
def objects():
    return memory.MemoryObjectStore()


def make_keeper(objects, name="r1", **options):
    return keeper.ClaimKeeper(objects, name, **options)


async def refusal(claim_keeper, body=BODY, now_s=0.0):
    with pytest.raises(errors.RudderError) as caught:
        await claim_keeper.acquire("acme", "k", body, now_s)
    return caught.value.code, caught.value.ran


async def drained(claim_keeper):
    assert await claim_keeper.drain(10.0) == 0


async def test_one_write_claims_and_one_more_finishes(objects):
    claim_keeper = make_keeper(objects)
    claim = await claim_keeper.acquire("acme", "k", BODY, 0.0)
    claim.check(0.1)
    await claim.finish(RESULT)
    assert sum(objects.counts.values()) == 2
    again = await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert again == decision.Replay(RESULT)


EARLIER = [
    # state of the first attempt, body of the retry, code, ran
    ("claimed", BODY, errors.Code.ALREADY_STARTED, errors.Ran.UNKNOWN),
    ("old", BODY, errors.Code.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN),
    ("large", BODY, errors.Code.ALREADY_DONE, errors.Ran.DONE),
    ("claimed", OTHER, errors.Code.IDEMPOTENCY_KEY_REUSED, errors.Ran.NOT_RUN),
    ("done", OTHER, errors.Code.IDEMPOTENCY_KEY_REUSED, errors.Ran.NOT_RUN),
    ("garbled", BODY, errors.Code.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN),
]


@pytest.mark.parametrize(("first", "body", "code", "ran"), EARLIER)
async def test_a_retry_gets_the_state_of_the_first_attempt(
    objects, first, body, code, ran
):
    wall_clock = {"now_s": 1000.0}
    claim_keeper = make_keeper(
        objects, wall_clock=lambda: wall_clock["now_s"], max_result_bytes=9
    )
    claim = await claim_keeper.acquire("acme", "k", BODY, 0.0)
    if first == "old":
        wall_clock["now_s"] += 61.0
    elif first == "large":
        await claim.finish(record.Result(200, (), b"x" * 10))
    elif first == "done":
        await claim.finish(RESULT)
    elif first == "garbled":
        await objects.update(
            record.KIND, claim.name, {"new": 1}, claim.version, timeout_s=1
        )
    assert await refusal(claim_keeper, body) == (code, ran)


FAULTS = [
    ("lose_answers", 1, None),
    ("lose_answers", 2, None),
    ("drop_writes", 1, None),
    ("drop_writes", 3, None),
    ("drop_writes", 99, errors.Code.STORE_UNAVAILABLE),
    ("down", True, errors.Code.STORE_UNAVAILABLE),
]


@pytest.mark.parametrize(("fault", "times", "code"), FAULTS)
async def test_a_write_without_response_is_resolved_by_a_read(
    objects, fault, times, code
):
    """The response to the claim's write is lost, with or without the write.

    Treated as a failure, the caller would retry and find its own claim;
    treated as a success, two routers could hold one claim.
    """
    claim_keeper = make_keeper(objects)
    setattr(objects.faults, fault, times)
    if code is None:
        claim = await claim_keeper.acquire("acme", "k", BODY, 0.0)
        claim.check(0.0)
    else:
        assert await refusal(claim_keeper) == (code, errors.Ran.NOT_RUN)
    objects.faults = memory.Faults()
    await drained(claim_keeper)
    if code is None:
        assert (await refusal(make_keeper(objects, "r2")))[0] is (
            errors.Code.ALREADY_STARTED
        )
    else:
        claim = await make_keeper(objects, "r2").acquire(
            "acme", "k", BODY, 1.0
        )
        claim.check(1.0)


async def test_the_key_stays_usable_after_a_long_store_outage(objects):
    """The claim's write takes effect, then the store fails for long.

    The caller is correctly told "not run".  On a retry, at any router, its
    own abandoned claim must not cause "already started" for the retention.
    """
    claim_keeper = make_keeper(objects)
    objects.faults.lose_answers = 1
    get = objects.get

    async def down(*args, **options):
        objects.faults.down = True
        return await get(*args, **options)

    objects.get = down
    assert (await refusal(claim_keeper))[0] is errors.Code.STORE_UNAVAILABLE
    objects.get = get
    objects.faults = memory.Faults()
    claim = await claim_keeper.acquire("acme", "k", BODY, 1.0)
    claim.check(1.0)
    await drained(claim_keeper)
    assert (await refusal(make_keeper(objects, "r2")))[0] is (
        errors.Code.ALREADY_STARTED
    )


async def test_a_caller_that_disconnects_during_the_claim_frees_its_key(
    objects,
):
    claim_keeper = make_keeper(objects)
    create, in_flight = objects.create, asyncio.Event()

    async def slow(*args, **options):
        await create(*args, **options)
        in_flight.set()
        await asyncio.Event().wait()

    objects.create = slow
    task = asyncio.create_task(claim_keeper.acquire("acme", "k", BODY, 0.0))
    await in_flight.wait()
    task.cancel()
    await asyncio.wait([task])
    objects.create = create
    await drained(claim_keeper)
    claim = await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
    claim.check(1.0)


async def test_a_late_copy_of_an_abandoned_write_claims_nothing(objects):
    """A create is abandoned, marked not run, and takes effect afterwards.

    Without the object that the mark leaves, the late write would create a
    claim that nobody dispatches and that reads as started for the whole
    retention.
    """
    claim_keeper = make_keeper(objects)
    objects.faults.drop_writes = keeper.MAX_ROUNDS
    assert (await refusal(claim_keeper))[0] is errors.Code.STORE_UNAVAILABLE
    await drained(claim_keeper)
    late = record.Record("late", BODY, record.State.STARTED, "r1", 0.0)
    with pytest.raises(memory.interface.ConditionFailed):
        await objects.create(
            record.KIND,
            record.object_name("acme", "k"),
            late.to_value(),
            timeout_s=1,
        )
    claim = await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
    claim.check(1.0)


async def test_a_released_claim_is_taken_over_once_and_expired_here(objects):
    first = await make_keeper(objects).acquire("acme", "k", BODY, 0.0)
    first.check(0.0)
    first.mark_not_dispatched()
    await first.release()
    results = await asyncio.gather(
        *(
            make_keeper(objects, f"r{i}").acquire("acme", "k", BODY, 1.0)
            for i in range(2, 6)
        ),
        return_exceptions=True,
    )
    acquired = [each for each in results if isinstance(each, keeper.Claim)]
    assert len(acquired) == 1
    assert {each.code for each in results if each not in acquired} == {
        errors.Code.ALREADY_STARTED
    }
    with pytest.raises(errors.RudderError) as caught:
        first.check(0.1)
    assert caught.value.code is errors.Code.CLAIM_EXPIRED


async def test_a_router_that_resumes_late_does_not_dispatch(objects):
    claim = await make_keeper(objects).acquire("acme", "k", BODY, 100.0)
    with pytest.raises(errors.RudderError) as caught:
        claim.check(100.0 + decision.Limits().dispatch_within_s)
    assert caught.value.code is errors.Code.CLAIM_EXPIRED
    assert caught.value.ran is errors.Ran.NOT_RUN


async def test_a_result_is_stored_later_when_the_store_is_down(objects):
    claim_keeper = make_keeper(objects, save_within_s=0.01)
    claim = await claim_keeper.acquire("acme", "k", BODY, 0.0)
    claim.check(0.0)
    objects.faults.down = True
    await claim.finish(RESULT)
    objects.faults.down = False
    await drained(claim_keeper)
    again = await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert again == decision.Replay(RESULT)


DAY_S = 86400.0
OLD_S = DAY_S + reaper.CLOCK_SKEW_S + 1

REAPED = [
    # age by the wall clock, time observed, changed meanwhile, deleted
    (OLD_S, reaper.MIN_OBSERVED_S + 1, False, 1),
    (OLD_S, reaper.MIN_OBSERVED_S - 1, False, 0),
    (DAY_S, reaper.MIN_OBSERVED_S + 1, False, 0),
    (OLD_S, reaper.MIN_OBSERVED_S + 1, True, 0),
]


@pytest.mark.parametrize(("age_s", "observed_s", "changed", "deleted"), REAPED)
async def test_claims_expire_only_by_both_clocks(
    objects, age_s, observed_s, changed, deleted
):
    """A claim that is deleted early lets a retry run a second time.

    Its age is measured by the wall clock, which may jump, so this router
    must also have observed it unchanged for long enough.
    """
    claim_keeper = make_keeper(objects, wall_clock=lambda: 0.0)
    claim = await claim_keeper.acquire("acme", "k", BODY, 0.0)
    claim_reaper = reaper.Reaper(objects, lambda: DAY_S, lambda: True)
    assert (
        await claim_reaper.reap(lambda: 0.0, lambda: age_s, pause_s=0.0) == 0
    )
    if changed:
        await claim.release()
        await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert (
        await claim_reaper.reap(lambda: observed_s, lambda: age_s, pause_s=0.0)
        == deleted
    )


async def test_two_reapers_and_a_takeover_race_for_one_claim(objects):
    """A retry takes a claim over between a reaper's check and its delete.

    An unconditional delete would remove the new holder's claim, and the
    next retry would run concurrently.
    """
    claim = await make_keeper(objects, wall_clock=lambda: 0.0).acquire(
        "acme", "k", BODY, 0.0
    )
    await claim.release()
    reapers = [
        reaper.Reaper(objects, lambda: DAY_S, lambda: True) for _ in "ab"
    ]
    for each in reapers:
        await each.reap(lambda: 0.0, lambda: OLD_S, pause_s=0.0)
    delete = objects.delete

    async def delete_after_takeover(*args, **options):
        objects.delete = delete
        await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
        await delete(*args, **options)

    objects.delete = delete_after_takeover
    later_s = reaper.MIN_OBSERVED_S + 1
    deleted = [
        await each.reap(lambda: later_s, lambda: OLD_S, pause_s=0.0)
        for each in reapers
    ]
    assert deleted == [0, 0]
    assert (await refusal(make_keeper(objects, "r3")))[0] is (
        errors.Code.ALREADY_STARTED
    )


class RevertingStore(memory.MemoryObjectStore):
    """A store that issues versions again after a restore."""

    def snapshot(self):
        """Return the present state and version."""
        return super().snapshot(), self._version

    def restore(self, snapshot):
        """Return to an older state and its version."""
        state, self._version = snapshot
        super().restore(state)


async def test_a_release_after_a_restore_keeps_the_claim_of_another():
    """A claim is lost in a restore, and another gets the same version."""
    objects = RevertingStore()
    before = objects.snapshot()
    lost = await make_keeper(objects).acquire("acme", "k", BODY, 0.0)
    objects.restore(before)
    second = await make_keeper(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert second.version == lost.version
    second.check(1.0)
    await lost.release()
    assert (await refusal(make_keeper(objects, "r3")))[0] is (
        errors.Code.ALREADY_STARTED
    )
