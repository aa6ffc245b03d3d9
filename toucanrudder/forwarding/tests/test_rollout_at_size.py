"""New weights on 45 engines behind 82 routers, under failures."""

import asyncio
import random

import attrs
import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import timing

#: Time until all routers know each other.
SETTLE_S = 5.0

#: Time within which all engines must have new weights, relative to the bound
#: for requests: on the largest site 14 s, with a bound of 10 s.
ALL_ENGINES_FACTOR = 1.4

#: Requests per second over all engines; half of their capacity.
REQUESTS_PER_S = 150.0

#: Interval between two checks for lagging engines.
CHECK_INTERVAL_S = 0.5


@attrs.define(eq=False)
class Scenario:
    """A site, the failures that are injected and the lagging engines."""

    site: sites.Site
    rng: random.Random
    late: set[str] = attrs.field(factory=set)

    async def watch(self) -> None:
        """Collect the engines that lag for too long."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for version in self.site.named_at_s:
                self.late.update(
                    self.site.lagging(
                        version, ALL_ENGINES_FACTOR * self.site.bound_s
                    )
                )

    def some_engines(self, share):
        """Draw some of the engines that answer."""
        engines = [
            engine
            for engine in self.site.engines.values()
            if not engine.is_dark
        ]
        return self.rng.sample(engines, round(share * len(engines)))

    async def down(self, engines, for_s):
        """Make engines silent for a while, then restart them."""
        for engine in engines:
            engine.fall_dark()
        await asyncio.sleep(for_s)
        for engine in engines:
            engine.come_back()

    async def flap(self, engines, times, gap_s):
        """Make engines go down and up repeatedly."""
        for _ in range(times):
            await self.down(engines, gap_s / 2)
            await asyncio.sleep(gap_s / 2)

    async def kill(self, share, for_s):
        """Kill many routers at once, the holder included; restart them."""
        names = self.site.names
        count = round(share * len(names))
        killed = [names[0], *self.rng.sample(names[1:], count - 1)]
        for router in killed:
            self.site.kill_router(router)
        await asyncio.sleep(for_s)
        for router in killed:
            self.site.start_router(router)

    async def name_in_series(self, last, gap_s):
        """Name one version after the other."""
        for version in range(2, last + 1):
            self.site.name_weights(version)
            await asyncio.sleep(gap_s)


async def silent_and_back(scenario):
    """A quarter of the engines is silent from before new weights are named.

    Guards against a router that stops following the registry and keeps the
    lease.  The router that gives orders tells its peers of each engine, so
    many calls that the channel with its own request for changes is closed
    as the oldest.  This cancelled the request and with it the task that
    follows the registry: the silent engines stayed listed, so the router
    kept the lease and nobody else gave orders.  Restarted engines kept
    their old weights, and long prompts failed.

    In such a run that task is the only one that ends (`ControllerEnded`),
    1.2 s after the lease was taken; the lease does not change hands again;
    `OrderMissed` names only earlier starts, with a list that is 27 s old at
    the end.  This came about with five of six seeds; with the sixth the
    silent engines had left the list before the task ended.  All engines
    load the weights if no channel is closed during a call.
    """
    down = asyncio.ensure_future(
        scenario.down(scenario.some_engines(0.25), 14.0)
    )
    await asyncio.sleep(0.5)
    scenario.site.name_weights(2)
    await asyncio.sleep(7.0)
    scenario.site.store.forget_history()
    await down


async def series_and_crashes(scenario):
    """Versions are named in series while engines crash and flap."""
    named = asyncio.ensure_future(scenario.name_in_series(5, 4.0))
    flapping = asyncio.ensure_future(
        scenario.flap(scenario.some_engines(0.1), times=6, gap_s=1.4)
    )
    for _ in range(3):
        await scenario.down(scenario.some_engines(0.3), 1.0)
        await asyncio.sleep(2.5)
    await asyncio.gather(named, flapping)


async def many_killed(scenario):
    """More than half of the routers die while orders are in progress."""
    scenario.site.name_weights(2)
    await asyncio.sleep(1.5)
    await scenario.kill(0.55, 2.0)
    scenario.site.name_weights(3)
    await asyncio.sleep(1.0)
    await scenario.kill(0.2, 0.3)


async def orders_late(scenario):
    """A third of the orders gets no answer and is carried out late."""
    for engine in scenario.site.engines.values():
        engine.late_share = 0.35
    scenario.site.name_weights(2)
    await asyncio.sleep(5.5)
    for engine in scenario.site.engines.values():
        engine.late_share = 0.0


async def holder_out_of_reach(scenario):
    """The first router in line gets no answer from any engine in time."""
    scenario.site.choked.add(scenario.site.names[0])
    scenario.site.name_weights(2)
    await asyncio.sleep(1.0)


async def reports_refused(scenario):
    """Overloaded engines refuse most new connections."""
    for engine in scenario.some_engines(0.5):
        engine.refused_share = 0.7
    scenario.site.name_weights(2)
    await asyncio.sleep(1.0)


async def loaders_go_down(scenario):
    """Engines go down while they carry out their orders."""
    scenario.site.name_weights(2)
    await asyncio.sleep(1.0)
    for _ in range(3):
        loading = [
            engine
            for engine in scenario.site.engines.values()
            if engine.is_loading
        ]
        await scenario.down(loading, 3.0)


SCENARIOS = (
    loaders_go_down,
    silent_and_back,
    series_and_crashes,
    many_killed,
    orders_late,
    holder_out_of_reach,
    reports_refused,
)


def run_scenario(disturb, seed) -> tuple[set[str], list[str]]:
    """Return the engines that lagged too long, and `Site.astray`."""

    async def main():
        site = sites.Site(seed, requests_per_s=REQUESTS_PER_S)
        scenario = Scenario(site, random.Random(seed))
        site.start()
        await asyncio.sleep(SETTLE_S)
        watching = asyncio.ensure_future(scenario.watch())
        await disturb(scenario)
        await asyncio.sleep(
            ALL_ENGINES_FACTOR * site.bound_s + CHECK_INTERVAL_S
        )
        watching.cancel()
        return scenario.late, site.astray()

    with sites.unpacked():
        return timing.run(main)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "disturb", SCENARIOS, ids=lambda disturb: disturb.__name__
)
def test_all_engines_load_weights_in_time(disturb, seed):
    """All engines get new weights in time under each kind of failure.

    New weights are named while engines fall silent and restart, many
    routers die at once, or orders are lost.  Engines would keep their old
    weights, and long prompts fail, although each engine answers and most
    routers know it, but not the one that gives the orders.
    """
    late, astray = run_scenario(disturb, seed)
    assert (late, astray) == (set(), [])
