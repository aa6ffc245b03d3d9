"""Orders to load weights where some engines do not answer."""

import asyncio
import random

import attrs
import pytest

from toucanrudder import clock
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import orders
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.store import memory
from toucanrudder.testing.virtual import timing

#: Time within which a fleet must have new weights, and the time of a load.
BOUND_S = 10.0
LOAD_S = 0.4

#: Interval of the registry's answers without changes.
SYNC_INTERVAL_S = 1.0


@attrs.define
class Engine:
    """An engine that loads the weights that it is ordered to."""

    weights: int = 1
    is_silent: bool = False
    busy_until_s: float = 0.0
    seq: int = 0


class Dialect(loading.OrderDialect):
    """Calls over a link that may drop everything."""

    def __init__(self, engines, is_blocked=False):
        self.engines = engines
        self.is_blocked = is_blocked

    async def ask_report(self, upstream, *, timeout_s):
        engine = self.engines.get(upstream.incarnation)
        if engine is None or engine.is_silent or self.is_blocked:
            await asyncio.sleep(timeout_s)
            return rollout.ReportReply.of(None)
        await asyncio.sleep(0.01)
        is_busy = clock.now_s() < engine.busy_until_s
        version = engine.weights - is_busy
        return rollout.ReportReply.of(
            rollout.EngineReport({"m": version}, is_busy, orders=engine.seq)
        )

    async def load(self, task, report, *, timeout_s, **given):
        engine = self.engines[task.upstream.incarnation]
        engine.weights = task.version
        engine.busy_until_s = clock.now_s() + LOAD_S
        engine.seq += 1
        return True


async def _sync(registry):
    """Let the registry answer without changes."""
    while True:
        now_s = clock.now_s()
        registry.mark_synced(now_s, now_s + SYNC_INTERVAL_S)
        await asyncio.sleep(SYNC_INTERVAL_S)


class Fleet:
    """Engines and the routers that may order them."""

    def __init__(self, engines):
        self.engines = engines
        self.store = memory.MemoryObjectStore()
        self.running = []
        self.routers = 0
        self.states = []

    def router(self, place, listed, is_blocked=False):
        rng = random.Random(place)
        self.routers += 1
        state = states.ForwardingState(
            f"r{place}",
            "",
            rng,
            retry_window.RetryBounds(),
            live_routers=lambda: self.routers,
        )
        service = model.Service("s", model.Engine(64, 100_000))
        state.offer(model.Configuration(1, services={"s": service}))
        for name in listed:
            entry = model.Upstream(name, "s", f"{name}:80", weights={"m": 1})
            state.registry.put(entry)
        state.record_weights_version("m", 2, clock.now_s())
        self.states.append(state)
        lease = holder.LeaseHolder(
            self.store,
            orders.LEASE_NAME,
            state.name,
            rng=rng,
            clock=clock.now_s,
            timing=decision.timing_for_failover(3.0),
        )

        async def avoid(incarnation, for_s):
            # Silent peers delay the call for this long.
            await asyncio.sleep(0.1)

        controller = orders.RolloutController(
            state,
            Dialect(self.engines, is_blocked),
            lease,
            takeover_rank=lambda: place,
            avoid=avoid,
        )
        self.running.append(asyncio.ensure_future(controller.run()))
        self.running.append(asyncio.ensure_future(_sync(state.registry)))

    async def lagging_after(self, wait_s, version=2):
        """Stop after a while; return answering engines with older weights."""
        await asyncio.sleep(wait_s)
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
        return sorted(
            name
            for name, engine in self.engines.items()
            if engine.weights < version and not engine.is_silent
        )


@pytest.mark.parametrize(
    ("count", "silent"),
    [(45, 0), (45, 4), (45, 9), (45, 11), (45, 15), (45, 22), (2, 1), (3, 1)],
)
def test_silent_engines_do_not_block_others(count, silent):
    """Engines that answer get new weights in time.

    Some engines are silent, without a connection reset, while new weights
    are named.  They run no requests, so as the least busy they are ordered
    first; each holds a load slot until a call has timed out and would then
    be chosen again.
    """
    names = [f"i{number:02}" for number in range(count)]

    async def scenario():
        engines = {
            name: Engine(is_silent=place < silent)
            for place, name in enumerate(names)
        }
        fleet = Fleet(engines)
        fleet.router(0, names)
        return await fleet.lagging_after(BOUND_S)

    assert timing.run(scenario) == []


#: What keeps the first in line from ordering the engine: its list of engines
#: and whether its link to them is blocked.  With the empty list it sees no
#: outstanding loads and does not hold the lease.
BLOCKED = {
    "its list is empty": ([], False),
    "its list names an engine that is gone instead": (["gone"], False),
    "no engine answers it in time": (["i1"], True),
}


@pytest.mark.parametrize(
    ("listed", "is_blocked"), BLOCKED.values(), ids=BLOCKED.keys()
)
def test_the_next_router_takes_over_from_a_holder_without_progress(
    listed, is_blocked
):
    """Engines get their weights from any router that can order them.

    The first in line holds and renews the lease, as it believes that loads
    are outstanding.  None of its orders succeeds, or the engine is not on
    its list.  The second in line could order the engine at any time and
    must get its turn although the first one is alive.
    """

    async def scenario():
        fleet = Fleet({"i1": Engine()})
        fleet.router(0, listed, is_blocked)
        fleet.router(1, ["i1"])
        return await fleet.lagging_after(10 * BOUND_S)

    assert timing.run(scenario) == []


def test_the_next_holder_orders_engines_beside_silent_ones():
    """Engines that answer get weights although the first holder reached none.

    The first in line ends its turn.  The next one waits a second for the
    first one's orders in flight, then asks the least busy engines first:
    the silent ones.  It must not conclude that all engines are silent, or
    one router after the other would end its turn without asking more.
    """
    names = [f"i{number:02}" for number in range(45)]

    async def scenario():
        engines = {
            name: Engine(is_silent=place < 22)
            for place, name in enumerate(names)
        }
        fleet = Fleet(engines)
        fleet.router(0, names, is_blocked=True)
        fleet.router(1, names)
        return await fleet.lagging_after(2 * BOUND_S)

    assert timing.run(scenario) == []


@pytest.mark.parametrize("silent", [1, 15, 22, 30, 40])
@pytest.mark.parametrize("routers", [1, 2, 3])
def test_engines_that_answer_load_each_version(routers, silent):
    """Engines that answer get each version, not only the first one.

    Some engines are silent and stay registered.  Because of them one router
    after the other has ended a turn when the next version is named.  If
    their answers are forgotten with the turn, the next turn begins with the
    silent engines again and ends as early.
    """
    names = [f"i{number:02}" for number in range(45)]

    async def scenario():
        engines = {
            name: Engine(is_silent=place < silent)
            for place, name in enumerate(names)
        }
        fleet = Fleet(engines)
        for place in range(routers):
            fleet.router(place, names)
        for version in (3, 4):
            await asyncio.sleep(BOUND_S)
            for state in fleet.states:
                state.record_weights_version("m", version, clock.now_s())
        return await fleet.lagging_after(BOUND_S, version)

    assert timing.run(scenario) == []


def test_a_holder_without_progress_does_not_keep_the_lease_later():
    """An engine gets weights although the first router cannot reach any.

    The first in line knows only an engine that is gone, and has ended a
    turn because of it.  When the others are done, it takes the lease again
    for the same load and keeps it.  Then an engine starts on old weights;
    all other routers know it, and none of them may order it.
    """

    async def scenario():
        fleet = Fleet({"i1": Engine()})
        fleet.router(0, ["gone"])
        fleet.router(1, ["i1"])
        await asyncio.sleep(2 * BOUND_S)
        fleet.engines["i2"] = Engine()
        entry = model.Upstream("i2", "s", "i2:80", weights={"m": 1})
        fleet.states[1].registry.put(entry)
        return await fleet.lagging_after(2 * BOUND_S)

    assert timing.run(scenario) == []
