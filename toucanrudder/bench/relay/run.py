"""Compares no relay, a bare relay and the router in one run.

Usage: ``python -m toucanrudder.bench.relay.run [--out=FILE.json]``
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
import hashlib
import json
import os
import pathlib
import statistics
import tempfile

import aiohttp
import fire

from toucanrudder.bench.relay import load
from toucanrudder.document import model
from toucanrudder.document import serialisation
from toucanrudder.testing import processes

KEY = "bench-key"
PART = "toucanrudder.bench.relay.part"
AT_ONCE = 16
SHORT_CALLS = 4_000
UNHURRIED_CALLS = 100
UNHURRIED_PAUSE_S = 0.05
LONG_CALLS = 64
LONG_EVENTS = 4_000
PACED_CALLS = 64
PACED_EVENTS = 200
PACED_PAUSE_S = 0.02
OPEN_STREAMS = 400
ROUNDS = 3
MEMORY = "memory_bytes_per_open_stream"

_SETTINGS = """
[router]
name = bench
zone = z
port = 0
admin_port = 0
peer_port = 0
fleet_key = 0123456789abcdef
[store]
address = {store}
[logging]
level = warning
"""


def _document(address: str) -> model.Document:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return model.Document(
        organisations=(
            model.Organisation(
                "bench", (digest,), requests_per_s=1e9, burst_requests=1e9
            ),
        ),
        models=(model.Model("demo", "w"),),
        upstreams=(
            model.Upstream(
                "source", "engine", address, "z", "p", ("demo",), slots=100_000
            ),
        ),
    )


async def _configure(
    session: aiohttp.ClientSession, platform: str, address: str
) -> None:
    accepted = model.Accepted(1, "bench", "bench", _document(address))
    async with session.put(
        f"http://{platform}/objects/configuration/current",
        json=serialisation.accepted_to_json(accepted),
        headers={"If-None-Match": "*"},
    ) as response:
        response.raise_for_status()


@contextlib.asynccontextmanager
async def _targets(
    session: aiohttp.ClientSession,
) -> AsyncIterator[tuple[load.Target, ...]]:
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, "router.ini")
        async with contextlib.AsyncExitStack() as stack:
            start = stack.enter_async_context
            platform = await start(processes.standin("platform"))
            source = await start(processes.started("source", module=PART))
            bare = await start(
                processes.started("bare", source.address, module=PART)
            )
            await _configure(session, platform.address, source.address)
            path.write_text(_SETTINGS.format(store=platform.address))
            router = await start(processes.started("router", str(path)))
            await _ready(session, router.url)
            headers = {"Authorization": f"Bearer {KEY}"}
            yield (
                load.Target("direct", source.url, source.pid),
                load.Target("bare", bare.url, bare.pid),
                load.Target("router", router.url, router.pid, headers),
            )


async def _ready(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(30):
        while True:
            async with session.get(f"{url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


def _percentile_ms(asking: load.Asking, percentile: float) -> float:
    value = asking.first_byte_us.get_value_at_percentile(percentile)
    return value / 1000


async def _short(asking: load.Asking) -> dict:
    await asking.many(AT_ONCE * 20, AT_ONCE, max_tokens=1, stream=True)
    asking.first_byte_us.reset()
    cpu_s = load.cpu_s(asking.target.pid)
    took_s = await asking.many(SHORT_CALLS, AT_ONCE, max_tokens=1, stream=True)
    cpu_s = load.cpu_s(asking.target.pid) - cpu_s
    return {
        "requests_per_s": SHORT_CALLS / took_s,
        "first_byte_p50_ms": _percentile_ms(asking, 50),
        "first_byte_p99_ms": _percentile_ms(asking, 99),
        "cpu_us_per_request": 1e6 * cpu_s / SHORT_CALLS,
    }


async def _unhurried(asking: load.Asking) -> dict:
    """Measure the first byte with callers that pause between calls."""

    async def caller(number: int) -> None:
        # Spread out: callers in step would measure each other.
        await asyncio.sleep(UNHURRIED_PAUSE_S * number / AT_ONCE)
        for _ in range(UNHURRIED_CALLS):
            await asking.call(max_tokens=1, stream=True)
            await asyncio.sleep(UNHURRIED_PAUSE_S)

    asking.first_byte_us.reset()
    await asyncio.gather(*(caller(n) for n in range(AT_ONCE)))
    return {
        "unhurried_first_byte_p50_ms": _percentile_ms(asking, 50),
        "unhurried_first_byte_p99_ms": _percentile_ms(asking, 99),
    }


async def _long(asking: load.Asking) -> dict:
    asking.events = 0
    cpu_s = load.cpu_s(asking.target.pid)
    took_s = await asking.many(
        LONG_CALLS, AT_ONCE, max_tokens=LONG_EVENTS, stream=True
    )
    cpu_s = load.cpu_s(asking.target.pid) - cpu_s
    return {
        "events_per_s": asking.events / took_s,
        "cpu_us_per_event": 1e6 * cpu_s / asking.events,
    }


async def _paced(asking: load.Asking) -> dict:
    asking.events = 0
    cpu_s = load.cpu_s(asking.target.pid)
    await asking.many(
        PACED_CALLS,
        PACED_CALLS,
        max_tokens=PACED_EVENTS,
        events_per_write=1,
        pause_s=PACED_PAUSE_S,
        stream=True,
    )
    cpu_s = load.cpu_s(asking.target.pid) - cpu_s
    return {"cpu_us_per_paced_event": 1e6 * cpu_s / asking.events}


async def _memory(asking: load.Asking) -> dict:
    before = load.resident_bytes(asking.target.pid)
    body = {
        "max_tokens": 40,
        "events_per_write": 1,
        "pause_s": 0.1,
        "stream": True,
    }
    calls = asyncio.gather(*(asking.call(**body) for _ in range(OPEN_STREAMS)))
    await asyncio.sleep(2)
    grown = load.resident_bytes(asking.target.pid) - before
    await calls
    return {MEMORY: grown / OPEN_STREAMS}


async def _measured(
    session: aiohttp.ClientSession, target: load.Target
) -> dict:
    figures = {}
    for measure in (_short, _unhurried, _long, _paced, _memory):
        figures |= await measure(load.Asking(target, session))
    return figures


def _median(rounds: list[dict]) -> dict:
    medians = {
        name: statistics.median(each[name] for each in rounds)
        for name in rounds[0]
    }
    # Memory once grown is kept: only the first round shows what it takes.
    medians[MEMORY] = rounds[0][MEMORY]
    return medians


async def _run() -> dict:
    connector = aiohttp.TCPConnector(limit=0)
    results: dict[str, list[dict]] = {}
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        _targets(session) as targets,
    ):
        for _ in range(ROUNDS):
            for target in targets:
                figures = await _measured(session, target)
                results.setdefault(target.name, []).append(figures)
    return {
        "date": datetime.date.today().isoformat(),
        "cores": os.cpu_count(),
        "rounds": ROUNDS,
        "load_average": os.getloadavg(),
        "medians": {name: _median(each) for name, each in results.items()},
        "rounds_by_target": results,
    }


def _summary(result: dict) -> str:
    medians = result["medians"]
    lines = []
    for figure in medians["router"]:
        row = "".join(
            f"{medians[name][figure]:>14.1f}"
            for name in ("direct", "bare", "router")
        )
        lines.append(f"{figure:<30}{row}")
    router, bare, direct = (
        medians[name] for name in ("router", "bare", "direct")
    )
    for figure in ("first_byte_p99_ms", "unhurried_first_byte_p99_ms"):
        lines.append(
            f"{figure} added over direct: "
            f"{router[figure] - direct[figure]:.2f}, "
            f"over bare: {router[figure] - bare[figure]:.2f}"
        )
    lines.append(
        "events/s, router over bare: "
        f"{router['events_per_s'] / bare['events_per_s']:.2f}"
    )
    return "\n".join(lines)


def main(out: str = "") -> None:
    """Run the bench; print the medians, write all figures to `out`."""
    result = asyncio.run(_run())
    print(f"{'':<30}{'direct':>14}{'bare':>14}{'router':>14}")
    print(_summary(result))
    if out:
        path = pathlib.Path(out)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(result, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
