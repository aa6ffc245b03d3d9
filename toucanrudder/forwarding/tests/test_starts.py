"""Store load of a fleet whose routers all start at once."""

import asyncio
import collections

import attrs
import pytest

from toucanrudder.forwarding import orders
from toucanrudder.forwarding import store_watch
from toucanrudder.leases import holder
from toucanrudder.observability import decisions
from toucanrudder.store import fanout
from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import timing

ENGINES = 20

#: Time until the routers know each other and have divided the duties.
STARTED_S = 4.0

#: Store calls of each router by then: a listing of the configuration, the
#: registry, the weights and the lease, a watch of the configuration, and a
#: call for changes that the registry's readers do not have.
MAX_CALLS_PER_ROUTER = 6

#: Routers with a duty for the whole fleet, each with a call per second.
DUTY_ROUTERS = (
    fanout.READERS + store_watch.WEIGHTS_WATCHERS + orders.LEASE_WATCHERS
)


@attrs.define(eq=False)
class Calls:
    """Number of calls by router, for each method and kind."""

    by_call: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )

    @property
    def count(self):
        return sum(counts.total() for counts in self.by_call.values())


@pytest.fixture
def calls(monkeypatch):
    recorded = Calls()

    def count_calls(method):
        original = getattr(stores.Client, method)

        async def call(self, kind, *args, **kwargs):
            recorded.by_call[method, kind][self._router] += 1
            return await original(self, kind, *args, **kwargs)

        monkeypatch.setattr(stores.Client, method, call)

    for method in ("snapshot", "changes", "get"):
        count_calls(method)
    return recorded


@pytest.mark.parametrize("routers", [16, 60])
def test_a_starting_fleet_loads_the_store_no_more_than_a_running_one(
    routers, calls, monkeypatch
):
    """Otherwise reads of the configuration queue behind unneeded calls.

    When all routers start at once, none knows any peer, and each takes
    itself for the first in the order of takeover.  Then all of them would
    list and watch what a few should watch for the rest, and use up the
    store's rate limit.
    """

    log_records = []
    monkeypatch.setattr(decisions, "record", log_records.append)

    async def main():
        site = sites.Site(3, routers=routers, engine_count=ENGINES)
        with sites.unpacked():
            site.start()
            await asyncio.sleep(STARTED_S)
        return site.astray(), [
            node.daemon.state.newest_weights["m"].version
            for node in site.nodes.values()
        ]

    inconsistent_routers, weights = timing.run(main)
    assert not inconsistent_routers
    # Each router has read the weights itself, as no peer knew them.
    assert weights == [1] * routers
    by_call = calls.by_call
    # Each reads the lease once, so that its age is known after a failover.
    assert by_call["snapshot", holder.KIND].total() == routers
    assert len(by_call["changes", holder.KIND]) <= orders.LEASE_WATCHERS
    watched = by_call["changes", sites.WEIGHTS]
    assert len(watched) <= store_watch.WEIGHTS_WATCHERS
    assert (
        calls.count
        <= MAX_CALLS_PER_ROUTER * routers + DUTY_ROUTERS * STARTED_S
    )
    # Each duty is taken once and never given up.
    duties = collections.Counter(
        record.duty
        for record in log_records
        if isinstance(record, decisions.DutyChanged)
    )
    assert duties == {
        "registry": fanout.READERS,
        "weights": store_watch.WEIGHTS_WATCHERS,
        "lease": orders.LEASE_WATCHERS,
    }
