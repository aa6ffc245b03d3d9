"""A small deployment of real processes, each behind a proxy where asked."""

import asyncio
from collections.abc import AsyncIterator
import configparser
import contextlib
import hashlib
import pathlib
import tempfile

import aiohttp
import attrs

from toucanrudder.testing import processes
from toucanrudder.testing import proxy

MODEL = "demo"
ORGANISATIONS = ("acme", "birch")
FLEET_KEY = "fleet-key-for-tests"
ADMIN_TOKEN = "admin-token-for-tests"
KEPT_BLOCKS = 64


def api_key(organisation: str) -> str:
    """Return the API key of an organisation."""
    return f"key-of-{organisation}"


def authorization(organisation: str = ORGANISATIONS[0]) -> dict[str, str]:
    """Return the header that identifies the organisation."""
    return {"Authorization": f"Bearer {api_key(organisation)}"}


@attrs.define
class Plan:
    """What to start.

    Parameters
    ----------
    engines, services, routers : int
        How many of each.
    engine_options, service_options, platform_options : dict
        Options of the stand-ins.
    own_options : dict
        Further options of single upstreams by name.
    settings : dict
        Settings of the routers by section, over those for tests.
    document : dict
        Parts of the configuration document that replace the usual ones.
    routes : list of dict
        Routes of the service ``desk``.
    proxied : bool
        Whether routers reach upstreams through their proxies.  Through
        one, connections to a dead upstream open and break; without one
        they are refused.
    """

    engines: int = 1
    services: int = 0
    routers: int = 1
    engine_options: dict = attrs.field(factory=dict)
    own_options: dict[str, dict] = attrs.field(factory=dict)
    service_options: dict = attrs.field(factory=dict)
    platform_options: dict = attrs.field(factory=dict)
    settings: dict[str, dict] = attrs.field(factory=dict)
    document: dict = attrs.field(factory=dict)
    routes: list[dict] = attrs.field(factory=list)
    proxied: bool = True


@attrs.define(eq=False)
class Router:
    """A router's process and how to reach it."""

    name: str
    process: processes.Process

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.address}"

    @property
    def address(self) -> str:
        """``IP:port`` for callers."""
        return self.process.address

    @property
    def admin_url(self) -> str:
        """Base URL of the admin API."""
        return f"http://{self.process.ready['admin_address']}"


@attrs.define(eq=False)
class Fleet:
    """Running processes; each upstream stands behind a proxy of its name."""

    plan: Plan
    session: aiohttp.ClientSession
    stack: contextlib.AsyncExitStack
    directory: pathlib.Path
    platform: processes.Process | None = None
    platform_proxy: proxy.Proxy | None = None
    upstreams: dict[str, processes.Process] = attrs.field(factory=dict)
    proxies: dict[str, proxy.Proxy] = attrs.field(factory=dict)
    routers: list[Router] = attrs.field(factory=list)

    async def start_upstream(self, kind: str, name: str) -> None:
        """Start an upstream, anew if it has run before."""
        options = (
            self.plan.engine_options
            if kind == "engine"
            else self.plan.service_options
        )
        process = await self.stack.enter_async_context(
            processes.standin(
                kind,
                name=name,
                **options,
                **self.plan.own_options.get(name, {}),
            )
        )
        self.upstreams[name] = process
        if name in self.proxies:
            self.proxies[name].target = process.address
            return
        self.proxies[name] = await self.stack.enter_async_context(
            proxy.proxied(process.address)
        )

    async def start_router(self) -> Router:
        """Start one more router."""
        name = f"router-{len(self.routers)}"
        path = self.directory / f"{name}.ini"
        _write_settings(path, self._settings(name))
        process = await self.stack.enter_async_context(
            processes.started("router", str(path))
        )
        router = Router(name, process)
        await self._until_ready(router)
        self.routers.append(router)
        return router

    async def _until_ready(self, router: Router) -> None:
        async with asyncio.timeout(processes.READY_WITHIN_S):
            while True:
                url = f"{router.url}/readyz"
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(0.01)

    async def put_document(self) -> None:
        """Store the configuration document as generation 1."""
        value = {
            "generation": 1,
            "apply_id": "first",
            "author": "test",
            "document": self.document(),
        }
        url = f"{self.platform.url}/objects/configuration/current"
        async with self.session.put(
            url, json=value, headers={"If-None-Match": "*"}
        ) as response:
            response.raise_for_status()

    def document(self) -> dict:
        """Return the configuration document."""
        upstreams = [
            {
                "name": name,
                "kind": "engine" if name.startswith("engine") else "service",
                "address": (
                    proxied if self.plan.proxied else self.upstreams[name]
                ).address,
                "zone": "zone-a",
                "pool": "llm" if name.startswith("engine") else "desk",
                "models": [MODEL] if name.startswith("engine") else [],
            }
            for name, proxied in self.proxies.items()
        ]
        services = [{"name": "desk", "routes": self.plan.routes}]
        document = {
            "organisations": [_organisation(name) for name in ORGANISATIONS],
            "models": [{"name": MODEL, "weights_version": "w1"}],
            "upstreams": upstreams,
            "services": services if self.plan.services else [],
        }
        return document | self.plan.document

    async def put_faults(self, name: str, **faults: object) -> None:
        """Change what goes wrong at an upstream or at ``"platform"``."""
        process = self.platform if name == "platform" else None
        url = (process or self.upstreams[name]).url
        async with self.session.put(f"{url}/faults", json=faults) as response:
            response.raise_for_status()

    async def journal(self, name: str) -> dict:
        """Return an upstream's journal."""
        url = f"{self.upstreams[name].url}/journal"
        async with self.session.get(url) as response:
            return await response.json()

    async def runs(self) -> list[dict]:
        """Return the runs of all upstreams that are up."""
        runs = []
        for name, process in self.upstreams.items():
            if process.process.returncode is None:
                for run in (await self.journal(name))["runs"]:
                    runs.append(run | {"upstream": name})
        return runs

    def _settings(self, name: str) -> dict[str, dict]:
        settings = {
            "router": {
                "name": name,
                "zone": "zone-a",
                "port": 0,
                "admin_port": 0,
                "peer_port": 0,
                "fleet_key": FLEET_KEY,
                "drain_s": 0.1,
                "peer_seeds": ",".join(
                    router.process.ready["peer_address"]
                    for router in self.routers
                ),
            },
            "store": {"address": self.platform_proxy.address},
            "admin": {"token": ADMIN_TOKEN},
            "peers": {"interval_s": 0.1},
            "upstreams": {"load_interval_s": 0.05, "silent_event_s": 0.5},
            "logging": {"format": "text"},
            "policy": {"seed": 7},
        }
        for section, values in self.plan.settings.items():
            settings[section] = settings.get(section, {}) | values
        return settings


def _organisation(name: str) -> dict:
    digest = hashlib.sha256(api_key(name).encode()).hexdigest()
    return {
        "name": name,
        "api_key_sha256s": [digest],
        "requests_per_s": 10000,
        "burst_requests": 10000,
    }


def _write_settings(path: pathlib.Path, settings: dict[str, dict]) -> None:
    parser = configparser.RawConfigParser()
    parser.read_dict(settings)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


@contextlib.asynccontextmanager
async def running(plan: Plan | None = None) -> AsyncIterator[Fleet]:
    """Run a deployment during the block.

    Parameters
    ----------
    plan : Plan, optional
        What to start; one engine and one router by default.

    Yields
    ------
    Fleet
        Once each process serves.
    """
    plan = plan or Plan()
    async with contextlib.AsyncExitStack() as stack:
        session = aiohttp.ClientSession()
        # aiohttp would send a call whose connection broke a second time.
        session._retry_connection = False
        fleet = Fleet(
            plan,
            await stack.enter_async_context(session),
            stack,
            pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory())),
        )
        fleet.platform = await stack.enter_async_context(
            processes.standin("platform", **plan.platform_options)
        )
        fleet.platform_proxy = await stack.enter_async_context(
            proxy.proxied(fleet.platform.address)
        )
        for number in range(plan.engines):
            await fleet.start_upstream("engine", f"engine-{number}")
        for number in range(plan.services):
            await fleet.start_upstream("service", f"service-{number}")
        await fleet.put_document()
        for _ in range(plan.routers):
            await fleet.start_router()
        yield fleet
