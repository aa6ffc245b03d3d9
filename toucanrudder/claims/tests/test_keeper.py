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
def quick(monkeypatch):
    monkeypatch.setattr(keeper, "BACKOFF_S", (0.0, 0.0))


@pytest.fixture
def objects():
    return memory.MemoryObjectStore()


def router(objects, name="r1", **options):
    return keeper.ClaimKeeper(objects, name, **options)


async def refusal(holder, body=BODY, now_s=0.0):
    with pytest.raises(errors.RudderError) as caught:
        await holder.acquire("acme", "k", body, now_s)
    return caught.value.code, caught.value.ran


async def settled(holder):
    assert await holder.drain(10.0) == 0


async def test_one_write_claims_and_one_more_finishes(objects):
    holder = router(objects)
    claim = await holder.acquire("acme", "k", BODY, 0.0)
    claim.check(0.1)
    await claim.finish(RESULT)
    assert sum(objects.counts.values()) == 2
    again = await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert again == decision.Replay(RESULT)


EARLIER = [
    # what the first try did, the resend's body, code, ran
    ("claimed", BODY, errors.Code.ALREADY_STARTED, errors.Ran.UNKNOWN),
    ("old", BODY, errors.Code.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN),
    ("large", BODY, errors.Code.ALREADY_DONE, errors.Ran.DONE),
    ("claimed", OTHER, errors.Code.IDEMPOTENCY_KEY_REUSED, errors.Ran.NOT_RUN),
    ("done", OTHER, errors.Code.IDEMPOTENCY_KEY_REUSED, errors.Ran.NOT_RUN),
    ("garbled", BODY, errors.Code.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN),
]


@pytest.mark.parametrize(("first", "body", "code", "ran"), EARLIER)
async def test_a_resend_learns_what_became_of_the_first_try(
    objects, first, body, code, ran
):
    wall = {"now_s": 1000.0}
    holder = router(objects, wall_s=lambda: wall["now_s"], max_result_bytes=9)
    claim = await holder.acquire("acme", "k", BODY, 0.0)
    if first == "old":
        wall["now_s"] += 61.0
    elif first == "large":
        await claim.finish(record.Result(200, (), b"x" * 10))
    elif first == "done":
        await claim.finish(RESULT)
    elif first == "garbled":
        await objects.update(
            record.KIND, claim.name, {"new": 1}, claim.version, timeout_s=1
        )
    assert await refusal(holder, body) == (code, ran)


FAULTS = [
    ("lose_answers", 1, None),
    ("lose_answers", 2, None),
    ("drop_writes", 1, None),
    ("drop_writes", 3, None),
    ("drop_writes", 99, errors.Code.STORE_UNAVAILABLE),
    ("down", True, errors.Code.STORE_UNAVAILABLE),
]


@pytest.mark.parametrize(("fault", "times", "code"), FAULTS)
async def test_an_unanswered_write_is_settled_by_reading_back(
    objects, fault, times, code
):
    """The store takes the claim and its answer is lost, or loses both.

    Taken for a failure, the caller would be told to come back and find
    its own claim; taken for a success, two routers could hold one claim.
    """
    holder = router(objects)
    setattr(objects.faults, fault, times)
    if code is None:
        claim = await holder.acquire("acme", "k", BODY, 0.0)
        claim.check(0.0)
    else:
        assert await refusal(holder) == (code, errors.Ran.NOT_RUN)
    objects.faults = memory.Faults()
    await settled(holder)
    if code is None:
        assert (await refusal(router(objects, "r2")))[0] is (
            errors.Code.ALREADY_STARTED
        )
    else:
        claim = await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
        claim.check(1.0)


async def test_store_down_long_then_back_leaves_the_key_usable(objects):
    """The claim's write takes effect, then the store goes down for long.

    The caller is told not run, truly.  When it comes back, to whichever
    router, its own dead claim must not answer "already started" all day.
    """
    holder = router(objects)
    objects.faults.lose_answers = 1
    get = objects.get

    async def down(*args, **options):
        objects.faults.down = True
        return await get(*args, **options)

    objects.get = down
    assert (await refusal(holder))[0] is errors.Code.STORE_UNAVAILABLE
    objects.get = get
    objects.faults = memory.Faults()
    claim = await holder.acquire("acme", "k", BODY, 1.0)
    claim.check(1.0)
    await settled(holder)
    assert (await refusal(router(objects, "r2")))[0] is (
        errors.Code.ALREADY_STARTED
    )


async def test_a_caller_that_leaves_during_the_claim_frees_its_key(objects):
    holder = router(objects)
    create, under_way = objects.create, asyncio.Event()

    async def slow(*args, **options):
        await create(*args, **options)
        under_way.set()
        await asyncio.Event().wait()

    objects.create = slow
    task = asyncio.create_task(holder.acquire("acme", "k", BODY, 0.0))
    await under_way.wait()
    task.cancel()
    await asyncio.wait([task])
    objects.create = create
    await settled(holder)
    claim = await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
    claim.check(1.0)


async def test_a_late_copy_of_a_given_up_write_claims_nothing(objects):
    """The create is given up, settled as not run, and then arrives.

    Without the object that settling leaves, the late copy would make a
    claim that nobody dispatches and that answers "started" all day.
    """
    holder = router(objects)
    objects.faults.drop_writes = keeper.MAX_ROUNDS
    assert (await refusal(holder))[0] is errors.Code.STORE_UNAVAILABLE
    await settled(holder)
    late = record.Record("late", BODY, record.State.STARTED, "r1", 0.0)
    with pytest.raises(memory.interface.ConditionFailed):
        await objects.create(
            record.KIND,
            record.name_of("acme", "k"),
            late.to_value(),
            timeout_s=1,
        )
    claim = await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
    claim.check(1.0)


async def test_a_released_claim_goes_to_one_taker_and_is_dead_here(objects):
    first = await router(objects).acquire("acme", "k", BODY, 0.0)
    first.check(0.0)
    first.mark_not_dispatched()
    await first.release()
    takers = await asyncio.gather(
        *(
            router(objects, f"r{i}").acquire("acme", "k", BODY, 1.0)
            for i in range(2, 6)
        ),
        return_exceptions=True,
    )
    held = [t for t in takers if isinstance(t, keeper.Claim)]
    assert len(held) == 1
    assert {t.code for t in takers if t not in held} == {
        errors.Code.ALREADY_STARTED
    }
    with pytest.raises(errors.RudderError) as caught:
        first.check(0.1)
    assert caught.value.code is errors.Code.CLAIM_EXPIRED


async def test_a_router_that_wakes_late_does_not_dispatch(objects):
    claim = await router(objects).acquire("acme", "k", BODY, 100.0)
    with pytest.raises(errors.RudderError) as caught:
        claim.check(100.0 + decision.Limits().dispatch_within_s)
    assert caught.value.code is errors.Code.CLAIM_EXPIRED
    assert caught.value.ran is errors.Ran.NOT_RUN


async def test_a_result_is_stored_later_when_the_store_is_down(objects):
    holder = router(objects, save_within_s=0.01)
    claim = await holder.acquire("acme", "k", BODY, 0.0)
    claim.check(0.0)
    objects.faults.down = True
    await claim.finish(RESULT)
    objects.faults.down = False
    await settled(holder)
    again = await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert again == decision.Replay(RESULT)


DAY_S = 86400.0
OLD_S = DAY_S + reaper.SKEW_S + 1

REAPED = [
    # age by the wall clock, watched for, changed meanwhile, deleted
    (OLD_S, reaper.WATCHED_S + 1, False, 1),
    (OLD_S, reaper.WATCHED_S - 1, False, 0),
    (DAY_S, reaper.WATCHED_S + 1, False, 0),
    (OLD_S, reaper.WATCHED_S + 1, True, 0),
]


@pytest.mark.parametrize(("age_s", "watched_s", "changed", "want"), REAPED)
async def test_claims_end_when_both_clocks_say_so(
    objects, age_s, watched_s, changed, want
):
    """A claim that ends early lets a resend run a second time.

    Its age counts by the wall clock, which may jump, so it must also have
    stood unchanged before this router's own eyes.
    """
    holder = router(objects, wall_s=lambda: 0.0)
    claim = await holder.acquire("acme", "k", BODY, 0.0)
    sweep = reaper.Reaper(objects, lambda: DAY_S, lambda: True)
    assert await sweep.reap(lambda: 0.0, lambda: age_s, pause_s=0.0) == 0
    if changed:
        await claim.release()
        await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert (
        await sweep.reap(lambda: watched_s, lambda: age_s, pause_s=0.0) == want
    )


async def test_two_reapers_and_a_taker_race_for_one_claim(objects):
    """One reaper judges a claim, a resend takes it over, the reaper acts.

    An unconditional delete would remove the new holder's claim, and the
    next resend would run beside it.
    """
    claim = await router(objects, wall_s=lambda: 0.0).acquire(
        "acme", "k", BODY, 0.0
    )
    await claim.release()
    sweeps = [
        reaper.Reaper(objects, lambda: DAY_S, lambda: True) for _ in "ab"
    ]
    for sweep in sweeps:
        await sweep.reap(lambda: 0.0, lambda: OLD_S, pause_s=0.0)
    delete = objects.delete

    async def beaten(*args, **options):
        objects.delete = delete
        await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
        await delete(*args, **options)

    objects.delete = beaten
    later_s = reaper.WATCHED_S + 1
    gone = [
        await s.reap(lambda: later_s, lambda: OLD_S, pause_s=0.0)
        for s in sweeps
    ]
    assert gone == [0, 0]
    assert (await refusal(router(objects, "r3")))[0] is (
        errors.Code.ALREADY_STARTED
    )


class RevertingStore(memory.MemoryObjectStore):
    """A store that gives versions out again once it has gone back."""

    def snapshot(self):
        """Return the present state and version."""
        return super().snapshot(), self._version

    def restore(self, snapshot):
        """Come back in an older state and at its version."""
        state, self._version = snapshot
        super().restore(state)


async def test_a_release_after_the_store_went_back_frees_no_others_claim():
    """A claim is lost, its key taken elsewhere at the same version."""
    objects = RevertingStore()
    before = objects.snapshot()
    lost = await router(objects).acquire("acme", "k", BODY, 0.0)
    objects.restore(before)
    runs = await router(objects, "r2").acquire("acme", "k", BODY, 1.0)
    assert runs.version == lost.version
    runs.check(1.0)
    await lost.release()
    assert (await refusal(router(objects, "r3")))[0] is (
        errors.Code.ALREADY_STARTED
    )
