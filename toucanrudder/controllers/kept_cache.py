"""Has engines export hot prefixes, and import them instead of computing."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import aiohttp
import cachetools

from toucanrudder.document import model
from toucanrudder.observability import metrics
from toucanrudder.placement import imports
from toucanrudder.placement import rendezvous
from toucanrudder.placement import types
from toucanrudder.prefix import request_rates

#: Requests a second, over all routers, from which a prefix is worth
#: keeping: below it the copy is gone from use before it is fetched.
HOT_PER_S = 0.2

#: A prefix is exported again after this time; the store may drop blocks.
EXPORT_EVERY_S = 60.0

#: Time for which a prefix is not asked for after the store lacked it.
ABSENT_S = 10.0

#: Entries remembered of either kind.
MAX_REMEMBERED = 8192

EXPORT_TIMEOUT_S = 10.0

#: An import that takes this many times what it should is given up: the
#: request then goes on as if there were no kept cache.
PATIENCE = 3.0


_FAILED = (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError)


def _count(event: str, amount: int = 1) -> None:
    metrics.counter(
        "toucanrudder_kept_cache", "Imports and exports of kept KV cache"
    ).add(amount, {"event": event})


class KeptCache:
    """The store of kept KV cache as this router uses it.

    Which prefixes are kept need not be agreed: a hot prefix is presumed to
    be, and the answer to an import says what there was.  Each hot prefix
    is exported at the word of one router, the one that rendezvous hashing
    names, so that eight routers do not order eight copies.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For orders to engines.
    router : str
        Name of this router.
    hot : request_rates.PrefixRates
        Rates of prefixes.
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
        hot: request_rates.PrefixRates,
        routers: Callable[[], Iterable[str]],
        clock: Callable[[], float],
        cost: imports.ImportCost = imports.ImportCost(),
    ):
        self._session = session
        self._router = router
        self._heat = hot
        self._routers = routers
        self._clock = clock
        self._cost = cost
        self._absent = cachetools.TTLCache(MAX_REMEMBERED, ABSENT_S, clock)
        self._exported = cachetools.TTLCache(
            MAX_REMEMBERED, EXPORT_EVERY_S, clock
        )
        self._importing: dict[tuple[str, bytes], asyncio.Future] = {}

    def hot_keys(
        self, keys: Sequence[bytes], now_s: float
    ) -> tuple[bytes, ...]:
        """Return those of the keys that are worth keeping."""
        rates = self._heat.rates(keys, now_s)
        return tuple(key for key in keys if rates[key] >= HOT_PER_S)

    def decide(
        self,
        decision: types.Decision,
        query: types.Query,
        speed_tokens_per_s: float,
        now_s: float,
    ) -> imports.Import | None:
        """Return what to import before a request, or None.

        Parameters
        ----------
        decision : types.Decision
            Where the request goes, and what is expected to be cached.
        query : types.Query
            The request.
        speed_tokens_per_s : float
            The engine's speed of prefill.
        now_s : float
            Present monotonic time.
        """
        if not decision.incarnation:
            return None
        kept = [
            key
            for key in self.hot_keys(query.prefix_keys, now_s)
            if key not in self._absent
        ]
        view = types.UpstreamView(
            name=decision.upstream,
            zone="",
            incarnation=decision.incarnation,
            weights_version="",
            prefill_tokens_per_s=speed_tokens_per_s,
            expected_cached_tokens=decision.expected_hit_tokens,
        )
        return imports.plan_import(view, query, kept, self._cost)

    async def fetch(
        self, upstream: model.Upstream, order: imports.Import, store: str
    ) -> int:
        """Have the engine import; return the tokens that it got.

        Requests for the same prefix that come meanwhile wait for the same
        import.  A failure gives 0: the prefix is computed.
        """
        place = (order.incarnation, order.blocks[-1])
        under_way = self._importing.get(place)
        if under_way is not None:
            return await asyncio.shield(under_way)
        task = asyncio.ensure_future(self._fetch(upstream, order, store))
        self._importing[place] = task
        task.add_done_callback(lambda _: self._importing.pop(place, None))
        return await asyncio.shield(task)

    async def _fetch(self, upstream, order, store) -> int:
        timeout_s = PATIENCE * self._cost.duration_s(order.tokens)
        try:
            answer = await self._order(
                upstream, "import", order.blocks, store, timeout_s
            )
            tokens = int(answer["imported_tokens"])
        except _FAILED:
            _count("import_failed")
            tokens = 0
        got = tokens // (order.tokens // len(order.blocks))
        for key in order.blocks[got:]:
            self._absent[key] = True
        _count("imported_tokens", tokens)
        return tokens

    def to_export(
        self, keys: Sequence[bytes], now_s: float
    ) -> tuple[bytes, ...]:
        """Return the keys that this router should have exported now."""
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
        """Have the engine copy its blocks of these keys to the store."""
        self._exported[keys[-1]] = True
        try:
            await self._order(
                upstream, "export", keys, store, EXPORT_TIMEOUT_S
            )
            _count("exported")
        except _FAILED:
            self._exported.pop(keys[-1], None)
            _count("export_failed")

    async def _order(
        self, upstream, call: str, keys, store: str, timeout_s: float
    ) -> dict:
        async with self._session.post(
            f"http://{upstream.address}/cache/{call}",
            json={"blocks": [key.hex() for key in keys], "store": store},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            response.raise_for_status()
            return await response.json()
