"""Engines that are deregistered while routers are cut off, in virtual time."""

import asyncio
import functools
import random

import attrs
import pytest

from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import timing

#: Time until all routers know each other and all engines.
SETTLE_S = 6.0

#: Time within which a router with access to the registry must detect that
#: an engine has left, and time of access that it needs for that after an
#: outage.
NOTICE_S = 2.0
CONTACT_S = 3.0

#: Time after an outage of the registry within which engines register again.
RELIST_S = 2.0

#: Interval of the checks which engines the routers would use.
POLL_S = 0.02

SILENT, REFUSES = stores.Way.SILENT, stores.Way.REFUSES


@attrs.frozen
class Case:
    """Which routers lose the store, and how.

    Parameters
    ----------
    routers, cut_count : int
        Number of routers, and of those that are cut off.
    way : stores.Way
        How the store responds to these.
    are_apart : bool
        Whether they cannot reach the other routers either.
    """

    routers: int
    cut_count: int
    way: stores.Way
    are_apart: bool = False


async def start_fleet(case, seed):
    """Start a fleet; return it with the random generator of the test."""
    site = sites.Site(seed, routers=case.routers, engine_count=9)
    site.start()
    await asyncio.sleep(SETTLE_S)
    return site, random.Random(seed)


def set_store_access(site, names, way, apart=()):
    for name in names:
        site.store.treat(name, way)
    site.apart = set(apart)


async def departure(case, seed):
    """Return the routers that use an engine too long after it left."""
    site, rng = await start_fleet(case, seed)
    cut = rng.sample(site.names, case.cut_count)
    set_store_access(site, cut, case.way, cut if case.are_apart else ())
    start_s, cut_s = site.now_s(), rng.uniform(4.0, 12.0)
    healed_s = start_s + cut_s
    engine = rng.choice(list(site.engines.values()))
    # Equally often during the outage and soon after it.
    left_s = rng.choice(
        [start_s + rng.uniform(0.1, cut_s), healed_s + rng.uniform(0.0, 2.0)]
    )
    call_at = asyncio.get_running_loop().call_at
    call_at(healed_s, set_store_access, site, cut, stores.Way.WELL)
    call_at(left_s, site.unlist, engine)
    deadline_s = max(left_s + NOTICE_S, healed_s + CONTACT_S)
    await asyncio.sleep(deadline_s - site.now_s())
    used_by = set()
    while site.now_s() < deadline_s + 5.0:
        used_by |= {
            name for name in site.names if engine.name in site.used_by(name)
        }
        await asyncio.sleep(POLL_S)
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
    """After an outage, a router must not use engines that have left.

    A router that was cut off could mistake that for an outage of the
    registry, in which missing entries stay in use.
    """
    late_users = {
        seed: used_by
        for seed in range(8)
        if (used_by := timing.run(functools.partial(departure, case, seed)))
    }
    assert late_users == {}


async def outage(case, seed):
    """Return the least number of engines that any router would use."""
    site, rng = await start_fleet(case, seed)
    set_store_access(site, site.names, case.way)
    await asyncio.sleep(rng.uniform(8.0, 12.0))
    engines = list(site.engines.values())
    for engine in engines:
        site.unlist(engine)
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    set_store_access(site, site.names, stores.Way.WELL)
    recovered_s = site.now_s()
    call_at = asyncio.get_running_loop().call_at
    for engine in engines:
        call_at(recovered_s + rng.uniform(0.2, RELIST_S), site.relist, engine)
    fewest = len(engines)
    while site.now_s() < recovered_s + 8.0:
        await asyncio.sleep(POLL_S)
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
    """Otherwise expired entries would make routers refuse all requests."""
    assert timing.run(functools.partial(outage, case, seed)) == 9
