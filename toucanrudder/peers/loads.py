"""Load of other routers at each upstream, as last reported by them."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from toucanrudder.peers import messages


@attrs.define
class TotalLoad:
    """Total load of several routers at one upstream.

    Parameters
    ----------
    prefill_tokens : int
        Prompt tokens sent there without a first token yet.
    requests : int
        Requests in flight there.
    """

    prefill_tokens: int = 0
    requests: int = 0


#: Load at an upstream that no router has reported.
NO_LOAD = TotalLoad()


@attrs.frozen
class _RouterLoads:
    loads: tuple[messages.UpstreamLoad, ...]
    received_s: float


class PeerLoads:
    """Load of other routers, summed over those heard recently.

    Totals are updated when a report arrives, not when they are queried:
    each request queries all engines, and only few reports arrive between
    two requests.

    Parameters
    ----------
    max_age_s : float
        Age in seconds above which a router's report is ignored.

    Examples
    --------
    >>> loads = PeerLoads(max_age_s=3.0)
    >>> reported = (messages.UpstreamLoad("e1", 4000, 2),)
    >>> loads.replace("r2", reported, now_s=0.0)
    >>> loads.prefill_tokens("e1", now_s=1.0)
    4000
    >>> loads.prefill_tokens("e1", now_s=9.0)
    0
    """

    def __init__(self, max_age_s: float):
        self._max_age_s = max_age_s
        # Ordered by time of receipt, the oldest first.
        self._by_router: dict[str, _RouterLoads] = {}
        self._totals: dict[str, TotalLoad] = {}

    def replace(
        self,
        router: str,
        loads: tuple[messages.UpstreamLoad, ...],
        now_s: float,
    ) -> None:
        """Replace the router's previous report."""
        self._forget(router)
        # If an upstream occurs twice, the last entry counts.
        by_name = {load.upstream: load for load in loads}
        router_loads = _RouterLoads(tuple(by_name.values()), now_s)
        self._by_router[router] = router_loads
        self._add(router_loads.loads, 1)

    def totals(self, now_s: float) -> Mapping[str, TotalLoad]:
        """Return the load of all others by upstream, as a live view."""
        oldest_s = now_s - self._max_age_s
        while self._by_router:
            router, router_loads = next(iter(self._by_router.items()))
            if router_loads.received_s >= oldest_s:
                break
            self._forget(router)
        return self._totals

    def prefill_tokens(self, upstream: str, now_s: float) -> int:
        """Return the prompt tokens of others without a first token yet."""
        return self.totals(now_s).get(upstream, NO_LOAD).prefill_tokens

    def requests(self, upstream: str, now_s: float) -> int:
        """Return the requests of others in flight there."""
        return self.totals(now_s).get(upstream, NO_LOAD).requests

    def _forget(self, router: str) -> None:
        router_loads = self._by_router.pop(router, None)
        if router_loads is not None:
            self._add(router_loads.loads, -1)

    def _add(
        self, loads: Iterable[messages.UpstreamLoad], factor: int
    ) -> None:
        for load in loads:
            total = self._totals.setdefault(load.upstream, TotalLoad())
            total.prefill_tokens += factor * load.prefill_tokens
            total.requests += factor * load.requests
            if not total.requests and not total.prefill_tokens:
                del self._totals[load.upstream]
