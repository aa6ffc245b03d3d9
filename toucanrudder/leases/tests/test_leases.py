import asyncio
import contextlib
import random
import time

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.leases import weights
from toucanrudder.store import interface
from toucanrudder.store import memory
from toucanrudder.testing.virtual import timing
from toucanrudder.upstreams import loads

TERM_S, MARGIN_S = decision.TERM_S, decision.MARGIN_S
ENOUGH_S = TERM_S + MARGIN_S + 0.1


class Clock:
    """A clock that runs at its own rate."""

    def __init__(self, true, rate=1.0):
        self.true, self.rate = true, rate

    def __call__(self):
        return self.true[0] * self.rate


class Contender:
    def __init__(self, store, true, me, rate=1.0, floor=lambda: 0):
        self.clock = Clock(true, rate)
        self.holder = holder.LeaseHolder(
            store,
            "weights",
            me,
            fencing_floor=floor,
            rng=random.Random(me),
            clock=self.clock,
        )

    def held(self):
        return self.holder.current_lease(self.clock())

    async def reconcile(self):
        with contextlib.suppress(
            interface.ConditionFailed,
            interface.StoreUnavailable,
            interface.OutcomeUnknown,
        ):
            await self.holder.reconcile()


@hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
class OneHolder(stateful.RuleBasedStateMachine):
    """Three processes want a lease; pauses, lost answers, uneven clocks.

    At no moment may two of them act, and who acts later has the higher
    fencing number.
    """

    names = strategies.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.true = [100.0]
        self.store = memory.MemoryObjectStore()
        self.highest = 0
        self.contenders = {
            name: Contender(self.store, self.true, name, rate)
            for name, rate in (("a", 1.0), ("b", 1.05), ("c", 0.95))
        }

    @stateful.rule(name=names)
    def reconcile(self, name):
        asyncio.run(self.contenders[name].reconcile())

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2, 8, 9.8, 12, 30]))
    def passes(self, seconds):
        self.true[0] += seconds

    @stateful.rule(fault=strategies.sampled_from(["lose", "drop", "down"]))
    def fault(self, fault):
        faults = self.store.faults
        faults.lose_answers = int(fault == "lose")
        faults.drop_writes = int(fault == "drop")
        faults.down = fault == "down"

    @stateful.rule()
    def works_again(self):
        self.store.faults = memory.Faults()

    @stateful.rule(name=names)
    def releases(self, name):
        asyncio.run(self.contenders[name].holder.release())

    @stateful.rule(name=names)
    def is_told(self, name):
        found = asyncio.run(self._stored())
        contender = self.contenders[name]
        if found is not None:
            contender.holder.observe(found, contender.clock())

    async def _stored(self):
        with contextlib.suppress(interface.StoreUnavailable):
            return await self.store.get(holder.KIND, "weights", timeout_s=1)

    @stateful.invariant()
    def one_acts(self):
        acting = [c.held() for c in self.contenders.values() if c.held()]
        assert len(acting) <= 1
        for lease in acting:
            assert lease.fencing >= self.highest
            self.highest = lease.fencing


TestOneHolder = OneHolder.TestCase


async def test_a_paused_holder_does_not_act():
    """A holder that was paused gives no order after its lease has lapsed.

    It is stopped between planning an order and giving it, for longer
    than the term.  Another takes the lease meanwhile.  When it wakes, it
    checks before the order, and afterwards sees that it has lost.
    """
    store, true = memory.MemoryObjectStore(), [0.0]
    one, two = (Contender(store, true, name) for name in "ab")
    await one.reconcile()
    first = one.holder.require_lease(true[0])
    await two.reconcile()
    true[0] += ENOUGH_S
    await two.reconcile()
    second = two.holder.require_lease(true[0])
    assert second.fencing > first.fencing
    with pytest.raises(errors.RudderError) as caught:
        one.holder.require_lease(true[0])
    assert caught.value.code is errors.Code.LEASE_LOST
    await one.reconcile()
    assert two.held()
    assert not one.held()


@pytest.mark.parametrize("passed_s", [0.0, TERM_S - MARGIN_S, TERM_S + 0.5])
async def test_another_waits_out_the_margin(passed_s):
    store, true = memory.MemoryObjectStore(), [0.0]
    one, two = (Contender(store, true, name) for name in "ab")
    await one.reconcile()
    await two.reconcile()
    true[0] += passed_s
    await two.reconcile()
    assert not two.held()


async def test_a_released_lease_is_taken_at_once():
    store, true = memory.MemoryObjectStore(), [0.0]
    one, two = (Contender(store, true, name) for name in "ab")
    await one.reconcile()
    await one.holder.release()
    await two.reconcile()
    assert two.held().fencing == 2
    assert not one.held()


async def test_fencing_numbers_rise_though_the_store_came_back_older():
    """Orders are not refused for ever after the store was restored.

    The restored object holds a lower number than engines have seen.
    What they report is the floor for the next number.
    """
    store, true, floor = memory.MemoryObjectStore(), [0.0], [0]
    one = Contender(store, true, "a", floor=lambda: floor[0])
    await one.reconcile()
    floor[0] = 41
    await one.reconcile()
    assert one.held().fencing == 42
    floor[0] = 42
    await one.reconcile()
    assert one.held().fencing == 42


def _engine(name, running=0, state="live", **models):
    upstream = model.Upstream(
        name, "engine", "127.0.0.1:1", "z", "p", tuple(models)
    )
    report = loads.LoadReport(
        name, "i", state=state, running=running, models=models
    )
    return upstream, report


def _plan(engines, at_once=2, ordered_s=None):
    document = model.Document(
        models=(model.Model("m", "v2"), model.Model("n", "v2")),
        upstreams=tuple(upstream for upstream, _ in engines),
        policy=model.Policy(weight_loads_at_once=at_once),
    )
    reports = {upstream.name: report for upstream, report in engines if report}
    orders = weights.plan(document, reports, ordered_s or {}, 100.0)
    return [(order.upstream.name, order.model) for order in orders]


OLD, NEW = {"m": "v1"}, {"m": "v2"}
PLANS = {
    "all right": ([_engine("a", **NEW), _engine("b", **NEW)], {}, []),
    "two at once": (
        [_engine(n, **OLD) for n in "abcd"],
        {},
        [("a", "m"), ("b", "m")],
    ),
    "least busy first": (
        [_engine("a", 5, **OLD), _engine("b", 1, **OLD), _engine("c", **OLD)],
        {},
        [("c", "m"), ("b", "m")],
    ),
    "one is loading": (
        [_engine("a", 0, "loading", **OLD)]
        + [_engine(n, **OLD) for n in "bcd"],
        {},
        [("b", "m")],
    ),
    "one was just ordered": (
        [_engine(n, **OLD) for n in "abcd"],
        {"ordered_s": {"a": 99.0}},
        [("b", "m")],
    ),
    "an order got lost": (
        [_engine(n, **OLD) for n in "abcd"],
        {"ordered_s": {"a": 100 - weights.ORDER_PENDING_S}},
        [("a", "m"), ("b", "m")],
    ),
    "an ordered one is done": (
        [_engine("a", **NEW)] + [_engine(n, **OLD) for n in "bcd"],
        {"ordered_s": {"a": 99.0}},
        [("b", "m"), ("c", "m")],
    ),
    "an ordered one is silent": (
        [(_engine("a", **OLD)[0], None)] + [_engine(n, **OLD) for n in "bcd"],
        {"ordered_s": {"a": 99.0}},
        [("b", "m")],
    ),
    "one stays live": ([_engine(n, **OLD) for n in "ab"], {}, [("a", "m")]),
    "the last live one stays": (
        [_engine("a", 0, "loading", **OLD), _engine("b", **OLD)],
        {},
        [],
    ),
    "the only one": ([_engine("a", **OLD)], {}, [("a", "m")]),
    "leaving ones are left alone": (
        [_engine("a", 0, "leaving", **OLD), _engine("b", **NEW)],
        {},
        [],
    ),
    "one model at a time": (
        [_engine("a", m="v1", n="v1"), _engine("b", m="v2", n="v2")],
        {},
        [("a", "m")],
    ),
}


@pytest.mark.parametrize("case", PLANS)
def test_which_engines_load_next(case):
    engines, options, expected = PLANS[case]
    assert _plan(engines, **options) == expected


def test_an_order_names_a_state():
    upstream, _ = _engine("a", **OLD)
    order = weights.Order(upstream, "i", "m", "v2")
    again = attrs.evolve(order)
    assert order.order_id == again.order_id == "a.i.m.v2"


def test_a_lease_counts_the_time_of_a_suspended_host():
    """The instance is suspended with the lease held, another takes it over,
    and the instance wakes.  By the clock that stood still meanwhile the
    lease would still hold, and two holders would order loads.
    """
    made = holder.LeaseHolder(None, "weights", "me")
    assert made._clock is clock.now_s
    assert abs(clock.now_s() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 60


FAILOVER_S = 3.0
STEP_S = 0.05

#: How the holder goes: the part of the failover time after which it acts
#: again.
WENT = {
    "killed, or cut from the store": float("inf"),
    "frozen, and wakes too late": 1.7,
    "frozen for a moment": 0.3,
}


class Watcher(Contender):
    """Is told of each write, and takes the lease when it may."""

    def __init__(self, store, true, me, failover_s):
        super().__init__(store, true, me)
        self.holder.timing = decision.timing_for_failover(failover_s)

    async def turn(self):
        stored = await self.holder._store.get(
            holder.KIND, "weights", timeout_s=1.0
        )
        if stored is not None:
            self.holder.observe(stored, self.clock())
        if not self.holder.is_held_by_other(self.clock()):
            await self.reconcile()


@pytest.mark.parametrize("failover_s", [1.0, FAILOVER_S])
@pytest.mark.parametrize("back_share", WENT.values(), ids=WENT.keys())
async def test_another_holder_follows_in_time(back_share, failover_s):
    """The holder falls silent right after it has renewed its lease.

    Callers wait for new weights meanwhile.  The next in line has been told
    of that renewal and holds the lease within the time that is set, and at
    no moment may both act: a holder that wakes finds that it may not.
    """
    true = [100.0]
    store = memory.MemoryObjectStore()
    first, second = (Watcher(store, true, me, failover_s) for me in ("a", "b"))
    await first.turn()
    await second.turn()
    assert first.held()
    went_s, taken_s = true[0], None
    while true[0] < went_s + 3 * failover_s:
        true[0] += STEP_S
        if true[0] - went_s >= back_share * failover_s:
            await first.turn()
        await second.turn()
        assert not (first.held() and second.held())
        if taken_s is None and second.held():
            taken_s = true[0] - went_s
    if back_share < 0.6:
        # It was back before its lease had lapsed, and kept it.
        assert taken_s is None
        return
    assert taken_s <= failover_s
    assert not second.held().follows_release


async def test_a_released_lease_is_taken_at_once_but_marked():
    """The holder stops and gives its lease up; its last order may be late.

    The next in line takes the lease without waiting, and knows that an
    order of the one before may still be on its way.
    """
    true = [100.0]
    store = memory.MemoryObjectStore()
    first, second = (Watcher(store, true, me, FAILOVER_S) for me in ("a", "b"))
    await first.turn()
    await first.holder.release()
    await second.turn()
    assert second.held().follows_release


async def test_a_spoilt_lease_is_waited_out_and_outnumbered():
    """Another writer replaces the lease's object by something else.

    Taken over at once, two could act; never taken over, no engine would
    get new weights.  The number goes on above all that were in use.
    """
    true = [100.0]
    store = memory.MemoryObjectStore()
    first, second = (Watcher(store, true, me, FAILOVER_S) for me in ("a", "b"))
    await first.turn()
    fencing = first.held().fencing
    stored = await store.get(holder.KIND, "weights", timeout_s=1.0)
    await store.update(
        holder.KIND, "weights", {"fencing": "x"}, stored.version, timeout_s=1.0
    )
    while first.held():
        true[0] += STEP_S
        await second.turn()
    while not (first.held() or second.held()):
        true[0] += STEP_S
        await first.turn()
        await second.turn()
    assert not (first.held() and second.held())
    assert (first.held() or second.held()).fencing > fencing
    assert true[0] - 100.0 <= FAILOVER_S + STEP_S


def test_a_holder_that_cannot_do_the_work_lets_go():
    """Engines keep their weights while a router holds the lease in vain.

    The holder hears no engine any more, but reaches the store, so it goes
    on renewing the lease; another router hears all engines and waits.
    """
    deaf_from_s = 20.0

    async def day():
        store = memory.MemoryObjectStore()
        contenders = [
            holder.LeaseHolder(
                store,
                "weights",
                me,
                can_act=lambda me=me: me == "b" or clock.now_s() < deaf_from_s,
                rng=random.Random(me),
                clock=clock.now_s,
            )
            for me in ("a", "b")
        ]
        running = []
        for each in contenders:
            running.append(asyncio.ensure_future(each.run()))
            await asyncio.sleep(1.0)
        before = [each.current_lease(clock.now_s()) for each in contenders]
        await asyncio.sleep(deaf_from_s + ENOUGH_S)
        after = [each.current_lease(clock.now_s()) for each in contenders]
        for each in running:
            each.cancel()
        return [[lease is not None for lease in at] for at in (before, after)]

    assert timing.run(day) == [[True, False], [False, True]]


async def test_a_holder_does_not_release_anothers_lease():
    """It wakes from a pause, is told of the next holder, and stops."""
    store, true = memory.MemoryObjectStore(), [100.0]
    first, second, third = (Contender(store, true, name) for name in "abc")
    await first.reconcile()
    for contender in (second, third):
        await contender.reconcile()
    true[0] += ENOUGH_S
    await second.reconcile()
    found = await store.get(holder.KIND, "weights", timeout_s=1)
    first.holder.observe(found, first.clock())
    await first.holder.release()
    await third.reconcile()
    assert second.held() and not third.held()
