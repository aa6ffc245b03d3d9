import asyncio
import contextlib
import random

import pytest

from toucanrudder import errors
from toucanrudder.controllers import backoff
from toucanrudder.controllers import configuration
from toucanrudder.document import acceptance
from toucanrudder.document import model
from toucanrudder.document import validation
from toucanrudder.store import memory

KEY = (configuration.KIND, configuration.NAME)
TIMEOUT_S = 30


def document(weights="v1"):
    return {
        "organisations": [],
        "models": [{"name": "m", "weights_version": weights}],
        "upstreams": [],
    }


def accepted(generation, apply_id="x", author="ann"):
    return model.Accepted(generation, apply_id, author, model.Document())


class Fleet:
    """Controllers of several routers that share one store."""

    def __init__(self):
        self.store = memory.MemoryObjectStore()
        self.controllers = []
        self.tasks = []
        self.history = {}
        self.changed = asyncio.Event()

    def start(self, **options):
        controller = configuration.ConfigurationController(
            self.store,
            watch_wait_s=options.pop("watch_wait_s", 5.0),
            rng=random.Random(len(self.controllers)),
        )
        history = self.history[controller] = []
        controller.subscribe(
            lambda applied: history.append(applied.generation)
        )
        controller.subscribe(lambda _: self.changed.set())
        self.controllers.append(controller)
        self.tasks.append(asyncio.create_task(controller.run()))
        return controller

    async def all_at(self, generation):
        async with asyncio.timeout(TIMEOUT_S):
            while self.generations() != {generation}:
                self.changed.clear()
                await self.changed.wait()

    def generations(self):
        return {
            acceptance.generation_of(controller.current)
            for controller in self.controllers
        }

    async def stored_at(self, generation):
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                stored = await self.store.get(*KEY, timeout_s=1)
                if stored and stored.value["generation"] == generation:
                    return
                await asyncio.sleep(0.01)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for history in self.history.values():
            assert history == sorted(history)


@pytest.fixture
async def fleet():
    state = Fleet()
    yield state
    await state.stop()


async def test_an_applied_document_is_in_force_everywhere(fleet):
    first, *_ = [fleet.start() for _ in range(8)]
    await first.apply(document(), 0, "ann")
    await fleet.all_at(1)
    await fleet.controllers[5].apply(document("v2"), 1, "bob")
    await fleet.all_at(2)
    assert {c.current.author for c in fleet.controllers} == {"bob"}


async def test_two_operators_race(fleet):
    """Of two concurrent changes, the loser gets a conflict.

    Both operators start from generation 1, at two routers, at the same
    time.  Both conditional writes reach the store, and one fails.  The
    loser must learn whose document is in force, and that the own one had
    no effect.
    """
    one, two = fleet.start(), fleet.start()
    await one.apply(document(), 0, "ann")
    await fleet.all_at(1)
    results = await asyncio.gather(
        one.apply(document("a"), 1, "ann"),
        two.apply(document("b"), 1, "bob"),
        return_exceptions=True,
    )
    (loser,) = [r for r in results if isinstance(r, Exception)]
    (winner,) = [r for r in results if isinstance(r, model.Accepted)]
    assert loser.code is errors.Code.CONFIG_CONFLICT
    assert (loser.generation, loser.author) == (2, winner.author)
    assert loser.as_body()["error"]["ran"] == "not_run"
    await fleet.all_at(2)
    assert {c.current for c in fleet.controllers} == {winner}


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
@pytest.mark.parametrize("times", [1, 2])
async def test_a_lost_answer_to_the_operators_write(fleet, fault, times):
    """The operator gets the right outcome though an answer was lost.

    The write takes effect and its answer is lost, or the write itself is
    lost.  The router cannot tell which; it reads the stored apply_id and
    repeats the same conditional write if needed.
    """
    controller = fleet.start()
    await controller.apply(document(), 0, "ann")
    setattr(fleet.store.faults, fault, times)
    applied = await controller.apply(document("v2"), 1, "ann")
    await fleet.all_at(2)
    await fleet.stored_at(2)
    assert controller.current == applied


async def test_an_unresolved_write_is_reported_as_unknown(fleet, monkeypatch):
    """The operator gets "outcome_unknown", never a false "not_run".

    The write takes effect, its answer is lost, and then the store is down
    for longer than the router waits.
    """
    monkeypatch.setattr(configuration, "RESOLVE_TIMEOUT_S", 0.3)
    controller = fleet.start()
    fleet.store.faults.lose_answers = 1
    original = fleet.store._write

    def write_then_fail(*args):
        fleet.store.faults.down = True
        return original(*args)

    fleet.store._write = write_then_fail
    with pytest.raises(errors.RudderError) as caught:
        await controller.apply(document(), 0, "ann")
    assert caught.value.code is errors.Code.OUTCOME_UNKNOWN
    assert caught.value.ran is errors.Ran.UNKNOWN
    fleet.store.faults.down = False
    await fleet.all_at(1)


@pytest.mark.parametrize("emptied", [False, True])
async def test_a_store_restored_to_an_older_state(fleet, emptied):
    """No router reverts, and routers started later get the newest document.

    The store is restored from a snapshot made before the last change, so
    it holds an older document or none; one router writes the document in
    force back.
    """
    one = fleet.start()
    fleet.start()
    if not emptied:
        await one.apply(document(), 0, "ann")
    snapshot = fleet.store.snapshot()
    for generation in range(1 - emptied, 4):
        await one.apply(document(f"v{generation}"), generation, "ann")
    await fleet.all_at(4)
    fleet.store.restore(snapshot)
    await fleet.stored_at(4)
    fleet.start()
    await fleet.all_at(4)


async def test_a_change_after_the_store_was_restored(fleet):
    one, two = fleet.start(), fleet.start()
    await one.apply(document(), 0, "ann")
    snapshot = fleet.store.snapshot()
    await one.apply(document("v2"), 1, "ann")
    await fleet.all_at(2)
    fleet.store.restore(snapshot)
    await two.apply(document("v3"), 2, "bob")
    await fleet.all_at(3)
    await fleet.stored_at(3)


async def test_a_router_started_while_the_store_is_down(fleet):
    """The router uses a peer's document, then the store's newer one.

    The store is down before the router starts, and recovers later with a
    newer document.
    """
    other = fleet.start()
    for generation in range(3):
        await other.apply(document(f"v{generation}"), generation, "ann")
    fleet.store.faults.down = True
    late = fleet.start()
    assert not late.configured.is_set()
    assert late.offer(other.current)
    assert late.configured.is_set()
    assert not late.offer(accepted(2))
    fleet.store.faults.down = False
    await other.apply(document("v9"), 3, "ann")
    await fleet.all_at(4)


async def test_a_hung_watch(fleet):
    """With hung watches, documents still arrive from peers.

    All watches stay open and silent, which looks like "no change".  The
    document comes from a peer; after the watch's deadline a new watch is
    opened.
    """
    fleet.store.faults.hang_watches = True
    one, two = fleet.start(watch_wait_s=0.3), fleet.start(watch_wait_s=0.3)
    applied = await one.apply(document(), 0, "ann")
    two.offer(applied)
    assert two.current == applied
    fleet.store.faults.hang_watches = False
    await one.apply(document("v2"), 1, "ann")
    await fleet.all_at(2)


async def test_the_store_is_down(fleet):
    controller = fleet.start()
    fleet.store.faults.down = True
    with pytest.raises(errors.RudderError) as caught:
        await controller.apply(document(), 0, "ann")
    assert caught.value.code is errors.Code.STORE_UNAVAILABLE
    assert caught.value.ran is errors.Ran.NOT_RUN


async def test_an_invalid_document_is_refused_whole(fleet):
    controller = fleet.start()
    await controller.apply(document(), 0, "ann")
    with pytest.raises(validation.DocumentInvalid):
        await controller.apply({**document(), "models": 1}, 1, "ann")
    assert fleet.store.counts[configuration.KIND, "update"] == 0
    assert controller.current.generation == 1


async def test_an_unreadable_document_is_not_overwritten(fleet):
    one = fleet.start(watch_wait_s=0.05)
    await one.apply(document(), 0, "ann")
    stored = await fleet.store.get(*KEY, timeout_s=1)
    value = {"generation": 2, "form": "newer"}
    await fleet.store.update(*KEY, value, stored.version, timeout_s=1)
    with pytest.raises(errors.RudderError) as caught:
        await one.apply(document(), 1, "ann")
    assert caught.value.code is errors.Code.CONFIG_CONFLICT
    one.offer(accepted(3))
    watch_key = (configuration.KIND, "watch")
    min_watches = fleet.store.counts[watch_key] + 4
    async with asyncio.timeout(TIMEOUT_S):
        while fleet.store.counts[watch_key] < min_watches:
            await fleet.store.watch("other", "none", 0, wait_s=0.01)
    stored = await fleet.store.get(*KEY, timeout_s=1)
    assert stored.value == value


async def test_a_failing_subscriber_keeps_nothing_from_the_others(fleet):
    controller, received = fleet.start(), []

    def fail(_):
        raise RuntimeError("subscriber")

    controller.subscribe(fail)
    controller.subscribe(received.append)
    await controller.apply(document(), 0, "ann")
    assert [applied.generation for applied in received] == [1]


SETTLED = [
    (None, {}, acceptance.Settled.NOT_YET),
    (accepted(4, "old"), {}, acceptance.Settled.NOT_YET),
    (accepted(5, "mine"), {}, acceptance.Settled.DONE),
    (accepted(5, "other"), {}, acceptance.Settled.LOST_RACE),
    (accepted(6, "other"), {}, acceptance.Settled.UNKNOWN),
    (accepted(6, "other"), {5: "mine"}, acceptance.Settled.DONE),
    (accepted(6, "other"), {5: "third"}, acceptance.Settled.LOST_RACE),
]


@pytest.mark.parametrize(("stored", "apply_ids", "outcome"), SETTLED)
def test_outcome_of_a_write_with_a_lost_answer(stored, apply_ids, outcome):
    written = accepted(5, "mine")
    assert acceptance.write_outcome(written, stored, apply_ids) is outcome


SUPERSEDING = [
    (accepted(2), None, acceptance.Source.PEER, True),
    (accepted(2), accepted(1), acceptance.Source.PEER, True),
    (accepted(1), accepted(2), acceptance.Source.STORE, False),
    (accepted(2, "a"), accepted(2, "b"), acceptance.Source.STORE, True),
    (accepted(2, "a"), accepted(2, "b"), acceptance.Source.PEER, False),
    (accepted(2, "a"), accepted(2, "a"), acceptance.Source.STORE, False),
]


@pytest.mark.parametrize(
    ("candidate", "current", "source", "expected"), SUPERSEDING
)
def test_which_document_is_in_force(candidate, current, source, expected):
    assert acceptance.supersedes(candidate, current, source) is expected


def test_backoff_delays_are_bounded_and_differ():
    rng = random.Random(1)
    for failures in (1, 2, 5, 10**6):
        delays = [backoff.delay_s(failures, rng) for _ in range(50)]
        assert max(delays) <= backoff.MAX_DELAY_S
        assert min(delays) >= backoff.BASE_DELAY_S / 2
        assert len(set(delays)) == 50
