"""Real routers and a platform stand-in as processes, and what they use."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import pathlib
import re
import subprocess
import tempfile

import aiohttp
import attrs

from toucanrudder.bench.capacity import engines as light
from toucanrudder.bench.capacity import isolation
from toucanrudder.bench.capacity import synthetic
from toucanrudder.document import model
from toucanrudder.document import serialisation
from toucanrudder.testing import ports
from toucanrudder.testing import processes

KEY = "capacity-key"
START_AT_ONCE = 8
SEEDS = 3
INTERVAL_S = 0.5
_BYTES = re.compile(r"\bbytes_(?:sent|received):(\d+)")
_PID = re.compile(r"pid=(\d+)")


@attrs.frozen
class Usage:
    """What a process has used since its start."""

    processor_s: float
    resident_bytes: int
    wire_bytes: int


def _wire_bytes() -> dict[int, int]:
    """Return bytes sent and received over open TCP sockets by process.

    Traffic of a socket that was closed is lost to this count; routers keep
    their connections to peers, store and upstreams open.
    """
    shown = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    found: dict[int, int] = {}
    for line in shown.splitlines():
        owner = _PID.search(line)
        if owner:
            count = sum(map(int, _BYTES.findall(line)))
            pid = int(owner.group(1))
            found[pid] = found.get(pid, 0) + count
    return found


def usage(pids: Iterable[int]) -> dict[int, Usage]:
    """Return what each process has used so far."""
    wire = _wire_bytes()
    return {
        pid: Usage(
            isolation.processor_s(pid),
            isolation.resident_bytes(pid),
            wire.get(pid, 0),
        )
        for pid in pids
    }


async def rates(pids: Sequence[int], during_s: float) -> dict:
    """Return means over the processes while `during_s` passes."""
    before = usage(pids)
    await asyncio.sleep(during_s)
    after = usage(pids)

    def mean(values: Iterable[float]) -> float:
        return sum(values) / len(pids)

    return {
        "core_share": mean(
            after[pid].processor_s - before[pid].processor_s for pid in pids
        )
        / during_s,
        "resident_bytes": mean(after[pid].resident_bytes for pid in pids),
        "wire_bytes_per_s": mean(
            after[pid].wire_bytes - before[pid].wire_bytes for pid in pids
        )
        / during_s,
    }


def document(
    addresses: Iterable[str], organisations: int = 8
) -> model.Document:
    """Return a document with these engines and a usable first key."""
    document = synthetic.document(organisations)
    first = attrs.evolve(
        document.organisations[0],
        api_key_sha256s=(synthetic.digest(KEY),),
        requests_per_s=1e6,
        burst_requests=1e6,
    )
    return attrs.evolve(
        document,
        organisations=(first, *document.organisations[1:]),
        upstreams=tuple(
            attrs.evolve(
                synthetic.engine(number),
                address=address,
                models=(light.MODEL,),
                slots=64,
            )
            for number, address in enumerate(addresses)
        ),
    )


def with_service(address: str) -> model.Document:
    """Return a document with a service whose calls may not be repeated."""
    upstream = model.Upstream(
        "desk-1", model.SERVICE, address, "zone-00", "desk"
    )
    service = model.Service("desk", (model.Route("POST", "/", False),))
    return attrs.evolve(
        document([]), upstreams=(upstream,), services=(service,)
    )


async def put_document(platform: str, wanted: model.Document) -> None:
    """Write the document into the store as the first generation."""
    accepted = model.Accepted(1, "capacity", "capacity", wanted)
    async with (
        aiohttp.ClientSession() as session,
        session.put(
            f"http://{platform}/objects/configuration/current",
            json=serialisation.accepted_to_json(accepted),
            headers={"If-None-Match": "*"},
        ) as answer,
    ):
        answer.raise_for_status()


def _settings(
    number: int, platform: str, peer_ports: Sequence[int], interval_s: float
) -> str:
    seeds = [port for port in peer_ports[:SEEDS] if port != peer_ports[number]]
    return f"""
[router]
name = router-{number}
zone = zone-{number % synthetic.ZONES:02d}
port = 0
admin_port = 0
peer_port = {peer_ports[number]}
peer_seeds = {",".join(f"127.0.0.1:{port}" for port in seeds)}
fleet_key = a-secret-for-measurements
[store]
address = {platform}
[admin]
token = capacity-token
[peers]
interval_s = {interval_s}
silent_s = {max(3.0, 6 * interval_s)}
[logging]
level = warning
"""


@contextlib.asynccontextmanager
async def routers(
    count: int, platform: str, interval_s: float = INTERVAL_S
) -> AsyncIterator[list[processes.Process]]:
    """Run `count` routers during the block; a few start at a time."""
    peer_ports = [ports.free() for _ in range(count)]
    starting = asyncio.Semaphore(START_AT_ONCE)
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )

        async def start(number: int) -> processes.Process:
            path = directory / f"{number}.ini"
            settings = _settings(number, platform, peer_ports, interval_s)
            path.write_text(settings)
            async with starting:
                return await stack.enter_async_context(
                    processes.started("router", str(path))
                )

        yield list(await asyncio.gather(*map(start, range(count))))


@contextlib.asynccontextmanager
async def system(
    router_count: int,
    engine_count: int,
    interval_s: float = INTERVAL_S,
    **options: float,
) -> AsyncIterator[tuple[list[processes.Process], str]]:
    """Run a platform, light engines and routers; yield routers, platform."""
    async with (
        processes.standin("platform") as platform,
        light.serving(engine_count, **options) as engines,
    ):
        await put_document(platform.address, document(engines.addresses))
        async with routers(
            router_count, platform.address, interval_s
        ) as running:
            yield running, platform.address
