"""What claims and retained results cost, and what they are worth.

Run ``python -m toucanrudder.bench.claims``.  Two routers, a store and a
service run as processes.  Each booking is made at one router and, right
after its answer, again at the other, as a caller does who lost the answer.
"""

import asyncio
import json
import time

import attrs
import fire
import numpy

from toucanrudder.testing import fleet as fleets

ROUTES = [
    {"method": "POST", "path_prefix": "/bookings", "repeatable": False},
    {"method": "POST", "path_prefix": "/quotes", "repeatable": True},
]
SERVICE_S = 0.005
SAVES = {"before the answer": 0.25, "in the background": 0.0}


@attrs.frozen
class Figures:
    """Figures of one case.

    Parameters
    ----------
    case : str
        When results are saved; ``"no claim"`` for repeatable calls.
    store_delay_s : float
        Delay that the store adds to each call.
    calls : int
        Calls made.
    p50_ms, p99_ms : float
        Time to the answer.
    resends_answered : float
        Share of resends at the other router that got the answer.
    runs_per_call : float
        By the service's journal.
    """

    case: str
    store_delay_s: float
    calls: int
    p50_ms: float
    p99_ms: float
    resends_answered: float
    runs_per_call: float


async def _post(fleet, router: int, path: str, key: str) -> int:
    headers = fleets.authorization() | {"Idempotency-Key": key}
    url = f"{fleet.routers[router].url}/services/desk{path}"
    async with fleet.session.post(url, data=b"x", headers=headers) as answer:
        await answer.read()
        return answer.status


async def _case(
    case: str, path: str, save_within_s: float, delay_s: float, calls: int
) -> Figures:
    plan = fleets.Plan(
        engines=0,
        services=1,
        routers=2,
        routes=ROUTES,
        service_options={"delay_s": SERVICE_S},
        settings={"claims": {"save_within_s": save_within_s}},
    )
    taken_s, answered = [], 0
    async with fleets.running(plan) as fleet:
        if delay_s:
            await fleet.put_faults(
                "platform", mode="slow", kind="claims", delay_s=delay_s
            )
        for number in range(-20, calls):
            began_s = time.perf_counter()
            await _post(fleet, 0, path, f"k{number}")
            took_s = time.perf_counter() - began_s
            again = await _post(fleet, 1, path, f"k{number}")
            if number >= 0:
                taken_s.append(took_s)
                answered += again == 200
        runs = len(await fleet.runs()) / (calls + 20)
    p50, p99 = numpy.percentile(numpy.array(taken_s) * 1000, [50, 99])
    return Figures(
        case, delay_s, calls, p50, p99, answered / calls, round(runs, 3)
    )


async def _measure(calls: int) -> list[Figures]:
    figures = []
    for delay_s in (0.0, 0.003):
        figures.append(
            await _case("no claim", "/quotes", 0.25, delay_s, calls)
        )
        for case, save_s in SAVES.items():
            figures.append(
                await _case(case, "/bookings", save_s, delay_s, calls)
            )
    return figures


def main(calls: int = 300) -> None:
    """Measure and print one JSON line per case."""
    for each in asyncio.run(_measure(calls)):
        print(json.dumps(attrs.asdict(each)))


if __name__ == "__main__":
    fire.Fire(main)
