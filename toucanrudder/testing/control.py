"""Routers under an operator's hands, for tests and measurements."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp

from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import processes

WITHIN_S = 60.0
STEP_S = 0.02


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until the condition holds; TimeoutError after `WITHIN_S`."""
    async with asyncio.timeout(WITHIN_S):
        # The state is another process's: nothing here could set an event.
        while not await condition():
            await asyncio.sleep(STEP_S)


async def start_router(fleet: fleets.Fleet, **settings: dict) -> fleets.Router:
    """Start a router whose seeds are the routers that run already.

    Parameters
    ----------
    fleet : fleets.Fleet
        Where it belongs.
    **settings : dict
        Settings of this router by section, over the fleet's.
    """
    before = fleet.plan.settings
    seeds = ",".join(
        router.process.ready["peer_address"]
        for router in fleet.routers
        if router.process.process.returncode is None
    )
    joined = {section: dict(values) for section, values in before.items()}
    joined.setdefault("router", {})["peer_seeds"] = seeds
    for section, values in settings.items():
        joined[section] = joined.get(section, {}) | values
    fleet.plan.settings = joined
    try:
        return await fleet.start_router()
    finally:
        fleet.plan.settings = before


async def restart(fleet: fleets.Fleet, index: int) -> fleets.Router:
    """Start a router's process anew, from the same settings."""
    name = fleet.routers[index].name
    process = await fleet.stack.enter_async_context(
        processes.started("router", str(fleet.directory / f"{name}.ini"))
    )
    fleet.routers[index] = fleets.Router(name, process)
    return fleet.routers[index]


class Operator:
    """Calls of one router's admin API."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        router: fleets.Router,
        name: str = "ann",
    ):
        self._session = session
        self._url = router.admin_url
        self._headers = {
            "Authorization": f"Bearer {fleets.ADMIN_TOKEN}",
            "X-Operator": name,
        }

    async def get(self, path: str) -> dict:
        """Return the answer to a read."""
        async with self._session.get(
            self._url + path, headers=self._headers
        ) as response:
            return await response.json()

    async def metrics(self) -> str:
        """Return the Prometheus page."""
        async with self._session.get(
            f"{self._url}/metrics", headers=self._headers
        ) as response:
            return await response.text()

    async def apply(
        self, document: dict, expected_generation: int
    ) -> tuple[int, dict]:
        """Apply a document; return the status and the answer."""
        body = {
            "expected_generation": expected_generation,
            "document": document,
        }
        async with self._session.post(
            f"{self._url}/apply", json=body, headers=self._headers
        ) as response:
            return response.status, await response.json()

    async def generation(self) -> int:
        """Return the generation in force at this router."""
        return (await self.get("/configuration"))["generation"]


async def all_at(fleet: fleets.Fleet, generation: int) -> None:
    """Wait until the generation is in force at all running routers."""
    for router in fleet.routers:
        if router.process.process.returncode is None:
            operator = Operator(fleet.session, router)

            async def there(operator=operator) -> bool:
                return await operator.generation() == generation

            await until(there)


def changed(document: dict, requests_per_s: float) -> dict:
    """Return a document that differs in one organisation's rate."""
    first, *others = document["organisations"]
    first = first | {"requests_per_s": requests_per_s}
    return document | {"organisations": [first, *others]}


async def stored(fleet: fleets.Fleet, kind: str, name: str) -> dict | None:
    """Return the value of an object in the platform's store."""
    url = f"{fleet.platform.url}/objects/{kind}/{name}"
    async with fleet.session.get(url) as response:
        if response.status != 200:
            return None
        return (await response.json())["value"]


async def post(fleet: fleets.Fleet, path: str) -> None:
    """Tell the platform stand-in to remember or restore its state."""
    async with fleet.session.post(fleet.platform.url + path) as response:
        response.raise_for_status()


async def ask(
    fleet: fleets.Fleet, router: fleets.Router, prompt: str = "hello"
) -> tuple[int, dict]:
    """Send one whole request; return the status and the answer."""
    body = {"model": fleets.MODEL, "prompt": prompt, "max_tokens": 2}
    async with fleet.session.post(
        f"{router.url}/v1/completions",
        json=body,
        headers=fleets.authorization(),
    ) as response:
        return response.status, await response.json()
