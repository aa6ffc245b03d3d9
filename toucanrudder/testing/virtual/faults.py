"""Upstreams that a scenario concerns, and faults beside it.

A fault is a coroutine function of the fleet and of these upstreams.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from toucanrudder.testing.virtual import stores
from toucanrudder.testing.virtual import traffic
from toucanrudder.testing.virtual import workers

#: Time until a killed router is started again.
DOWN_S = 0.5

Fault = Callable[[traffic.Fleet, list[workers.Worker]], Awaitable[None]]


def one(upstreams: list[workers.Worker]) -> list[workers.Worker]:
    """Return the first upstream."""
    return upstreams[:1]


def half(upstreams: list[workers.Worker]) -> list[workers.Worker]:
    """Return every other upstream."""
    return upstreams[::2]


def all_of_them(upstreams: list[workers.Worker]) -> list[workers.Worker]:
    """Return all upstreams."""
    return upstreams


async def no_fault(
    fleet: traffic.Fleet, concerned: list[workers.Worker]
) -> None:
    """Change nothing."""


def split(after_s: float, for_s: float) -> Fault:
    """Return a fault that keeps half of the routers from the others."""

    async def routers_are_split(fleet, concerned):
        await asyncio.sleep(after_s)
        await fleet.site.split_routers(fleet.site.names[::2], for_s=for_s)

    return routers_are_split


def cut(after_s: float, for_s: float) -> Fault:
    """Return a fault that keeps a third of the routers from all upstreams."""

    async def routers_lose_their_upstreams(fleet, concerned):
        await asyncio.sleep(after_s)
        fleet.cut = set(fleet.site.names[::3])
        await asyncio.sleep(for_s)
        fleet.cut = set()

    return routers_lose_their_upstreams


def lapse(after_s: float, for_s: float) -> Fault:
    """Return a fault that removes entries and puts them back."""

    async def entries_lapse_and_return(fleet, concerned):
        await asyncio.sleep(after_s)
        set_store(fleet, stores.Way.WELL)
        for worker in concerned:
            fleet.unregister(worker)
        await asyncio.sleep(for_s)
        for worker in concerned:
            fleet.register(worker)

    return entries_lapse_and_return


def repeated(fault: Fault) -> Fault:
    """Return a fault that occurs again as soon as it has ended."""

    async def repeat(fleet, concerned):
        while True:
            await fault(fleet, concerned)

    return repeat


def restart(*waits_s: float) -> Fault:
    """Return a fault that restarts half of the routers after each wait."""

    async def half_of_the_routers_restart(fleet, concerned):
        for wait_s in waits_s:
            await asyncio.sleep(wait_s)
            await fleet.site.restart_routers(
                fleet.site.names[::2], down_s=DOWN_S
            )

    return half_of_the_routers_restart


def set_store(fleet: traffic.Fleet, way: stores.Way) -> None:
    """Set how the registry treats all routers."""
    for router in fleet.site.names:
        fleet.site.store.treat(router, way)
