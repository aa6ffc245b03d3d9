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
TAKEOVER_S = TERM_S + MARGIN_S + 0.1


class Clock:
    """A clock that runs at its own rate against the true time."""

    def __init__(self, true_s, rate=1.0):
        self.true_s, self.rate = true_s, rate

    def __call__(self):
        return self.true_s[0] * self.rate


class Contender:
    def __init__(self, store, true_s, name, rate=1.0, floor=lambda: 0):
        self.clock = Clock(true_s, rate)
        self.holder = holder.LeaseHolder(
            store,
            "weights",
            name,
            fencing_floor=floor,
            rng=random.Random(name),
            clock=self.clock,
        )

    def lease(self):
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
    """Three processes compete for a lease; store faults and clock drift.

    At no time may two of them act, and a later holder has a higher fencing
    number.
    """

    names = strategies.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.true_s = [100.0]
        self.store = memory.MemoryObjectStore()
        self.highest_fencing = 0
        self.contenders = {
            name: Contender(self.store, self.true_s, name, rate)
            for name, rate in (("a", 1.0), ("b", 1.05), ("c", 0.95))
        }

    @stateful.rule(name=names)
    def reconcile(self, name):
        asyncio.run(self.contenders[name].reconcile())

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2, 8, 9.8, 12, 30]))
    def time_passes(self, seconds):
        self.true_s[0] += seconds

    @stateful.rule(fault=strategies.sampled_from(["lose", "drop", "down"]))
    def store_fails(self, fault):
        faults = self.store.faults
        faults.lose_answers = int(fault == "lose")
        faults.drop_writes = int(fault == "drop")
        faults.down = fault == "down"

    @stateful.rule()
    def store_recovers(self):
        self.store.faults = memory.Faults()

    @stateful.rule(name=names)
    def releases(self, name):
        asyncio.run(self.contenders[name].holder.release())

    @stateful.rule(name=names)
    def watch_reports(self, name):
        stored = asyncio.run(self._stored_lease())
        contender = self.contenders[name]
        if stored is not None:
            contender.holder.observe(stored, contender.clock())

    async def _stored_lease(self):
        with contextlib.suppress(interface.StoreUnavailable):
            return await self.store.get(holder.KIND, "weights", timeout_s=1)

    @stateful.invariant()
    def at_most_one_acts(self):
        held = [c.lease() for c in self.contenders.values() if c.lease()]
        assert len(held) <= 1
        for lease in held:
            assert lease.fencing >= self.highest_fencing
            self.highest_fencing = lease.fencing


TestOneHolder = OneHolder.TestCase


async def test_a_paused_holder_does_not_act():
    """A paused holder gives no order after its lease has expired.

    It is paused between planning an order and giving it, for longer than
    the term, and another process takes the lease.  After the pause the
    check before the order fails, and so does the next renewal.
    """
    store, true_s = memory.MemoryObjectStore(), [0.0]
    one, two = (Contender(store, true_s, name) for name in "ab")
    await one.reconcile()
    first = one.holder.require_lease(true_s[0])
    await two.reconcile()
    true_s[0] += TAKEOVER_S
    await two.reconcile()
    second = two.holder.require_lease(true_s[0])
    assert second.fencing > first.fencing
    with pytest.raises(errors.RudderError) as caught:
        one.holder.require_lease(true_s[0])
    assert caught.value.code is errors.Code.LEASE_LOST
    await one.reconcile()
    assert two.lease()
    assert not one.lease()


@pytest.mark.parametrize("passed_s", [0.0, TERM_S - MARGIN_S, TERM_S + 0.5])
async def test_takeover_waits_for_the_margin(passed_s):
    store, true_s = memory.MemoryObjectStore(), [0.0]
    one, two = (Contender(store, true_s, name) for name in "ab")
    await one.reconcile()
    await two.reconcile()
    true_s[0] += passed_s
    await two.reconcile()
    assert not two.lease()


async def test_a_released_lease_is_taken_at_once():
    store, true_s = memory.MemoryObjectStore(), [0.0]
    one, two = (Contender(store, true_s, name) for name in "ab")
    await one.reconcile()
    await one.holder.release()
    await two.reconcile()
    assert two.lease().fencing == 2
    assert not one.lease()


async def test_fencing_numbers_rise_after_a_restore_of_the_store():
    """After a restore of the store, engines would reject all orders.

    The restored lease object holds a lower fencing number than engines
    have accepted.  The numbers that they report are the floor of the next.
    """
    store, true_s, floor = memory.MemoryObjectStore(), [0.0], [0]
    one = Contender(store, true_s, "a", floor=lambda: floor[0])
    await one.reconcile()
    floor[0] = 41
    await one.reconcile()
    assert one.lease().fencing == 42
    floor[0] = 42
    await one.reconcile()
    assert one.lease().fencing == 42


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
    "all up to date": ([_engine("a", **NEW), _engine("b", **NEW)], {}, []),
    "limit of two loads": (
        [_engine(n, **OLD) for n in "abcd"],
        {},
        [("a", "m"), ("b", "m")],
    ),
    "least busy first": (
        [_engine("a", 5, **OLD), _engine("b", 1, **OLD), _engine("c", **OLD)],
        {},
        [("c", "m"), ("b", "m")],
    ),
    "one is already loading": (
        [_engine("a", 0, "loading", **OLD)]
        + [_engine(n, **OLD) for n in "bcd"],
        {},
        [("b", "m")],
    ),
    "one was ordered just now": (
        [_engine(n, **OLD) for n in "abcd"],
        {"ordered_s": {"a": 99.0}},
        [("b", "m")],
    ),
    "an order is no longer pending": (
        [_engine(n, **OLD) for n in "abcd"],
        {"ordered_s": {"a": 100 - weights.ORDER_PENDING_S}},
        [("a", "m"), ("b", "m")],
    ),
    "an ordered engine is up to date": (
        [_engine("a", **NEW)] + [_engine(n, **OLD) for n in "bcd"],
        {"ordered_s": {"a": 99.0}},
        [("b", "m"), ("c", "m")],
    ),
    "an ordered engine has no report": (
        [(_engine("a", **OLD)[0], None)] + [_engine(n, **OLD) for n in "bcd"],
        {"ordered_s": {"a": 99.0}},
        [("b", "m")],
    ),
    "one of two stays live": (
        [_engine(n, **OLD) for n in "ab"],
        {},
        [("a", "m")],
    ),
    "the last live engine is kept": (
        [_engine("a", 0, "loading", **OLD), _engine("b", **OLD)],
        {},
        [],
    ),
    "the only engine": ([_engine("a", **OLD)], {}, [("a", "m")]),
    "a leaving engine gets no order": (
        [_engine("a", 0, "leaving", **OLD), _engine("b", **NEW)],
        {},
        [],
    ),
    "one model per engine at a time": (
        [_engine("a", m="v1", n="v1"), _engine("b", m="v2", n="v2")],
        {},
        [("a", "m")],
    ),
}


@pytest.mark.parametrize("case", PLANS)
def test_plan_of_weight_orders(case):
    engines, options, expected = PLANS[case]
    assert _plan(engines, **options) == expected


def test_a_repeated_order_has_the_same_id():
    upstream, _ = _engine("a", **OLD)
    order = weights.Order(upstream, "i", "m", "v2")
    again = attrs.evolve(order)
    assert order.order_id == again.order_id == "a.i.m.v2"


def test_lease_time_includes_suspension_of_the_host():
    """A host is suspended while it holds the lease, and another takes over.

    By a clock that stops during the suspension the lease would still be
    valid after the wake-up, and two holders would order loads.
    """
    contender = holder.LeaseHolder(None, "weights", "me")
    assert contender._clock is clock.now_s
    assert abs(clock.now_s() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 60


FAILOVER_S = 3.0
STEP_S = 0.05

#: How the holder fails: share of the failover time after which it runs
#: again.
OUTAGES = {
    "killed, or cut off from the store": float("inf"),
    "paused beyond its validity": 1.7,
    "paused briefly": 0.3,
}


class Watcher(Contender):
    """Observes each write of the lease, and takes it when it may."""

    def __init__(self, store, true_s, name, failover_s):
        super().__init__(store, true_s, name)
        self.holder.timing = decision.timing_for_failover(failover_s)

    async def poll(self):
        stored = await self.holder._store.get(
            holder.KIND, "weights", timeout_s=1.0
        )
        if stored is not None:
            self.holder.observe(stored, self.clock())
        if not self.holder.is_held_by_other(self.clock()):
            await self.reconcile()


@pytest.mark.parametrize("failover_s", [1.0, FAILOVER_S])
@pytest.mark.parametrize("back_share", OUTAGES.values(), ids=OUTAGES.keys())
async def test_failover_within_the_set_time(back_share, failover_s):
    """A holder fails right after a renewal, while callers need new weights.

    The next process has observed that renewal and must hold the lease
    within the failover time.  At no time may both act: a holder that runs
    again must find its lease expired.
    """
    true_s = [100.0]
    store = memory.MemoryObjectStore()
    first, second = (
        Watcher(store, true_s, name, failover_s) for name in ("a", "b")
    )
    await first.poll()
    await second.poll()
    assert first.lease()
    failed_s, taken_after_s = true_s[0], None
    while true_s[0] < failed_s + 3 * failover_s:
        true_s[0] += STEP_S
        if true_s[0] - failed_s >= back_share * failover_s:
            await first.poll()
        await second.poll()
        assert not (first.lease() and second.lease())
        if taken_after_s is None and second.lease():
            taken_after_s = true_s[0] - failed_s
    if back_share < 0.6:
        # The holder ran again before its lease expired, and kept it.
        assert taken_after_s is None
        return
    assert taken_after_s <= failover_s
    assert not second.lease().follows_release


async def test_a_lease_taken_after_a_release_says_so():
    """A holder stops and releases its lease; its last order may be late.

    The next holder takes the lease without waiting, and its lease says
    that an order of the previous holder may still be in flight.
    """
    true_s = [100.0]
    store = memory.MemoryObjectStore()
    first, second = (
        Watcher(store, true_s, name, FAILOVER_S) for name in ("a", "b")
    )
    await first.poll()
    await first.holder.release()
    await second.poll()
    assert second.lease().follows_release


async def test_a_malformed_lease_expires_before_takeover():
    """Another writer overwrites the lease object with a malformed value.

    If the lease were taken at once, two processes could act; if it were
    never taken, no engine would get new weights.  The next fencing number
    must exceed all earlier ones.
    """
    true_s = [100.0]
    store = memory.MemoryObjectStore()
    first, second = (
        Watcher(store, true_s, name, FAILOVER_S) for name in ("a", "b")
    )
    await first.poll()
    fencing = first.lease().fencing
    stored = await store.get(holder.KIND, "weights", timeout_s=1.0)
    await store.update(
        holder.KIND, "weights", {"fencing": "x"}, stored.version, timeout_s=1.0
    )
    while first.lease():
        true_s[0] += STEP_S
        await second.poll()
    while not (first.lease() or second.lease()):
        true_s[0] += STEP_S
        await first.poll()
        await second.poll()
    assert not (first.lease() and second.lease())
    assert (first.lease() or second.lease()).fencing > fencing
    assert true_s[0] - 100.0 <= FAILOVER_S + STEP_S


def test_a_holder_that_cannot_act_releases_the_lease():
    """A router that reaches the store but no engine keeps the lease.

    It would renew the lease and give no orders, while another router that
    reaches all engines waits.  Engines would get no new weights.
    """
    engines_lost_s = 20.0

    async def scenario():
        store = memory.MemoryObjectStore()
        contenders = [
            holder.LeaseHolder(
                store,
                "weights",
                name,
                can_act=lambda name=name: (
                    name == "b" or clock.now_s() < engines_lost_s
                ),
                rng=random.Random(name),
                clock=clock.now_s,
            )
            for name in ("a", "b")
        ]
        tasks = []
        for each in contenders:
            tasks.append(asyncio.ensure_future(each.run()))
            await asyncio.sleep(1.0)
        before = [each.current_lease(clock.now_s()) for each in contenders]
        await asyncio.sleep(engines_lost_s + TAKEOVER_S)
        after = [each.current_lease(clock.now_s()) for each in contenders]
        for task in tasks:
            task.cancel()
        return [[lease is not None for lease in at] for at in (before, after)]

    assert timing.run(scenario) == [[True, False], [False, True]]


async def test_a_holder_does_not_release_anothers_lease():
    """A paused holder runs again, observes the next holder, and stops."""
    store, true_s = memory.MemoryObjectStore(), [100.0]
    first, second, third = (Contender(store, true_s, name) for name in "abc")
    await first.reconcile()
    for contender in (second, third):
        await contender.reconcile()
    true_s[0] += TAKEOVER_S
    await second.reconcile()
    stored = await store.get(holder.KIND, "weights", timeout_s=1)
    first.holder.observe(stored, first.clock())
    await first.holder.release()
    await third.reconcile()
    assert second.lease() and not third.lease()
