"""Orders to the engine stand-in: weights and role, with fencing."""

import asyncio
import time

import aiohttp
import attrs

from toucanrudder.standins import batch as batching
from toucanrudder.standins import cache as prefix_cache


@attrs.define(eq=False)
class Orders:
    """What the engine has been ordered to be.

    Parameters
    ----------
    weights : dict
        For each model, its weights version and its adapter.
    batch : batching.Batch
        Work that ends before new weights are loaded.
    cache : prefix_cache.PrefixCache
        Cleared when weights change.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    platform : str
        ``IP:port`` of the weight store; empty for none.
    load_s : float
        Time that loading takes beside the fetch.
    """

    weights: dict[str, tuple[str, str]]
    batch: batching.Batch
    cache: prefix_cache.PrefixCache
    checks_fencing: bool
    platform: str
    load_s: float
    role: str = "both"
    fencing: int = 0
    loading: bool = False
    journal: list[dict] = attrs.field(factory=list)
    _loads: set[asyncio.Task] = attrs.field(factory=set)

    def take(self, order: dict) -> bool:
        """Accept an order, or refuse it for its old fencing number."""
        fencing = int(order["fencing"])
        accepted = fencing >= self.fencing or not self.checks_fencing
        self.journal.append(order | {"accepted": accepted})
        if not accepted:
            return False
        self.fencing = max(self.fencing, fencing)
        if order["kind"] == "set_role":
            self.role = order["role"]
        elif self._version(order["model"]) != order["weights_version"]:
            self._start_loading(order["model"], order["weights_version"])
        return True

    def versions(self) -> dict[str, str]:
        """Return the weights version of each model."""
        return {model: version for model, (version, _) in self.weights.items()}

    def _version(self, model: str) -> str:
        return self.weights.get(model, ("", ""))[0]

    def _start_loading(self, model: str, version: str) -> None:
        self.loading = True
        task = asyncio.ensure_future(self._load(model, version))
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)

    async def _load(self, model: str, version: str) -> None:
        await self.batch.until_idle()
        if self.platform:
            url = f"http://{self.platform}/weights/{model}/{version}"
            async with (
                aiohttp.ClientSession(raise_for_status=True) as session,
                session.get(url) as response,
            ):
                async for _ in response.content.iter_any():
                    pass
        await asyncio.sleep(self.load_s)
        self.cache.clear(time.time())
        adapter = self.weights.get(model, ("", ""))[1]
        self.weights[model] = (version, adapter)
        self.loading = False
