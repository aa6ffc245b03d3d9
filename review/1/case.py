"""Answers of runs that go on are lost."""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

MODEL = "m0"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "safety-review",
            "host": "llm.example",
            "path_prefix": "/review/",
            "kind": "stream",
            "service": "llm",
            "max_attempts": 1,
            "sticky": True,
            "timeout_ms": 15000,
            "target_latency_ms": 800,
            "target_gap_ms": 400,
            "priority": 1,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 262053,
                "backups": True,
                "kv_token_bytes": 163840,
                "link_mbps": 1100000,
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 60000,
    },
    "tenants": [{"name": "north", "api_keys": ["key-of-north"]}],
}

RATE_PER_S = 8.0
LENGTH_S = 60.0
#: Part of the answers of two of the four engines that are lost in the first
#: LOSS_S of each LOSS_EVERY_S.
LOSS_SHARE = 0.05
LOSS_S, LOSS_EVERY_S = 4.0, 8.0
#: The event at which an answer is lost.
LOST_AT = 30
#: Time for which a run may go on beside its continuation.
BESIDE_S = 0.4


async def case(deployment, has_trouble):
    """Return the runs that went on beside their continuation."""
    record = deployment.record
    rng = random.Random(1)
    await deployment.start(CONFIGURATION)
    runs = []

    def loses_answer(run):
        is_lossy = record.now_s() % LOSS_EVERY_S < LOSS_S
        return (
            has_trouble
            and is_lossy
            and run["events"] == LOST_AT
            and rng.random() < LOSS_SHARE
        )

    for number, zone in enumerate((*standins.ZONES, standins.ZONES[0])):
        engine = await deployment.worker(
            "llm", slots=64, zone=zone, model=MODEL
        )
        engine.on_begin = runs.append
        if number % 2:
            engine.loses_answer = loses_answer
    deployment.store.put("versions", MODEL, {"model": MODEL, "version": 1})
    await deployment.start_routers()
    await asyncio.sleep(4.0)

    traffic = standins.Traffic(deployment, RATE_PER_S, _request)
    async with traffic.running():
        await asyncio.sleep(LENGTH_S)
    await asyncio.sleep(3.0)

    first = {}
    breaks = []
    for run in runs:
        before = first.setdefault(run["id"], run)
        if before is run:
            continue
        beside_s = before["ends_s"] - run["at_s"]
        if beside_s > BESIDE_S:
            breaks.append(
                f"TWICE: {run['id']} went on at {run['worker']} while"
                f" {before['worker']} worked on it for {beside_s:.2f} s more"
            )
    record.write("result", runs=len(runs), breaks=len(breaks))
    return breaks


def _request(number):
    headers = {
        "Host": "llm.example",
        "Model": MODEL,
        "Token-Counts": "6000,76",
        "Prompt-Prefix": f"aa{number:08x}:6000",
        "Deadline-Ms": "15000",
        "Authorization": "Bearer key-of-north",
    }
    return "POST", f"/review/{number}", headers, b"p" * 6000


standins.run_case(
    case, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
)
