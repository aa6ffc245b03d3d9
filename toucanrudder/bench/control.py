"""Measures control: changes in force, restarts, cost of an idle router.

Run ``python -m toucanrudder.bench.control``; it prints one JSON object.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import statistics
import time

import fire

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import processes
from toucanrudder.testing import proxy as proxies

POLL_S = 0.005
IDLE_S = 10.0

#: Two, so that the cost of one exchange can be told from the rest.
IDLE_INTERVALS_S = (0.5, 5.0)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _summary(values: list[float]) -> dict[str, float]:
    return {
        "runs": len(values),
        "median_s": round(statistics.median(values), 3),
        "max_s": round(max(values), 3),
    }


def _settings(interval_s: float) -> dict:
    # The defaults of a router, but for the peers' interval; the test
    # fleet's own are quicker.
    return {
        "peers": {"interval_s": interval_s, "silent_s": 6 * interval_s},
        "upstreams": {"load_interval_s": 0.25},
    }


async def _in_force(operator: control.Operator, generation: int) -> None:
    while await operator.generation() != generation:  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)


async def _changes(routers: int, changes: int) -> dict:
    """Time changes until in force everywhere, with one slow peer."""
    async with contextlib.AsyncExitStack() as stack:
        plan = fleets.Plan(routers=0)
        fleet = await stack.enter_async_context(fleets.running(plan))
        fleet.plan.settings = _settings(interval_s=0.5)
        for _ in range(routers - 1):
            await control.start_router(fleet)
        slow = await stack.enter_async_context(proxies.proxied(""))
        peer = await control.start_router(
            fleet, peers={"advertise": slow.address}
        )
        slow.target = peer.process.ready["peer_address"]
        operators = [
            control.Operator(fleet.session, router) for router in fleet.routers
        ]
        times = []
        for number in range(changes):
            slow.freeze()
            document = control.changed(fleet.document(), 100 + number)
            began_s = time.monotonic()
            await operators[number % routers].apply(document, number + 1)
            await asyncio.gather(
                *(_in_force(each, number + 2) for each in operators)
            )
            times.append(time.monotonic() - began_s)
        return _summary(times)


async def _cost(routers: int, interval_s: float) -> dict:
    """Measure routers that exchange with each other and do nothing else."""
    plan = fleets.Plan(routers=0, settings=_settings(interval_s))
    async with fleets.running(plan) as fleet:
        for _ in range(routers):
            await control.start_router(fleet)
        return {"interval_s": interval_s} | await _idle(fleet, routers)


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _counts(fleet: fleets.Fleet) -> int:
    url = f"{fleet.platform.url}/counts"
    async with fleet.session.get(url) as response:
        counts = await response.json()
    return counts["reads"] + counts["writes"] + counts["watches"]


async def _idle(fleet: fleets.Fleet, routers: int) -> dict:
    pids = [router.process.pid for router in fleet.routers]
    calls, used_s = await _counts(fleet), sum(map(_cpu_s, pids))
    await asyncio.sleep(IDLE_S)
    calls = await _counts(fleet) - calls
    used_s = sum(map(_cpu_s, pids)) - used_s
    return {
        "routers": routers,
        "store_calls_per_router_per_s": round(calls / routers / IDLE_S, 2),
        "core_share_per_router": round(used_s / routers / IDLE_S, 4),
        "resident_mb_per_router": round(
            statistics.median(map(_resident_mb, pids)), 1
        ),
    }


async def _first_answer(fleet: fleets.Fleet, index: int) -> float:
    began_s = time.monotonic()
    router = await control.restart(fleet, index)
    while (await control.ask(fleet, router))[0] != 200:  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)
    return time.monotonic() - began_s


async def _starts(mode: str, times: int) -> dict:
    """Time one router from exec to its first answer."""
    async with fleets.running(fleets.Plan(routers=2)) as fleet:
        await fleet.put_faults("platform", mode=mode, delay_s=30)
        taken = []
        for _ in range(times):
            await fleet.routers[1].process.kill()
            taken.append(await _first_answer(fleet, 1))
        return _summary(taken)


async def _herd(routers: int) -> dict:
    """Time all routers started in one moment."""
    async with fleets.running(fleets.Plan(routers=routers)) as fleet:
        for router in fleet.routers:
            await router.process.kill()
        calls = await _counts(fleet)
        taken = await asyncio.gather(
            *(_first_answer(fleet, index) for index in range(routers))
        )
        calls = await _counts(fleet) - calls
        return _summary(taken) | {"store_calls": calls}


async def _measure(routers: int, changes: int, times: int) -> dict:
    processes.READY_WITHIN_S = 120.0
    return {
        "load_average": os.getloadavg()[0],
        "in_force_everywhere": await _changes(routers, changes),
        "idle": [await _cost(routers, each) for each in IDLE_INTERVALS_S],
        "exec_to_first_answer": {
            "store up": await _starts("ok", times),
            "store down": await _starts("down", times),
            "store slow": await _starts("slow", times),
            "herd": await _herd(routers - 1),
        },
    }


def main(routers: int = 8, changes: int = 20, times: int = 5) -> None:
    """Measure and print one JSON object.

    Parameters
    ----------
    routers : int
        Routers; one of them is a slow peer.
    changes : int
        Changes of the configuration.
    times : int
        Starts with the store in each state.
    """
    result = asyncio.run(_measure(routers, changes, times))
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
