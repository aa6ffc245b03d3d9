"""Leases in a store that is restored from an older copy, in virtual time."""

import asyncio
import contextlib
import functools
import random

import pytest

from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.store import interface
from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import timing

NAMES = ("a", "b", "c", "d")
LEASE = "orders"
TIMING = decision.timing_for_failover(3.0)
RUN_S = 40.0
CHECK_INTERVAL_S = 0.01

STORE_ERRORS = (
    interface.ConditionFailed,
    interface.StoreUnavailable,
    interface.OutcomeUnknown,
)


class Scenario:
    """Processes that compete for one lease, and events of the store."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = stores.Store(random.Random(seed))
        self.now_s = asyncio.get_running_loop().time
        self.holders = {
            name: holder.LeaseHolder(
                stores.Client(self.store, name, self.now_s),
                LEASE,
                name,
                clock=self.now_s,
                timing=TIMING,
                timeout_s=0.5,
            )
            for name in NAMES
        }
        self.copies = [self.store.copied()]

    async def contend(self, contender):
        """Reconcile the lease repeatedly, and release it now and then."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            with contextlib.suppress(*STORE_ERRORS):
                if self.rng.random() < 0.1:
                    await contender.release()
                else:
                    await contender.reconcile()

    async def write_other_objects(self):
        """Increase the revision of the store, and take copies of it."""
        while True:
            await asyncio.sleep(self.rng.expovariate(4.0))
            self.store.put("other", "object", self.rng.random())
            self.copies.append(self.store.copied())

    async def restore(self):
        """Restore the store from a copy some seconds old, after an outage."""
        while True:
            await asyncio.sleep(self.rng.uniform(5.0, 12.0))
            for name in NAMES:
                self.store.treat(name, stores.Way.REFUSES)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            self.store.go_back(self.rng.choice(self.copies[-30:]))
            self.copies = [self.store.copied()]
            for name in NAMES:
                self.store.treat(name, stores.Way.WELL)

    async def violations(self):
        """Return the violated rules, and the number of fencing numbers."""
        violated, holder_of = set(), {}
        while self.now_s() < RUN_S:
            await asyncio.sleep(CHECK_INTERVAL_S)
            held = {
                name: lease.fencing
                for name, each in self.holders.items()
                if (lease := each.current_lease(self.now_s()))
            }
            if len(held) > 1:
                violated.add("two holders at once")
            for name, fencing in held.items():
                if holder_of.setdefault(fencing, name) != name:
                    violated.add("a fencing number is issued twice")
        return violated, len(holder_of)

    async def run(self, disturbances):
        tasks = [
            asyncio.ensure_future(each)
            for each in (
                *(self.contend(each) for each in self.holders.values()),
                *(disturb(self) for disturb in disturbances),
            )
        ]
        try:
            return await self.violations()
        finally:
            for task in tasks:
                task.cancel()


async def run_scenario(seed, disturbances):
    return await Scenario(seed).run(disturbances)


@pytest.mark.parametrize(
    "disturbances",
    [
        pytest.param((Scenario.write_other_objects,), id="calm"),
        pytest.param(
            (Scenario.write_other_objects, Scenario.restore), id="restored"
        ),
    ],
)
def test_one_holder_at_a_time_after_a_restore(disturbances):
    """After a restore two processes hold one lease, or one fencing number."""
    violated_by_seed = {}
    for seed in range(40):
        scenario = functools.partial(run_scenario, seed, disturbances)
        violated, fencing_numbers = timing.run(scenario)
        assert fencing_numbers
        if violated:
            violated_by_seed[seed] = violated
    assert violated_by_seed == {}
