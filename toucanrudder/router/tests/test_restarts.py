"""Promise 3: a restarted router serves at once; real processes."""

import asyncio

import pytest

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

ROUTERS = 7

#: Limit of store calls by one starting router until all serve: its watch
#: and reads of the instance list and the lease, with room for a slow machine.
MAX_CALLS_PER_ROUTER = 40


async def wait_until_serving(fleet, router):
    async def is_serving():
        status, body = await control.ask(fleet, router)
        return status == 200 and bool(body["choices"])

    await control.until(is_serving)


@pytest.mark.parametrize("mode", ["ok", "down", "slow"])
async def test_a_restarted_router_serves(mode):
    """A restarted router answers while the store is up, down or slow.

    A router is killed and started again.  Without the store it gets the
    document from the router that kept running.
    """
    plan = fleets.Plan(routers=2)
    async with fleets.running(plan) as fleet:
        await fleet.put_faults("platform", mode=mode, delay_s=30)
        await fleet.routers[1].process.kill()
        router = await control.restart(fleet, 1)
        await wait_until_serving(fleet, router)


async def test_simultaneous_restarts_do_not_overload_the_store():
    """All seven routers serve again with a bounded number of store calls.

    All are killed and started at once, as after a failure of their hosts,
    so that no router can get the document from a peer.
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
        await asyncio.gather(
            *(wait_until_serving(fleet, router) for router in routers)
        )
        async with fleet.session.get(url) as response:
            after = await response.json()
        kinds = ("reads", "writes", "watches")
        calls = sum(after[kind] - before[kind] for kind in kinds)
        assert calls <= ROUTERS * MAX_CALLS_PER_ROUTER
