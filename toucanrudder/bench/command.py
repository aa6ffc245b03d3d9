"""Runs the planned runs one after the other and writes the file."""

import asyncio
from collections.abc import Iterator
import itertools
import json
import logging
import pathlib
import signal
import sys
import time

import uvloop

from toucanrudder.bench import deployments
from toucanrudder.bench import locking
from toucanrudder.bench import records
from toucanrudder.bench import report
from toucanrudder.bench import running
from toucanrudder.bench import scenarios
from toucanrudder.router import daemon

OURS = "toucanrudder"
POLICIES = ("random", "least-loaded", "prefix-hash", OURS)
SHORT_SCENARIOS = "steady hot-shift"
SHORT_POLICIES = "least-loaded prefix-hash toucanrudder"

EXIT_MISTAKE = 2
EXIT_BUSY = 4


def main(
    seeds: str = "1 2 3",
    out: str = "bench-out/bench.json",
    deployments: str = "",
    scenarios: str = "",
    policies: str = "",
    short: bool = False,
) -> None:
    """Run the policy bench and write its records to a file.

    Parameters
    ----------
    seeds : str
        Seeds, separated by spaces.
    out : str
        JSON file; the report and the plots are written beside it.
    deployments, scenarios, policies : str
        Names, separated by spaces; empty takes all, the baselines only in
        the scenarios that compare them.
    short : bool
        Shorter runs, and fewer of them.
    """
    daemon.disable_io_uring()
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    if short:
        scenarios = scenarios or SHORT_SCENARIOS
        policies = policies or SHORT_POLICIES
    try:
        plans = list(
            planned(
                [int(seed) for seed in _words(seeds)],
                _words(deployments),
                _words(scenarios),
                _words(policies),
                short=short,
            )
        )
    except (KeyError, ValueError) as error:
        print(f"unknown: {error}", file=sys.stderr)
        sys.exit(EXIT_MISTAKE)
    try:
        with locking.only_one():
            _run_all(plans, pathlib.Path(out))
    except locking.BenchRunning as error:
        print(f"another bench is running: {error}", file=sys.stderr)
        sys.exit(EXIT_BUSY)


def planned(
    seeds: list[int],
    deployment_names: list[str],
    scenario_names: list[str],
    policy_names: list[str],
    *,
    short: bool,
) -> Iterator[running.Plan]:
    """Yield what is to be run; runs that are compared follow each other.

    Raises
    ------
    KeyError
        A name is unknown.
    """
    chosen = policy_names or POLICIES
    for name in chosen:
        if name not in POLICIES:
            raise KeyError(name)
    for seed, deployment, scenario, policy in itertools.product(
        seeds,
        [
            deployments.DEPLOYMENTS[name]
            for name in deployment_names or deployments.DEPLOYMENTS
        ],
        [
            scenarios.SCENARIOS[name]
            for name in scenario_names or scenarios.SCENARIOS
        ],
        chosen,
    ):
        if policy_names or policy == OURS or scenario.baselines:
            times = running.SHORT if short else running.FULL
            yield running.Plan(deployment, scenario, policy, seed, times)


def _words(text: object) -> list[str]:
    """Split an option; the command line makes tuples of some values."""
    if isinstance(text, (tuple, list)):
        return [str(each) for each in text]
    return str(text).replace(",", " ").split()


def _run_all(plans: list[running.Plan], out: pathlib.Path) -> None:
    out.parent.mkdir(parents=True, exist_ok=True)
    result = {"machine": records.machine(), "records": []}
    began_s = time.monotonic()
    for number, plan in enumerate(plans, start=1):
        record = _run(plan)
        result["records"].append(record)
        # Written after each run: an interrupted bench keeps what it has.
        out.write_text(json.dumps(result, indent=1), encoding="utf-8")
        _show(number, len(plans), record)
    result["machine"]["took_s"] = round(time.monotonic() - began_s, 1)
    out.write_text(json.dumps(result, indent=1), encoding="utf-8")
    print(report.write(result["records"], out))


def _run(plan: running.Plan) -> dict:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_stoppable(plan))


async def _stoppable(plan: running.Plan) -> dict:
    # Without this a stopped bench would leave its processes behind, and
    # they would slow down the next one.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    return await running.run(plan)


def _show(number: int, total: int, record: dict) -> None:
    print(
        f"{number}/{total} {record['deployment']} {record['scenario']} "
        f"{record['policy']} seed {record['seed']}: "
        f"hit {record['hit_rate']:.3f}, urgent p99 "
        f"{record['ttft_p99_ms']['urgent']} ms, wasted "
        f"{record['wasted_tokens']}, refused {record['refused']}, "
        f"lost {record['lost']}, doubled {record['doubled']}, "
        f"cut {record['cut']}, lag {record['standin_lag_p99_ms']} ms, "
        f"valid {record['valid']}",
        flush=True,
    )
