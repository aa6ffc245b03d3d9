"""Export and import of hot prefixes' KV cache through a shared store."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import aiohttp
import cachetools

from toucanrudder.document import model
from toucanrudder.http1 import answer_room
from toucanrudder.observability import metrics
from toucanrudder.placement import imports
from toucanrudder.placement import rendezvous
from toucanrudder.placement import types
from toucanrudder.prefix import request_rates
from toucanrudder.upstreams import call_answers

#: Requests a second, over all routers, from which a prefix is worth
#: exporting: below it the copy is out of use before it is imported.
HOT_RATE_PER_S = 0.2

#: A prefix is exported again after this time, as the store may drop blocks.
EXPORT_INTERVAL_S = 60.0

#: Time for which a block that the store lacked is not requested again.
ABSENT_TTL_S = 10.0

#: Keys remembered as exported, and as absent from the store.
MAX_CACHED_KEYS = 8192

EXPORT_TIMEOUT_S = 10.0

#: Multiple of an import's expected time after which it is abandoned; the
#: request then goes on without it.
IMPORT_TIMEOUT_FACTOR = 3.0

#: Largest answer to an order, and what all of them may occupy while they are
#: read.
MAX_ANSWER_BYTES = 65_536
MAX_ANSWERS_BYTES = 1_048_576

CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    KeyError,
    # A body that is no object, or a number beyond all integers.
    TypeError,
    OverflowError,
)


def _count(event: str, amount: int = 1) -> None:
    metrics.counter(
        "toucanrudder_kept_cache", "Imports and exports of kept KV cache"
    ).add(amount, {"event": event})


class KVTransferController:
    """Orders engines to export hot prefixes and to import them again.

    Routers need not agree on which prefixes are stored: a hot prefix is
    presumed to be, and the answer to an import says how much of it was.
    Each hot prefix is exported by order of one router, chosen by
    rendezvous hashing, so that eight routers do not order eight copies.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For orders to engines.
    router : str
        Name of this router.
    prefix_rates : request_rates.PrefixRates
        Request rates of prefixes.
    routers : callable
        Returns the names of the live routers.
    clock : callable
        Monotonic time.
    cost : imports.ImportCost
        Expected cost of imports.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        router: str,
        prefix_rates: request_rates.PrefixRates,
        routers: Callable[[], Iterable[str]],
        clock: Callable[[], float],
        cost: imports.ImportCost = imports.ImportCost(),
    ):
        self._session = session
        self._router = router
        self._prefix_rates = prefix_rates
        self._routers = routers
        self._clock = clock
        self._cost = cost
        self._absent = cachetools.TTLCache(
            MAX_CACHED_KEYS, ABSENT_TTL_S, clock
        )
        self._exported = cachetools.TTLCache(
            MAX_CACHED_KEYS, EXPORT_INTERVAL_S, clock
        )
        self._answers = answer_room.AnswerRoom(
            MAX_ANSWER_BYTES, MAX_ANSWERS_BYTES
        )
        self._pending_imports: dict[tuple[str, bytes], asyncio.Future] = {}

    def hot_keys(
        self, keys: Sequence[bytes], now_s: float
    ) -> tuple[bytes, ...]:
        """Return those of the keys that are worth exporting."""
        rates = self._prefix_rates.rates(keys, now_s)
        return tuple(key for key in keys if rates[key] >= HOT_RATE_PER_S)

    def plan_import(
        self,
        decision: types.Decision,
        query: types.Query,
        prefill_tokens_per_s: float,
        now_s: float,
    ) -> imports.Import | None:
        """Return what to import before a request, or None.

        Parameters
        ----------
        decision : types.Decision
            The chosen engine and its expected cache hit.
        query : types.Query
            The request.
        prefill_tokens_per_s : float
            The engine's prefill rate.
        now_s : float
            Present monotonic time.
        """
        if not decision.incarnation:
            return None
        stored = [
            key
            for key in self.hot_keys(query.prefix_keys, now_s)
            if key not in self._absent
        ]
        view = types.UpstreamView(
            name=decision.upstream,
            zone="",
            incarnation=decision.incarnation,
            weights_version="",
            prefill_tokens_per_s=prefill_tokens_per_s,
            expected_cached_tokens=decision.expected_hit_tokens,
        )
        return imports.plan_import(view, query, stored, self._cost)

    async def import_blocks(
        self, upstream: model.Upstream, plan: imports.Import, store: str
    ) -> int:
        """Have the engine import blocks; return the imported tokens.

        Concurrent requests for the same prefix share one import.  Returns
        0 on failure; the engine then computes the prefix.
        """
        import_key = (plan.incarnation, plan.blocks[-1])
        pending = self._pending_imports.get(import_key)
        if pending is not None:
            return await asyncio.shield(pending)
        task = asyncio.ensure_future(
            self._import_blocks(upstream, plan, store)
        )
        self._pending_imports[import_key] = task
        task.add_done_callback(
            lambda _: self._pending_imports.pop(import_key, None)
        )
        return await asyncio.shield(task)

    async def _import_blocks(self, upstream, plan, store) -> int:
        timeout_s = IMPORT_TIMEOUT_FACTOR * self._cost.duration_s(plan.tokens)
        try:
            answer = await self._call_engine(
                upstream, "import", plan.blocks, store, timeout_s
            )
            tokens = int(answer["imported_tokens"])
        except CALL_ERRORS:
            _count("import_failed")
            tokens = 0
        imported = tokens // (plan.tokens // len(plan.blocks))
        for key in plan.blocks[imported:]:
            self._absent[key] = True
        _count("imported_tokens", tokens)
        return tokens

    def keys_to_export(
        self, keys: Sequence[bytes], now_s: float
    ) -> tuple[bytes, ...]:
        """Return the keys that this router should order exported now."""
        hot = self.hot_keys(keys, now_s)
        if not hot or hot[-1] in self._exported:
            return ()
        names = tuple(self._routers())
        if rendezvous.ranked(hot[-1], names)[:1] != [self._router]:
            return ()
        return hot

    async def export(
        self, upstream: model.Upstream, keys: tuple[bytes, ...], store: str
    ) -> None:
        """Have the engine copy the blocks of these keys to the store."""
        self._exported[keys[-1]] = True
        try:
            await self._call_engine(
                upstream, "export", keys, store, EXPORT_TIMEOUT_S
            )
            _count("exported")
        except CALL_ERRORS:
            self._exported.pop(keys[-1], None)
            _count("export_failed")

    async def _call_engine(
        self, upstream, call: str, keys, store: str, timeout_s: float
    ) -> dict:
        async with self._session.post(
            f"http://{upstream.address}/cache/{call}",
            json={"blocks": [key.hex() for key in keys], "store": store},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return await call_answers.read_json(response, self._answers)
