"""What a fleet that starts as a whole asks of the store."""

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

#: Until the routers know each other and do what is theirs.
STARTED_S = 4.0

#: Calls of each router by then: a list of the configuration, the registry,
#: the weights and the lease, a watch of the first, and a question for what
#: the registry's readers do not remember.
MOST_CALLS = 6

#: Routers that do a part for all, each with a call a second for it.
FEW = fanout.READERS + store_watch.WEIGHTS_WATCHERS + orders.LEASE_WATCHERS


@attrs.define(eq=False)
class Calls:
    """Routers that made each call, by its verb and kind."""

    by_call: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )

    @property
    def count(self):
        return sum(made.total() for made in self.by_call.values())


@pytest.fixture
def calls(monkeypatch):
    noted = Calls()

    def counted(verb):
        make = getattr(stores.Client, verb)

        async def call(self, kind, *args, **kwargs):
            noted.by_call[verb, kind][self._router] += 1
            return await make(self, kind, *args, **kwargs)

        monkeypatch.setattr(stores.Client, verb, call)

    for verb in ("snapshot", "changes", "get"):
        counted(verb)
    return noted


@pytest.mark.parametrize("routers", [16, 60])
def test_a_starting_fleet_loads_the_store_no_more_than_a_running_one(
    routers, calls, monkeypatch
):
    """Callers wait for the configuration behind calls that nobody needs.

    All routers start at once, each knows nobody and takes itself for the
    first in line.  So all of them list and watch what a few are to follow
    for the rest, and the store's rate is used up when it is needed most.
    """

    lines = []
    monkeypatch.setattr(decisions, "record", lines.append)

    async def main():
        site = sites.Site(3, routers=routers, engine_count=ENGINES)
        with sites.unpacked():
            site.start()
            await asyncio.sleep(STARTED_S)
        return site.astray(), [
            node.daemon.state.newest_weights["m"].version
            for node in site.nodes.values()
        ]

    astray, weights = timing.run(main)
    assert not astray
    # Each has read the weights itself: nobody could have told it.
    assert weights == [1] * routers
    by_call = calls.by_call
    # The first in line may have just started, and counts from its look on.
    assert by_call["snapshot", holder.KIND].total() == routers
    assert len(by_call["changes", holder.KIND]) <= orders.LEASE_WATCHERS
    watched = by_call["changes", sites.WEIGHTS]
    assert len(watched) <= store_watch.WEIGHTS_WATCHERS
    assert calls.count <= MOST_CALLS * routers + FEW * STARTED_S
    # Each duty is taken up once, and none is given back.
    duties = collections.Counter(
        line.duty for line in lines if isinstance(line, decisions.DutyChanged)
    )
    assert duties == {
        "registry": fanout.READERS,
        "weights": store_watch.WEIGHTS_WATCHERS,
        "lease": orders.LEASE_WATCHERS,
    }
