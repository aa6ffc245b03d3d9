"""The processes and stand-ins of one soak, and what is done to them."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import os
import pathlib
import random
import signal
import sys
import textwrap
import time

import attrs

from toucanrudder.platform import __main__ as entry
from toucanrudder.platform.testing import soaking
from toucanrudder.platform.testing import standins
from toucanrudder.soak import oracles
from toucanrudder.soak import records
from toucanrudder.testing import ports
from toucanrudder.testing import processes
from toucanrudder.testing import proxy as proxies

#: Memory of each router's instance, by its settings.
MEMORY_MB = 88

#: The longest time that a router needs to start.
START_S = 60.0

SETTINGS = """
    [router]
    name = {name}
    zone = {zone}
    [listen]
    callers = 127.0.0.1:{ports[0]}
    ready = 127.0.0.1:{ports[1]}
    peers = 127.0.0.1:{ports[2]}
    [peers]
    seeds = {seeds}
    [store]
    address = {store}
    timeout_s = 1.0
    watch_wait_s = {watch_wait_s}
    [limits]
    memory_mb = {memory_mb}
    [shutdown]
    grace_s = {grace_s}
    notice_s = 1.0
"""


@attrs.define(eq=False)
class Router:
    """A router's process, which is started anew when it has ended."""

    name: str
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    starts: int = 0
    process: asyncio.subprocess.Process | None = None
    expected_end: bool = False

    @property
    def address(self) -> str:
        """``IP:port`` for callers."""
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "toucanrudder.platform",
                cwd=processes.ROOT,
                env=os.environ | {entry.SETTINGS_PATH: str(self.settings)},
                stdout=log,
                stderr=log,
            )
        self.expected_end = False
        self.starts += 1

    def signal(self, number: int) -> None:
        """Send the process a signal, if it lives."""
        if self.lives:
            self.process.send_signal(number)

    def heeds(self, number: int) -> bool:
        """Say whether the process has said what it does with a signal.

        Before its first line runs it cannot, and the system's default
        ends it; on a busy machine that takes some tenths of a second.
        """
        if not self.lives:
            return False
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        said = 0
        for line in status.splitlines():
            name, _, mask = line.partition(":")
            if name in ("SigIgn", "SigCgt"):
                said |= int(mask, 16)
        return bool(said >> (number - 1) & 1)

    async def ended(self) -> None:
        """Wait for the process; end it by force after its grace."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(oracles.GRACE_S + 1.0):
                await self.process.wait()
                return
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask whether the router welcomes connections."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports[1]
                )
                with contextlib.closing(writer):
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                    line = await reader.readline()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


@attrs.define(eq=False)
class Upstream:
    """An upstream behind a proxy."""

    standin: soaking.Upstream
    proxy: proxies.Proxy
    stack: contextlib.AsyncExitStack


@attrs.define(eq=False)
class Site:
    """All that runs in one soak.

    Parameters
    ----------
    rng : random.Random
        For choices.
    folder : pathlib.Path
        For settings and logs.
    record : records.Record
        What is seen.
    watch_wait_s : float
        Seconds for which routers' watches of the store wait.
    """

    rng: random.Random
    folder: pathlib.Path
    record: records.Record
    watch_wait_s: float
    store: standins.Store = attrs.field(factory=standins.Store)
    store_proxy: proxies.Proxy | None = None
    routers: list[Router] = attrs.field(factory=list)
    upstreams: list[Upstream] = attrs.field(factory=list)
    generation: int = 0
    version: int = 0
    shared: soaking.SharedState = attrs.field(init=False)
    part_store: soaking.Upstream = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.shared = soaking.SharedState(self.record)
        self.part_store = soaking.Upstream(self.shared, "kept", "za")

    @contextlib.asynccontextmanager
    async def running(
        self, routers: int, engines: int, desks: int
    ) -> AsyncIterator["Site"]:
        """Run everything during the block."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self.store.running())
            self.store_proxy = await stack.enter_async_context(
                proxies.proxied(self.store.address)
            )
            await stack.enter_async_context(self.part_store.running())
            stack.push_async_callback(self._stop_upstreams)
            for number in range(engines):
                await self.add_upstream(
                    soaking.ENGINES,
                    "zab"[number % 3],
                    soaking.SOFTWARE_VERSIONS[number % 2],
                )
            for number in range(desks):
                await self.add_upstream(
                    soaking.PLAIN_SERVICE, "zab"[number % 3]
                )
            self.change_document()
            self.name_weights()
            stack.push_async_callback(self._end_routers)
            given = stack.enter_context(ports.reserved(3 * routers))
            await self._start_routers(
                [given[3 * n : 3 * n + 3] for n in range(routers)]
            )
            yield self

    # What the operator does.

    def change_document(self) -> None:
        """Put the next document in force."""
        self.generation += 1
        document = soaking.configuration(
            self.generation, self.part_store.address
        )
        self.store.put(soaking.DOCUMENT_KIND, soaking.DOCUMENT_NAME, document)
        self.record.acknowledged[self.generation] = time.monotonic()

    def name_weights(self) -> None:
        """Name new weights."""
        self.version += 1
        self.store.put(
            soaking.WEIGHTS_KIND,
            soaking.MODEL,
            soaking.weights_spec(self.version),
        )

    # Upstreams.

    async def add_upstream(
        self,
        service: str,
        zone: str,
        software_version: str = soaking.SOFTWARE_VERSIONS[0],
        *,
        has_proxy: bool = True,
    ) -> Upstream:
        """Start an upstream and register it, at its proxy's address or own."""
        stack = contextlib.AsyncExitStack()
        standin = soaking.Upstream(self.shared, service, zone)
        standin.software_version = software_version
        standin.version = max(1, self.version)
        await stack.enter_async_context(standin.running())
        proxy = await stack.enter_async_context(
            proxies.proxied(standin.address)
        )
        standin.proxy_address = proxy.address if has_proxy else standin.address
        found = Upstream(standin, proxy, stack)
        self.upstreams.append(found)
        standin.on_loaded = lambda: self._register_if_there(found)
        self.register(found)
        return found

    def _register_if_there(self, upstream: Upstream) -> None:
        # Its load may end after its process has.
        if upstream in self.upstreams:
            self.register(upstream)

    def register(self, upstream: Upstream) -> None:
        """Write an upstream's entry."""
        standin = upstream.standin
        self.store.put(
            soaking.UPSTREAM_KIND, standin.incarnation, standin.entry()
        )

    def leave(self, upstream: Upstream) -> None:
        """Let an upstream announce that it leaves."""
        upstream.standin.state = "draining"
        self.register(upstream)
        name = upstream.standin.incarnation
        self.record.leaving[name] = time.monotonic()

    async def end_upstream(self, upstream: Upstream) -> None:
        """Let an upstream's process end, and its entry go."""
        if upstream not in self.upstreams:
            return
        self.upstreams.remove(upstream)
        upstream.standin.end_runs()
        await upstream.stack.aclose()
        standin = upstream.standin
        self.store.delete(soaking.UPSTREAM_KIND, standin.incarnation)

    async def _stop_upstreams(self) -> None:
        for upstream in self.upstreams:
            upstream.standin.end_runs()
            await upstream.stack.aclose()

    # Routers.

    async def _start_routers(self, given: list[list[int]]) -> None:
        seeds = ",".join(f"127.0.0.1:{each[2]}" for each in given[:3])
        for number, of_router in enumerate(given):
            name = f"r{number}"
            path = self.folder / f"{name}.ini"
            text = textwrap.dedent(SETTINGS).format(
                name=name,
                zone="zab"[number % 3],
                ports=of_router,
                seeds=seeds,
                store=self.store_proxy.address,
                grace_s=oracles.GRACE_S,
                memory_mb=MEMORY_MB,
                watch_wait_s=self.watch_wait_s,
            )
            path.write_text(text)
            log = self.folder / f"{name}.log"
            self.routers.append(Router(name, of_router, path, log))
        for router in self.routers:
            await router.start()
        async with asyncio.timeout(START_S):
            for router in self.routers:
                while router.lives and not await router.is_ready():
                    await asyncio.sleep(0.05)

    async def _end_routers(self) -> None:
        for router in self.routers:
            router.expected_end = True
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
