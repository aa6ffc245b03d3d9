"""A tenant is isolated while its prompts are cached."""

import asyncio
import copy
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

MODEL = "m0"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "part-check",
            "host": "llm.example",
            "path_prefix": "/check/",
            "kind": "stream",
            "resumable": True,
            "service": "llm",
            "max_attempts": 2,
            "sticky": True,
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "target_gap_ms": 400,
            "priority": 0,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "engine": {"slots": 64, "kv_capacity_tokens": 262053},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 60000,
    },
    "tenants": [
        {"name": "north", "api_keys": ["key-of-north"]},
        {"name": "south", "api_keys": ["key-of-south"]},
    ],
}

RATE_PER_S = 10.0
CHANGE_S = 6.0
LENGTH_S = 14.0


async def case(deployment, has_trouble):
    """Return the uses of what an isolated tenant's requests left."""
    record = deployment.record
    await deployment.start(CONFIGURATION)
    uses = []
    kept = {}
    for zone in standins.ZONES:
        engine = await deployment.worker(
            "llm", slots=64, zone=zone, model=MODEL
        )
        engine.on_begin = lambda run: uses.extend(_use(kept, run))
    deployment.store.put("versions", MODEL, {"model": MODEL, "version": 1})
    await deployment.start_routers()
    await asyncio.sleep(4.0)

    traffic = standins.Traffic(deployment, RATE_PER_S, _request)
    async with traffic.running():
        await asyncio.sleep(CHANGE_S)
        changed = copy.deepcopy(CONFIGURATION)
        changed["version"] = 5
        if has_trouble:
            changed["tenants"][0]["isolated"] = True
        deployment.store.put("config", "main", changed)
        changed_s = record.now_s()
        record.write("configuration", version=5, isolated=has_trouble)
        await asyncio.sleep(LENGTH_S - CHANGE_S)

    isolated = {
        each["name"] for each in changed["tenants"] if each.get("isolated")
    }
    apply_s = standins.BOUNDS["config_apply_ms"] / 1000
    breaks = []
    for use in uses:
        if use["at_s"] > changed_s + apply_s and isolated & {
            use["tenant"],
            use["maker"],
        }:
            record.write("use", **use)
            breaks.append(
                f"WALL: {use['id']} of {use['tenant']} used part"
                f" {use['part']} that a request of {use['maker']} made"
            )
    record.write("result", uses=len(uses), breaks=len(breaks))
    return breaks


def _use(kept, run):
    """Return the parts made by others that a run finds at its engine."""
    headers = run["headers"]
    salt, tenant = headers.get("cache-salt", ""), headers["tenant"]
    uses = []
    for entry in headers["prompt-prefix"].split(","):
        part = entry.partition(":")[0]
        key = (run["worker"], salt, part)
        maker = kept.setdefault(key, tenant)
        if maker != tenant:
            uses.append(
                {
                    "id": run["id"],
                    "at_s": run["at_s"],
                    "tenant": tenant,
                    "maker": maker,
                    "part": part,
                }
            )
    return uses


def _request(number):
    tenant = "north" if number % 2 else "south"
    headers = {
        "Host": "llm.example",
        "Model": MODEL,
        "Token-Counts": "1800,5",
        "Prompt-Prefix": f"5c1e07a2:341,aa{number % 20:04x}:227,"
        f"bb{number:08x}:1232",
        "Deadline-Ms": "3000",
        "Authorization": f"Bearer key-of-{tenant}",
    }
    return "POST", f"/check/{number}", headers, b"p" * 2400


standins.run_case(
    case, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
)
