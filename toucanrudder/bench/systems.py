"""A whole deployment as processes on loopback."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import hashlib
import pathlib
import tempfile
import time

import aiohttp
import attrs
import tenacity

from toucanrudder.bench import deployments
from toucanrudder.document import model
from toucanrudder.document import serialisation
from toucanrudder.testing import ports
from toucanrudder.testing import processes

FLEET_KEY = "bench-fleet-key-0123456789"
ADMIN_TOKEN = "bench-operator-token"
HOST = "127.0.0.1"
EVENT_LAG_S = 0.05
LOAD_LAG_S = 0.1
# A rate limit of twice its share leaves an organisation room for bursts
# and stops a flood.
LIMIT_PER_SHARE = 2.0
POLL_S = 0.05
CALL_TIMEOUT = aiohttp.ClientTimeout(total=20.0)

_SETTINGS = """\
[router]
name = {name}
zone = {zone}
port = {port}
admin_port = {admin_port}
peer_port = {peer_port}
peer_seeds = {peer_seeds}
fleet_key = {fleet_key}
[store]
address = {store}
[admin]
token = {admin_token}
[logging]
level = error
[policy]
placement = {placement}
seed = {seed}
"""


@attrs.define(eq=False)
class Instance:
    """A process that can be killed and started again at its address.

    Parameters
    ----------
    name, address : str
        Who and where.
    alive : bool
        Whether the balancer counts it among the live instances.
    opening : callable
        Returns the context manager that runs the process.
    """

    name: str
    address: str
    opening: object
    admin_address: str = ""
    alive: bool = False
    process: processes.Process | None = None
    past_journals: list[dict] = attrs.field(factory=list)
    past_metrics: list[str] = attrs.field(factory=list)

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.address}"


@attrs.define(eq=False)
class System:
    """The processes of one run.

    Parameters
    ----------
    deployment : deployments.Deployment
        What it stands for.
    session : aiohttp.ClientSession
        For calls of the bench itself.
    platform : processes.Process
        The platform stand-in.
    engines, services, routers : list of Instance
        The rest.
    """

    deployment: deployments.Deployment
    session: aiohttp.ClientSession
    platform: processes.Process
    engines: list[Instance]
    services: list[Instance]
    routers: list[Instance]
    _stack: contextlib.AsyncExitStack = attrs.field(
        factory=contextlib.AsyncExitStack
    )

    async def start(self, instances: list[Instance]) -> None:
        """Start processes, all at once."""
        await asyncio.gather(*(self._start(each) for each in instances))

    async def _start(self, instance: Instance) -> None:
        instance.process = await self._stack.enter_async_context(
            instance.opening()
        )
        instance.alive = True

    async def kill_engine(self, index: int) -> None:
        """Kill an engine; what its journal held so far is kept."""
        engine = self.engines[index]
        journal = await self._json(f"{engine.url}/journal")
        engine.past_journals.append(journal | {"ended_s": time.time()})
        await engine.process.kill()

    async def restart_engine(self, index: int) -> None:
        """Start a killed engine at its old address, its cache empty."""
        await self._start(self.engines[index])

    async def kill_router(self, index: int) -> None:
        """Kill a router; what it had counted so far is kept."""
        router = self.routers[index]
        router.past_metrics.append(await self._metrics(router))
        router.alive = False
        await router.process.kill()

    async def restart_router(self, index: int) -> None:
        """Start a killed router at its old address."""
        await self._start(self.routers[index])

    async def engine_faults(self, faults: dict) -> None:
        """Set faults of all engines."""
        for engine in self.engines:
            await self._put(f"{engine.url}/faults", faults)

    async def store_faults(self, fault: dict) -> None:
        """Set the platform's fault."""
        await self._put(f"{self.platform.url}/faults", fault)

    async def apply_weights(self, version: str) -> None:
        """Apply a document that names other weights, as an operator."""
        addresses = [each.address for each in self.engines]
        data = serialisation.to_json(
            document(
                self.deployment,
                addresses,
                [each.address for each in self.services],
                weights_version=version,
            )
        )
        url = f"http://{self.routers[0].admin_address}/apply"
        async with self.session.post(
            url,
            json={"expected_generation": 1, "document": data},
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
            timeout=CALL_TIMEOUT,
        ) as response:
            response.raise_for_status()

    async def store_counts(self) -> dict:
        """Return the platform's counts of calls."""
        return await self._json(f"{self.platform.url}/counts")

    async def journals(self, instance: Instance) -> list[dict]:
        """Return the journals of an upstream's processes, oldest first."""
        last = await self._json(f"{instance.url}/journal")
        return [*instance.past_journals, last]

    async def metrics(self, router: Instance) -> list[str]:
        """Return the metrics pages of a router's processes."""
        return [*router.past_metrics, await self._metrics(router)]

    async def _metrics(self, router: Instance) -> str:
        url = f"http://{router.admin_address}/metrics"
        async with self.session.get(url, timeout=CALL_TIMEOUT) as response:
            return await response.text()

    async def _json(self, url: str) -> dict:
        async with self.session.get(url, timeout=CALL_TIMEOUT) as response:
            response.raise_for_status()
            return await response.json()

    async def _put(self, url: str, data: dict) -> None:
        async with self.session.put(
            url, json=data, timeout=CALL_TIMEOUT
        ) as response:
            response.raise_for_status()


def document(
    deployment: deployments.Deployment,
    engine_addresses: list[str],
    service_addresses: list[str],
    weights_version: str = deployments.FIRST_WEIGHTS,
) -> model.Document:
    """Return the configuration document of a deployment."""
    engines = tuple(
        model.Upstream(
            name=f"engine-{index + 1}",
            kind=model.ENGINE,
            address=address,
            zone=_zone(deployment, index),
            pool="engines",
            models=(deployments.MODEL,),
            slots=deployment.slots,
        )
        for index, address in enumerate(engine_addresses)
    )
    services = tuple(
        model.Upstream(
            name=f"service-{index + 1}",
            kind=model.SERVICE,
            address=address,
            zone=_zone(deployment, index),
            pool=deployment.service,
        )
        for index, address in enumerate(service_addresses)
    )
    return model.Document(
        organisations=_organisations(deployment),
        models=(model.Model(deployments.MODEL, weights_version),),
        upstreams=engines + services,
        services=(model.Service(deployment.service),),
        policy=model.Policy(
            wait_weight=deployment.wait_weight,
            recompute_weight=deployment.recompute_weight,
            zone_hop_s=deployment.zone_hop_s,
            weight_loads_at_once=deployment.weight_loads_at_once,
        ),
    )


def _organisations(
    deployment: deployments.Deployment,
) -> tuple[model.Organisation, ...]:
    per_s = deployment.requests_per_s + deployment.calls_per_s
    return tuple(
        model.Organisation(
            name=deployments.organisation(index),
            api_key_sha256s=(
                hashlib.sha256(
                    deployments.api_key(index).encode()
                ).hexdigest(),
            ),
            weight=share * 10,
            requests_per_s=LIMIT_PER_SHARE * share * per_s + 1,
            burst_requests=LIMIT_PER_SHARE * share * per_s + 4,
        )
        for index, share in enumerate(deployments.ORGANISATION_SHARES)
    )


def _zone(deployment: deployments.Deployment, index: int) -> str:
    return deployment.zones[index % len(deployment.zones)]


def _free_address() -> str:
    return f"{HOST}:{ports.free()}"


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _engine(
    deployment: deployments.Deployment,
    index: int,
    platform: str,
    lag_s: float,
) -> Instance:
    name, address = f"engine-{index + 1}", _free_address()

    def opening():
        return processes.standin(
            "engine",
            name=name,
            port=_port(address),
            models=f"{deployments.MODEL}={deployments.FIRST_WEIGHTS}",
            slots=deployment.slots,
            capacity_blocks=deployment.capacity_blocks,
            prefill_tokens_per_s=deployment.prefill_tokens_per_s,
            decode_s_per_token=deployment.decode_s_per_token,
            event_lag_s=lag_s or EVENT_LAG_S,
            load_lag_s=lag_s or LOAD_LAG_S,
            platform=platform,
        )

    return Instance(name, address, opening)


def _service(index: int) -> Instance:
    name, address = f"service-{index + 1}", _free_address()

    def opening():
        return processes.standin("service", name=name, port=_port(address))

    return Instance(name, address, opening)


def _routers(
    deployment: deployments.Deployment,
    policy: str,
    seed: int,
    store: str,
    directory: str,
) -> list[Instance]:
    count = deployments.ROUTERS
    peers = [_free_address() for _router in range(count)]
    routers = []
    for index in range(count):
        name = f"router-{index + 1}"
        address, admin_address = _free_address(), _free_address()
        path = pathlib.Path(directory, f"{name}.ini")
        path.write_text(
            _SETTINGS.format(
                name=name,
                zone=_zone(deployment, index),
                port=_port(address),
                admin_port=_port(admin_address),
                peer_port=_port(peers[index]),
                peer_seeds=",".join(peers[:index] + peers[index + 1 :]),
                fleet_key=FLEET_KEY,
                store=store,
                admin_token=ADMIN_TOKEN,
                placement=policy,
                seed=1 + seed * count + index,
            )
        )
        routers.append(_router(name, address, admin_address, str(path)))
    return routers


def _router(
    name: str, address: str, admin_address: str, path: str
) -> Instance:
    def opening():
        return processes.started("router", path)

    return Instance(name, address, opening, admin_address=admin_address)


@contextlib.asynccontextmanager
async def opened(
    deployment: deployments.Deployment,
    policy: str,
    seed: int,
    lag_s: float = 0.0,
) -> AsyncIterator[System]:
    """Run a deployment while the block runs.

    Parameters
    ----------
    deployment : deployments.Deployment
        What is run.
    policy : str
        Placement policy of the routers.
    seed : int
        For the routers' random numbers.
    lag_s : float
        Lag of load reports and cache events; 0 takes the usual one.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        platform = await stack.enter_async_context(
            processes.standin("platform")
        )
        system = System(
            deployment,
            session,
            platform,
            [
                _engine(deployment, index, platform.address, lag_s)
                for index in range(deployment.engines)
            ],
            [_service(index) for index in range(deployment.services)],
            _routers(deployment, policy, seed, platform.address, directory),
        )
        await stack.enter_async_context(system._stack)
        await _configure(system)
        await system.start(system.engines + system.services + system.routers)
        await _until_ready(system)
        yield system


async def _configure(system: System) -> None:
    accepted = model.Accepted(
        1,
        "bench",
        "bench",
        document(
            system.deployment,
            [each.address for each in system.engines],
            [each.address for each in system.services],
        ),
    )
    async with system.session.put(
        f"{system.platform.url}/objects/configuration/current",
        json=serialisation.accepted_to_json(accepted),
        headers={"If-None-Match": "*"},
    ) as response:
        response.raise_for_status()


async def _until_ready(system: System) -> None:
    for router in system.routers:
        async for attempt in tenacity.AsyncRetrying(
            retry=tenacity.retry_if_exception_type(aiohttp.ClientError),
            stop=tenacity.stop_after_delay(processes.READY_WITHIN_S),
            wait=tenacity.wait_fixed(POLL_S),
            reraise=True,
        ):
            with attempt:
                await _check_ready(system.session, router)


async def _check_ready(
    session: aiohttp.ClientSession, router: Instance
) -> None:
    async with session.get(f"{router.url}/readyz") as response:
        response.raise_for_status()
