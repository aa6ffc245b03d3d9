"""Other routers' work at each upstream, as they last told."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from toucanrudder.peers import messages


@attrs.define
class TotalLoad:
    """Work of several routers at one upstream.

    Parameters
    ----------
    prefill_tokens : int
        Tokens that they sent there and still wait for.
    requests : int
        Requests that they have there.
    """

    prefill_tokens: int = 0
    requests: int = 0


#: Work at an upstream of which nobody has told.
NO_LOAD = TotalLoad()


@attrs.frozen
class _Told:
    loads: tuple[messages.UpstreamLoad, ...]
    heard_s: float


class PeerLoads:
    """Work of other routers, summed over those heard of lately.

    Summed when it is told, not when it is asked for: each request asks for
    all engines, and a router of many hears a few others between two.

    Parameters
    ----------
    max_age_s : float
        Age above which a router's word is ignored.

    Examples
    --------
    >>> loads = PeerLoads(max_age_s=3.0)
    >>> told = (messages.UpstreamLoad("e1", 4000, 2),)
    >>> loads.replace("r2", told, now_s=0.0)
    >>> loads.prefill_tokens("e1", now_s=1.0)
    4000
    >>> loads.prefill_tokens("e1", now_s=9.0)
    0
    """

    def __init__(self, max_age_s: float):
        self._max_age_s = max_age_s
        # The one heard of longest ago comes first.
        self._told: dict[str, _Told] = {}
        self._sums: dict[str, TotalLoad] = {}

    def replace(
        self,
        router: str,
        loads: tuple[messages.UpstreamLoad, ...],
        now_s: float,
    ) -> None:
        """Replace what the router said before."""
        self._forget(router)
        # Of an upstream that is told twice, the last word counts.
        by_name = {load.upstream: load for load in loads}
        told = _Told(tuple(by_name.values()), now_s)
        self._told[router] = told
        self._add(told.loads, 1)

    def totals(self, now_s: float) -> Mapping[str, TotalLoad]:
        """Return the work of all others, by upstream; not to be kept."""
        oldest_s = now_s - self._max_age_s
        while self._told:
            router, told = next(iter(self._told.items()))
            if told.heard_s >= oldest_s:
                break
            self._forget(router)
        return self._sums

    def prefill_tokens(self, upstream: str, now_s: float) -> int:
        """Return the tokens that others sent there and still wait for."""
        return self.totals(now_s).get(upstream, NO_LOAD).prefill_tokens

    def requests(self, upstream: str, now_s: float) -> int:
        """Return the requests that others have there."""
        return self.totals(now_s).get(upstream, NO_LOAD).requests

    def _forget(self, router: str) -> None:
        told = self._told.pop(router, None)
        if told is not None:
            self._add(told.loads, -1)

    def _add(
        self, loads: Iterable[messages.UpstreamLoad], factor: int
    ) -> None:
        for load in loads:
            work = self._sums.setdefault(load.upstream, TotalLoad())
            work.prefill_tokens += factor * load.prefill_tokens
            work.requests += factor * load.requests
            if not work.requests and not work.prefill_tokens:
                del self._sums[load.upstream]
