"""Engines whose entries go while routers are cut off, on virtual time."""

import asyncio
import functools
import random

import attrs
import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import timing

#: Until all routers know each other and all engines.
SETTLE_S = 6.0

#: Within which a router that reaches the registry must have noticed that
#: an engine leaves, and for how long it must have reached it before.
NOTICE_S = 2.0
CONTACT_S = 3.0

#: After the registry's return within which engines register again.
RELIST_S = 2.0

#: Between two looks at whom routers would send to.
LOOK_S = 0.02

SILENT, REFUSES = stores.Way.SILENT, stores.Way.REFUSES


@attrs.frozen
class Case:
    """Which routers lose the store, and how.

    Parameters
    ----------
    routers, cut : int
        How many there are, and how many of them are cut off.
    way : stores.Way
        How the store treats these.
    are_apart : bool
        Whether they reach no other router either.
    """

    routers: int
    cut: int
    way: stores.Way
    are_apart: bool = False


async def started(case, seed):
    """Start a fleet in which requests change nothing in the registry."""
    site = sites.Site(seed, routers=case.routers, engine_count=9)
    site.start()
    await asyncio.sleep(SETTLE_S)
    return site, random.Random(seed)


def treat(site, names, way, apart=()):
    for each in names:
        site.store.treat(each, way)
    site.apart = set(apart)


async def departure(case, seed):
    """Return who would send to an engine for too long after it left."""
    site, rng = await started(case, seed)
    cut = rng.sample(site.names, case.cut)
    treat(site, cut, case.way, cut if case.are_apart else ())
    begun_s, cut_s = site.now_s(), rng.uniform(4.0, 12.0)
    healed_s = begun_s + cut_s
    engine = rng.choice(list(site.engines.values()))
    # During the cut or soon after it, as often.
    gone_s = rng.choice(
        [begun_s + rng.uniform(0.1, cut_s), healed_s + rng.uniform(0.0, 2.0)]
    )
    at = asyncio.get_running_loop().call_at
    at(healed_s, treat, site, cut, stores.Way.WELL)
    at(gone_s, site.unlist, engine)
    late_s = max(gone_s + NOTICE_S, healed_s + CONTACT_S)
    await asyncio.sleep(late_s - site.now_s())
    used_by = set()
    while site.now_s() < late_s + 5.0:
        used_by |= {
            name for name in site.names if engine.name in site.used_by(name)
        }
        await asyncio.sleep(LOOK_S)
    return used_by


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(8, 1, SILENT), id="one-silent"),
        pytest.param(Case(8, 1, REFUSES), id="one-refused"),
        pytest.param(Case(8, 1, SILENT, are_apart=True), id="one-apart"),
        pytest.param(Case(8, 3, SILENT), id="three-silent"),
        pytest.param(Case(30, 3, SILENT, are_apart=True), id="three-of-30"),
    ],
)
def test_a_router_outage_keeps_no_departed_engine(case):
    """A router back from an outage of its own sends to one that has left."""
    late = {
        seed: used_by
        for seed in range(8)
        if (used_by := timing.run(functools.partial(departure, case, seed)))
    }
    assert late == {}


async def outage(case, seed):
    """Return the fewest engines that a router would send to."""
    site, rng = await started(case, seed)
    treat(site, site.names, case.way)
    await asyncio.sleep(rng.uniform(8.0, 12.0))
    engines = list(site.engines.values())
    for each in engines:
        site.unlist(each)
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    treat(site, site.names, stores.Way.WELL)
    back_s = site.now_s()
    at = asyncio.get_running_loop().call_at
    for each in engines:
        at(back_s + rng.uniform(0.2, RELIST_S), site.relist, each)
    fewest = len(engines)
    while site.now_s() < back_s + 8.0:
        await asyncio.sleep(LOOK_S)
        fewest = min(fewest, *(len(site.used_by(name)) for name in site.names))
    return fewest


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(8, 8, SILENT), id="all-silent"),
        pytest.param(Case(8, 8, REFUSES), id="all-refused"),
        pytest.param(Case(30, 30, SILENT), id="all-of-30"),
    ],
)
@pytest.mark.parametrize("seed", range(6))
def test_a_registry_outage_drops_no_live_engine(case, seed):
    """Entries that ran out in an outage make routers refuse all requests."""
    assert timing.run(functools.partial(outage, case, seed)) == 9
