"""One run of the bench: start, load, event, judgement."""

import asyncio
import collections
import functools
import time

import aiohttp
import attrs

from toucanrudder.bench import callers
from toucanrudder.bench import deployments
from toucanrudder.bench import judge
from toucanrudder.bench import records
from toucanrudder.bench import scenarios
from toucanrudder.bench import systems
from toucanrudder.bench import workload
from toucanrudder.prefix import identity
from toucanrudder.standins import output

LAG_PROBE_S = 0.01

FULL = workload.Times(5.0, 15.0, 8.0, 12.0)
SHORT = workload.Times(4.0, 12.0, 7.0, 10.0)


@attrs.frozen
class Plan:
    """What is run.

    Parameters
    ----------
    deployment : deployments.Deployment
        The fleet.
    scenario : scenarios.Scenario
        What goes wrong.
    policy : str
        The routers' placement policy.
    seed : int
        Determines the workload.
    times : workload.Times
        Length of the run.
    """

    deployment: deployments.Deployment
    scenario: scenarios.Scenario
    policy: str
    seed: int
    times: workload.Times

    def key(self) -> dict[str, object]:
        """Return the fields that name the run."""
        return {
            "deployment": self.deployment.name,
            "scenario": self.scenario.name,
            "policy": self.policy,
            "seed": self.seed,
        }


async def run(plan: Plan) -> dict[str, object]:
    """Run a plan and return its record."""
    load = workload.make(
        plan.deployment, plan.seed, plan.times, shifts=plan.scenario.shifts
    )
    async with (
        systems.opened(
            plan.deployment, plan.policy, plan.seed, plan.scenario.lag_s
        ) as system,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        ) as session,
    ):
        # A repeated call is the caller's decision, made visibly.
        session._retry_connection = False
        calling = callers.Callers(system, load, session)
        counts = await system.store_counts()
        began_s = time.time()
        lags_s = await _loaded(plan, system, calling)
        measured = await _measured(plan, system, calling, began_s, lags_s)
        calls = _calls(await system.store_counts()) - _calls(counts)
        measured = attrs.evolve(measured, store_calls=calls)
    return records.record(plan.key(), plan.times, measured)


async def _loaded(plan, system, calling) -> list[float]:
    lags_s: list[float] = []
    probe = asyncio.create_task(_probe(lags_s))
    event = asyncio.create_task(_event(plan, system))
    try:
        await calling.run()
        await event
    finally:
        probe.cancel()
        event.cancel()
    return lags_s


async def _event(plan: Plan, system: systems.System) -> None:
    if not plan.scenario.from_start:
        await asyncio.sleep(plan.times.event_s)
    await plan.scenario.event(system, plan.times)


async def _probe(lags_s: list[float]) -> None:
    while True:
        due_s = time.monotonic() + LAG_PROBE_S
        await asyncio.sleep(LAG_PROBE_S)
        lags_s.append(time.monotonic() - due_s)


async def _measured(plan, system, calling, began_s, lags_s):
    duration_s = time.time() - began_s
    by_engine = [await system.journals(each) for each in system.engines]
    journals = [each for past in by_engine for each in past]
    window_s = (began_s + plan.times.warm_up_s, began_s + plan.times.end_s)
    return records.Measured(
        outcomes=calling.outcomes,
        cache=judge.judge(
            [
                judge.EngineProcess(
                    tuple(each["runs"]), each.get("ended_s", float("inf"))
                )
                for each in journals
            ],
            _keys_of(calling),
            capacity_blocks=plan.deployment.capacity_blocks,
            prefill_tokens_per_s=plan.deployment.prefill_tokens_per_s,
            window_s=window_s,
        ),
        service_runs=await _service_runs(system),
        metrics_pages=[
            page
            for router in system.routers
            for page in await system.metrics(router)
        ],
        store_calls=0,
        duration_s=duration_s,
        standin_lag_s=max(each["loop_lag_p99_s"] for each in journals),
        caller_lag_s=records.percentile(lags_s, 0.99) or 0.0,
    )


def _keys_of(calling: callers.Callers) -> judge.KeysOf:
    @functools.cache
    def keys(salt: str, weights: str, digest: str) -> tuple[bytes, ...]:
        prompt = calling.prompts[digest]
        text = output.canonical_text(
            output.CHAT, {"messages": calling.load.messages(prompt)}
        )
        return identity.block_keys(
            bytes.fromhex(salt), deployments.MODEL, "", weights, text
        )

    return lambda run: keys(
        run["salt"], run["weights_version"], run["prompt_sha256"]
    )


async def _service_runs(system: systems.System) -> collections.Counter:
    runs: collections.Counter = collections.Counter()
    for service in system.services:
        for journal in await system.journals(service):
            runs.update(journal["by_key"])
    return runs


def _calls(counts: dict) -> int:
    return counts["reads"] + counts["writes"] + counts["watches"]
