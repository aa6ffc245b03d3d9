"""Leases in a store that comes back from an older copy, on virtual time."""

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
TERMS = decision.timing_for_failover(3.0)
DAY_S = 40.0
LOOK_S = 0.01

FAILED = (
    interface.ConditionFailed,
    interface.StoreUnavailable,
    interface.OutcomeUnknown,
)


class Day:
    """Processes that want one lease, and what happens to the store."""

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
                timing=TERMS,
                timeout_s=0.5,
            )
            for name in NAMES
        }
        self.copies = [self.store.copied()]

    async def contend(self, found):
        """Look at the lease, again and again, and give it up now and then."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 0.9))
            with contextlib.suppress(*FAILED):
                if self.rng.random() < 0.1:
                    await found.release()
                else:
                    await found.reconcile()

    async def other_writes(self):
        """Let revisions rise, and copy the store."""
        while True:
            await asyncio.sleep(self.rng.expovariate(4.0))
            self.store.put("other", "object", self.rng.random())
            self.copies.append(self.store.copied())

    async def restore(self):
        """Come back from a copy some seconds old, after a short outage."""
        while True:
            await asyncio.sleep(self.rng.uniform(5.0, 12.0))
            for name in NAMES:
                self.store.treat(name, stores.Way.REFUSES)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            self.store.go_back(self.rng.choice(self.copies[-30:]))
            self.copies = [self.store.copied()]
            for name in NAMES:
                self.store.treat(name, stores.Way.WELL)

    async def judged(self):
        """Return what was broken, by rule."""
        broken, given = set(), {}
        while self.now_s() < DAY_S:
            await asyncio.sleep(LOOK_S)
            held = {
                name: lease.fencing
                for name, each in self.holders.items()
                if (lease := each.current_lease(self.now_s()))
            }
            if len(held) > 1:
                broken.add("two hold it")
            for name, fencing in held.items():
                if given.setdefault(fencing, name) != name:
                    broken.add("a number is given out twice")
        return broken, len(given)

    async def run(self, disturbed_by):
        doing = [
            asyncio.ensure_future(each)
            for each in (
                *(self.contend(each) for each in self.holders.values()),
                *(each(self) for each in disturbed_by),
            )
        ]
        try:
            return await self.judged()
        finally:
            for each in doing:
                each.cancel()


async def lived(seed, disturbed_by):
    return await Day(seed).run(disturbed_by)


@pytest.mark.parametrize(
    "disturbed_by",
    [
        pytest.param((Day.other_writes,), id="calm"),
        pytest.param((Day.other_writes, Day.restore), id="restored"),
    ],
)
def test_one_holder_at_a_time_in_a_store_that_comes_back_older(disturbed_by):
    """Two processes hold one lease, or one fencing number, after a restore."""
    broken = {}
    for seed in range(40):
        day = functools.partial(lived, seed, disturbed_by)
        found, numbers = timing.run(day)
        assert numbers
        if found:
            broken[seed] = found
    assert broken == {}
