"""The scenarios: what goes wrong in a run, and when."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from toucanrudder.bench import deployments
from toucanrudder.bench import systems
from toucanrudder.bench import workload

ENGINE_DOWN_S = 2.0
GAP_EVERY = 5
LAGGING_S = 1.5

Event = Callable[[systems.System, workload.Times], Awaitable[None]]


async def _nothing(system: systems.System, times: workload.Times) -> None:
    pass


async def _crash(system: systems.System, times: workload.Times) -> None:
    await system.kill_engine(0)
    await asyncio.sleep(ENGINE_DOWN_S)
    await system.restart_engine(0)


async def _herd(system: systems.System, times: workload.Times) -> None:
    struck = range(1, deployments.ROUTERS)
    await asyncio.gather(*(system.kill_router(index) for index in struck))
    await asyncio.gather(*(system.restart_router(index) for index in struck))


async def _gaps(system: systems.System, times: workload.Times) -> None:
    await system.engine_faults({"event_gap_every": GAP_EVERY})


async def _store_outage(system: systems.System, times: workload.Times) -> None:
    await system.store_faults({"mode": "down"})
    await asyncio.sleep(times.event_end_s - times.event_s)
    await system.store_faults({"mode": "ok"})


async def _new_weights(system: systems.System, times: workload.Times) -> None:
    await system.apply_weights(deployments.NEXT_WEIGHTS)


@attrs.frozen
class Scenario:
    """One scenario.

    Parameters
    ----------
    name : str
        As in the records.
    event : callable
        What happens at `Times.event_s`.
    from_start : bool
        Whether it happens at the start of the run instead.
    shifts : bool
        Whether the hot projects change at the event.
    lag_s : float
        Lag of load reports and cache events; 0 takes the usual one.
    baselines : bool
        Whether the full run measures the baselines in it too.
    """

    name: str
    event: Event = _nothing
    from_start: bool = False
    shifts: bool = False
    lag_s: float = 0.0
    baselines: bool = False


_ALL = (
    Scenario("steady", baselines=True),
    Scenario("hot-shift", shifts=True, baselines=True),
    Scenario("crash", event=_crash, baselines=True),
    Scenario("herd", event=_herd),
    Scenario("gaps", event=_gaps, from_start=True),
    Scenario("lag", lag_s=LAGGING_S),
    Scenario("store-outage", event=_store_outage),
    Scenario("new-weights", event=_new_weights),
)

SCENARIOS = {each.name: each for each in _ALL}
