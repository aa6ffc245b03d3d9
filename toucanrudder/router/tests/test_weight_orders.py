"""Weight orders under a lease, at engines with and without fencing checks."""

import contextlib
import os
import signal

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import processes
from toucanrudder.testing import proxy as proxies

FENCED, UNFENCED = "engine-0", "engine-1"


def with_weights(fleet, version):
    document = fleet.document()
    models = [{"name": fleets.MODEL, "weights_version": version}]
    upstreams = [
        upstream | {"checks_fencing": upstream["name"] == FENCED}
        for upstream in document["upstreams"]
    ]
    policy = {"weight_loads_at_once": 1}
    return document | {
        "models": models,
        "upstreams": upstreams,
        "policy": policy,
    }


async def holder_of(fleet):
    value = await control.stored(fleet, "leases", "weights")
    name = value["holder"].split(".")[0] if value else ""
    return next((r for r in fleet.routers if r.name == name), None)


async def loaded_versions(fleet):
    versions = set()
    for process in fleet.upstreams.values():
        async with fleet.session.get(f"{process.url}/load") as response:
            versions.add((await response.json())["models"][fleets.MODEL])
    return versions


async def wait_for_version(fleet, version):
    async def is_loaded():
        return await loaded_versions(fleet) == {version}

    await control.until(is_loaded)


async def orders(fleet, name):
    return (await fleet.journal(name))["orders"]


class IsolatableRouters:
    """Two routers that reach the store and each other through proxies."""

    def __init__(self):
        self.store_proxies, self.peer_proxies = {}, {}

    async def start(self, fleet, stack):
        paths = [
            await stack.enter_async_context(proxies.proxied(address))
            for address in (fleet.platform.address, "") * 2
        ]
        for store, peer, other in ((*paths[:2], paths[3]), (*paths[2:], "")):
            router = await control.start_router(
                fleet,
                store={"address": store.address},
                peers={"advertise": peer.address},
                router={"peer_seeds": other and other.address},
            )
            peer.target = router.process.ready["peer_address"]
            self.store_proxies[router.name] = store
            self.peer_proxies[router.name] = peer

    def cut_off(self, router):
        for path in (
            self.store_proxies[router.name],
            *self.peer_proxies.values(),
        ):
            path.refusing = True
            path.cut()

    def heal(self):
        for path in (
            *self.store_proxies.values(),
            *self.peer_proxies.values(),
        ):
            path.refusing = False


async def wait_for_failed_watches(operator, times):
    """Wait until the router's watch has failed at least `times` times."""
    name = 'configuration_events_total{event="watch_StoreUnavailable"'

    async def has_failed():
        for line in (await operator.metrics()).splitlines():
            if name in line:
                return float(line.split()[-1]) >= times
        return False

    await control.until(has_failed)


async def test_a_paused_holder_and_the_next_one():
    """Both engines end with the weights of the document in force.

    The lease holder is paused and cut off.  After its term another router
    takes over and orders newer weights.  The first resumes with the older
    document and sees different weights at the engines.  Only one of the
    engines would refuse an order with its outdated fencing number.
    """
    plan = fleets.Plan(engines=1, routers=0)
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(fleets.running(plan))
        plan.engine_options = {"checks_fencing": False}
        await fleet.start_upstream("engine", UNFENCED)
        isolatable = IsolatableRouters()
        await isolatable.start(fleet, stack)

        async def held():
            return await holder_of(fleet) is not None

        await control.until(held)
        first = await holder_of(fleet)
        (other,) = [r for r in fleet.routers if r is not first]
        operator = control.Operator(fleet.session, other)
        status, _ = await operator.apply(with_weights(fleet, "w2"), 1)
        assert status == 200
        await wait_for_version(fleet, "w2")
        os.kill(first.process.pid, signal.SIGSTOP)
        isolatable.cut_off(first)
        await operator.apply(with_weights(fleet, "w3"), 2)
        await wait_for_version(fleet, "w3")
        os.kill(first.process.pid, signal.SIGCONT)
        await wait_for_failed_watches(
            control.Operator(fleet.session, first), 5
        )
        isolatable.heal()
        await control.all_at(fleet, 3)
        assert await holder_of(fleet) is other
        await operator.apply(with_weights(fleet, "w4"), 3)
        await wait_for_version(fleet, "w4")
        for name in (FENCED, UNFENCED):
            received = await orders(fleet, name)
            ordered = [order["weights_version"] for order in received]
            assert ordered == sorted(ordered), received
            numbers = [order["fencing"] for order in received]
            assert numbers == sorted(numbers), received
            assert numbers[0] < numbers[-1]


async def test_a_planned_stop_hands_the_lease_over():
    """Another router takes the lease at once after the holder has stopped.

    The holder gets SIGTERM.  If the lease were left to expire, no weights
    could be loaded for its whole term and the margin.
    """
    plan = fleets.Plan(engines=1, routers=2)
    async with fleets.running(plan) as fleet:

        async def held():
            return await holder_of(fleet) is not None

        await control.until(held)
        first = await holder_of(fleet)
        (other,) = [r for r in fleet.routers if r is not first]
        await first.process.stop(processes.STOP_WITHIN_S)
        value = await control.stored(fleet, "leases", "weights")
        assert not value["holder"].startswith(first.name)

        async def taken():
            return await holder_of(fleet) is other

        await control.until(taken)
