"""A whole system on loopback: stand-ins and routers in one process."""

from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import socket
import tempfile

import attrs

from toucanrudder import settings
from toucanrudder.document import model
from toucanrudder.document import serialisation
from toucanrudder.document import validation
from toucanrudder.router import assembly
from toucanrudder.router import daemon
from toucanrudder.router import state as states
from toucanrudder.standins import engine as engines
from toucanrudder.standins import platform as platforms
from toucanrudder.standins import service as services

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "demo.json"
ADMIN_TOKEN = "demo-operator-token"
FLEET_KEY = "demo-fleet-key-0123456789"
ROUTERS = ("router-1", "router-2")

#: Slow enough that waiting for a prompt shows, quick enough for a demo.
PREFILL_TOKENS_PER_S = 20_000.0
DECODE_S_PER_TOKEN = 0.004

_SETTINGS = """
[router]
name = {name}
zone = {zone}
port = 0
admin_port = 0
peer_port = {peer_port}
peer_seeds = {seeds}
fleet_key = {fleet_key}
drain_s = 0.2
[store]
address = {store}
[admin]
token = {admin_token}
[logging]
format = text
level = warning
"""


@attrs.frozen
class Router:
    """A running router and where it listens."""

    name: str
    base_url: str
    admin_url: str
    state: states.RouterState = attrs.field(repr=False)


@attrs.frozen
class System:
    """Everything that runs, and how to reach it."""

    routers: tuple[Router, ...]
    services: tuple[services.Service, ...]
    platform: platforms.Platform
    document: model.Document

    def api_key(self, organisation: str) -> str:
        """Return the API key of an organisation of the example."""
        return f"example-key-{organisation}"

    def as_line(self) -> str:
        """Return one JSON line that tells how to use the system."""
        return json.dumps(
            {
                "ready": True,
                "base_urls": [each.base_url for each in self.routers],
                "admin_urls": [each.admin_url for each in self.routers],
                "admin_token": ADMIN_TOKEN,
                "api_keys": {
                    each.name: self.api_key(each.name)
                    for each in self.document.organisations
                },
                "models": [each.name for each in self.document.models],
                "services": [each.name for each in self.document.services],
            }
        )


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _moved(document: model.Document, upstreams: dict) -> model.Document:
    return attrs.evolve(
        document,
        upstreams=tuple(
            attrs.evolve(each, address=upstreams[each.name].address)
            for each in document.upstreams
        ),
    )


async def _opened_upstreams(
    stack: contextlib.AsyncExitStack, document: model.Document
) -> dict[str, engines.Engine | services.Service]:
    weights = ",".join(
        f"{each.name}={each.weights_version}" for each in document.models
    )
    opened = {}
    for upstream in document.upstreams:
        if upstream.kind == model.ENGINE:
            opening = engines.opened(
                name=upstream.name,
                models=weights,
                slots=upstream.slots,
                prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
                decode_s_per_token=DECODE_S_PER_TOKEN,
                checks_fencing=upstream.checks_fencing,
            )
        else:
            opening = services.opened(name=upstream.name)
        opened[upstream.name] = await stack.enter_async_context(opening)
    return opened


def _settings(
    name: str, zone: str, port: int, seeds: list[int], store: str
) -> str:
    return _SETTINGS.format(
        name=name,
        zone=zone,
        peer_port=port,
        seeds=",".join(f"127.0.0.1:{seed}" for seed in seeds),
        fleet_key=FLEET_KEY,
        store=store,
        admin_token=ADMIN_TOKEN,
    )


async def _opened_router(
    stack: contextlib.AsyncExitStack, name: str, text: str
) -> Router:
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, f"{name}.ini")
        path.write_text(text, encoding="utf-8")
        conf = settings.load(str(path))
    state = await stack.enter_async_context(assembly.open_state(conf))
    listeners = await stack.enter_async_context(daemon.serving(state))
    await state.configuration.configured.wait()
    return Router(
        name=name,
        base_url=f"http://{listeners['address'].address}",
        admin_url=f"http://{listeners['admin_address'].address}",
        state=state,
    )


@contextlib.asynccontextmanager
async def opened() -> AsyncIterator[System]:
    """Run the system of ``examples/demo.json`` while the block runs."""
    example = validation.parse(json.loads(EXAMPLE.read_text("utf-8")))
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(platforms.opened())
        upstreams = await _opened_upstreams(stack, example)
        document = _moved(example, upstreams)
        platform.store.create(
            "configuration",
            "current",
            serialisation.accepted_to_json(
                model.Accepted(1, "demo", "demo", document)
            ),
        )
        ports = [free_port() for _ in ROUTERS]
        zones = [each.zone for each in document.upstreams]
        routers = [
            await _opened_router(
                stack,
                name,
                _settings(
                    name,
                    zones[index],
                    ports[index],
                    [port for port in ports if port != ports[index]],
                    platform.address,
                ),
            )
            for index, name in enumerate(ROUTERS)
        ]
        yield System(
            routers=tuple(routers),
            services=tuple(
                each
                for each in upstreams.values()
                if isinstance(each, services.Service)
            ),
            platform=platform,
            document=document,
        )
        for router in routers:
            await daemon.drain(router.state)
