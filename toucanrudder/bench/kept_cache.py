"""Measures the first answer of an engine that came back cold.

Run ``python -m toucanrudder.bench.kept_cache``; it prints one JSON object
with the time to the first token, with a store of kept KV cache and without.
"""

import asyncio
import json
import os
import statistics
import time

import fire

from toucanrudder.testing import callers
from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

STORE = "prompt-vault"
ENGINE = "engine-0"
PREFILL_TOKENS_PER_S = 20_000
IMPORT_TOKENS_PER_S = 100_000
PROMPT = "general conditions apply. " * 4_000
BODY = {"model": fleets.MODEL, "prompt": PROMPT, "max_tokens": 1}
RUNS = 5


def _plan(store: str) -> fleets.Plan:
    return fleets.Plan(
        engine_options={
            "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
            "import_tokens_per_s": IMPORT_TOKENS_PER_S,
        },
        document={"policy": {"kv_store": store}},
    )


async def _restart(fleet: fleets.Fleet) -> None:
    await fleet.upstreams[ENGINE].kill()
    await fleet.start_upstream("engine", ENGINE)
    url = f"{fleet.upstreams[ENGINE].url}/load"
    async with fleet.session.get(url) as response:
        incarnation = (await response.json())["incarnation"]
    operator = control.Operator(fleet.session, fleet.routers[0])

    async def known() -> bool:
        upstreams = (await operator.get("/status"))["upstreams"]
        return any(each["incarnation"] == incarnation for each in upstreams)

    await control.until(known)


async def _ask(fleet: fleets.Fleet) -> float:
    began_s = time.monotonic()
    answer = await callers.stream(fleet.session, fleet.routers[0].url, BODY)
    if answer.end is not callers.End.DONE:
        raise RuntimeError(str(answer.error))
    return time.monotonic() - began_s


async def _first_tokens(store: str) -> list[float]:
    plan = _plan(store)
    async with fleets.running(plan) as fleet:
        plan.engine_options["platform"] = fleet.platform.address
        await _restart(fleet)
        for _ in range(RUNS):
            # Often enough for the prefix to count as hot.
            await _ask(fleet)
        await asyncio.sleep(0.5)
        found = []
        for _ in range(RUNS):
            await _restart(fleet)
            found.append(await _ask(fleet))
        return found


async def _run() -> dict:
    result = {
        "prompt_tokens": len(PROMPT) // 4,
        "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
        "import_tokens_per_s": IMPORT_TOKENS_PER_S,
        "load_average": os.getloadavg()[0],
    }
    for name, store in (("with_store", STORE), ("without", "")):
        found = await _first_tokens(store)
        result[name] = {
            "median_s": round(statistics.median(found), 3),
            "range_s": [round(min(found), 3), round(max(found), 3)],
        }
    return result


def main() -> None:
    """Measure and print."""
    print(json.dumps(asyncio.run(_run()), indent=2))


if __name__ == "__main__":
    fire.Fire(main)
