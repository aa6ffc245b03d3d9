"""Promise 3: a router that restarts serves at once; real processes."""

import asyncio

import pytest

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

ROUTERS = 7

#: Calls to the store by one starting router until all serve: its watch,
#: looks at the instance list and the lease, with room for a slow machine.
CALLS_EACH = 40


async def answers(fleet, router):
    async def answered():
        status, body = await control.ask(fleet, router)
        return status == 200 and bool(body["choices"])

    await control.until(answered)


@pytest.mark.parametrize("mode", ["ok", "down", "slow"])
async def test_a_restarted_router_serves(mode):
    """It answers requests while the store is up, down or slow.

    A router is killed and started again.  Without the store it gets the
    document from the router that went on.
    """
    plan = fleets.Plan(routers=2)
    async with fleets.running(plan) as fleet:
        await fleet.put_faults("platform", mode=mode, delay_s=30)
        await fleet.routers[1].process.kill()
        router = await control.restart(fleet, 1)
        await answers(fleet, router)


async def test_all_routers_restart_in_a_herd():
    """All seven answer, and the store is not asked more than it bears.

    All are killed and started in one moment, as after a failure of what
    they run on.  There is no peer to ask.
    """
    plan = fleets.Plan(routers=ROUTERS)
    async with fleets.running(plan) as fleet:
        for router in fleet.routers:
            await router.process.kill()
        url = f"{fleet.platform.url}/counts"
        async with fleet.session.get(url) as response:
            before = await response.json()
        routers = await asyncio.gather(
            *(control.restart(fleet, index) for index in range(ROUTERS))
        )
        await asyncio.gather(*(answers(fleet, each) for each in routers))
        async with fleet.session.get(url) as response:
            after = await response.json()
        kinds = ("reads", "writes", "watches")
        calls = sum(after[kind] - before[kind] for kind in kinds)
        assert calls <= ROUTERS * CALLS_EACH
