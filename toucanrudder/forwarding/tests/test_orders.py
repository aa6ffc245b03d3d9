"""Orders to load weights that some engines do not answer."""

import asyncio
import random

import attrs
import pytest

from toucanrudder import clock
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import orders
from toucanrudder.forwarding import retry_window
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import state as states
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.store import memory
from toucanrudder.testing.virtual import timing

#: Where a fleet must have followed, and how long an engine loads.
BOUND_S = 10.0
LOAD_S = 0.4

#: How often the registry says that nothing has changed.
CONFIRMED_EACH_S = 1.0


@attrs.define
class Engine:
    """An engine that loads what it is ordered to."""

    weights: int = 1
    is_silent: bool = False
    busy_until_s: float = 0.0
    seq: int = 0


class Dialect(loading.OrderDialect):
    """Calls over a link that may be choked."""

    def __init__(self, engines, is_choked=False):
        self.engines = engines
        self.is_choked = is_choked

    async def report(self, upstream, *, timeout_s):
        engine = self.engines.get(upstream.incarnation)
        if engine is None or engine.is_silent or self.is_choked:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(0.01)
        is_busy = clock.now_s() < engine.busy_until_s
        has = engine.weights - is_busy
        return rollout.EngineReport({"m": has}, is_busy, orders=engine.seq)

    async def load(self, task, report, *, timeout_s, **given):
        engine = self.engines[task.upstream.incarnation]
        engine.weights = task.version
        engine.busy_until_s = clock.now_s() + LOAD_S
        engine.seq += 1
        return True


async def _confirms(registry):
    """Let the registry answer, with no change to tell."""
    while True:
        now_s = clock.now_s()
        registry.mark_synced(now_s, now_s + CONFIRMED_EACH_S)
        await asyncio.sleep(CONFIRMED_EACH_S)


class Fleet:
    """Engines, and routers that may give them orders."""

    def __init__(self, engines):
        self.engines = engines
        self.store = memory.MemoryObjectStore()
        self.running = []
        self.routers = 0
        self.states = []

    def router(self, place, known, is_choked=False):
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
        for name in known:
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
            # Peers that are silent hold a round up for this long.
            await asyncio.sleep(0.1)

        controller = orders.RolloutController(
            state,
            Dialect(self.engines, is_choked),
            lease,
            place_in_line=lambda: place,
            avoid=avoid,
        )
        self.running.append(asyncio.ensure_future(controller.run()))
        self.running.append(asyncio.ensure_future(_confirms(state.registry)))

    async def lag_after(self, wait_s, version=2):
        """Return the engines that answer and have older weights."""
        await asyncio.sleep(wait_s)
        for each in self.running:
            each.cancel()
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
def test_silent_engines_leave_room_for_others(count, silent):
    """Engines that answer get new weights in time, whatever others do.

    Of the engines some are silent, without a reset, while new weights are
    named.  No requests run there any more, so they are the least busy and
    go first; each takes a place until a call to it has timed out, and is
    then as good a choice as before.
    """
    names = [f"i{number:02}" for number in range(count)]

    async def day():
        engines = {
            name: Engine(is_silent=place < silent)
            for place, name in enumerate(names)
        }
        fleet = Fleet(engines)
        fleet.router(0, names)
        return await fleet.lag_after(BOUND_S)

    assert timing.run(day) == []


#: What keeps the first in line from doing the work: its list of engines,
#: and its link to them.  The first row does not keep it from letting go.
HINDERED = {
    "its list is empty": ([], False),
    "its list names an engine that is gone instead": (["gone"], False),
    "no engine answers it in time": (["i1"], True),
}


@pytest.mark.parametrize(
    ("known", "is_choked"), HINDERED.values(), ids=HINDERED.keys()
)
def test_work_goes_on_where_the_holder_gets_none_done(known, is_choked):
    """An engine gets its weights from whichever router can give orders.

    The first in line holds the lease and renews it: it believes that work
    is left.  None of its orders succeeds, or the engine is not on its
    list.  The second in line could give the order at any time, and must
    come to its turn although the first one never falls silent.
    """

    async def day():
        fleet = Fleet({"i1": Engine()})
        fleet.router(0, known, is_choked)
        fleet.router(1, ["i1"])
        return await fleet.lag_after(10 * BOUND_S)

    assert timing.run(day) == []


def test_the_next_holder_gets_past_silent_engines():
    """Engines that answer follow although the first holder reached none.

    The first in line gives its turn up.  The next one waits a second for
    what that one may have sent, then asks the engines with the least work
    first: those that are silent.  It must not take them for all engines,
    or one router after the other would give up before it has asked more.
    """
    names = [f"i{number:02}" for number in range(45)]

    async def day():
        engines = {
            name: Engine(is_silent=place < 22)
            for place, name in enumerate(names)
        }
        fleet = Fleet(engines)
        fleet.router(0, names, is_choked=True)
        fleet.router(1, names)
        return await fleet.lag_after(2 * BOUND_S)

    assert timing.run(day) == []


@pytest.mark.parametrize("silent", [1, 15, 22, 30, 40])
@pytest.mark.parametrize("routers", [1, 2, 3])
def test_later_weights_reach_the_engines_that_answer(routers, silent):
    """Engines that answer follow each version, not the first one alone.

    Some engines are silent and stay on the registry's list.  Over them one
    router after the other has given a turn up when the next version is
    named.  If what they have learned is forgotten with the turn, the next
    one begins with the silent engines again and ends as early.
    """
    names = [f"i{number:02}" for number in range(45)]

    async def day():
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
        return await fleet.lag_after(BOUND_S, version)

    assert timing.run(day) == []


def test_a_holder_that_has_given_up_does_not_hold_on_later():
    """An engine that answers follows although a blind router goes first.

    The first in line knows one engine that is gone, and has given a turn up
    over it.  When the others are done it takes the lease again, for the
    same work, and holds on.  Then an engine starts on old weights that all
    others know of, and none of them may give it an order.
    """

    async def day():
        fleet = Fleet({"i1": Engine()})
        fleet.router(0, ["gone"])
        fleet.router(1, ["i1"])
        await asyncio.sleep(2 * BOUND_S)
        fleet.engines["i2"] = Engine()
        entry = model.Upstream("i2", "s", "i2:80", weights={"m": 1})
        fleet.states[1].registry.put(entry)
        return await fleet.lag_after(2 * BOUND_S)

    assert timing.run(day) == []
