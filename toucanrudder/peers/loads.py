"""Other routers' work at each upstream, as they last told."""

from collections.abc import Iterable

import attrs

from toucanrudder.peers import messages


@attrs.frozen
class _Told:
    loads: tuple[messages.UpstreamLoad, ...]
    heard_s: float


class PeerLoads:
    """Work of other routers, summed over those heard of lately.

    Parameters
    ----------
    max_age_s : float
        Age above which a router's word is ignored.

    Examples
    --------
    >>> loads = PeerLoads(max_age_s=3.0)
    >>> told = (messages.UpstreamLoad("e1", 4000, 2),)
    >>> loads.heard("r2", told, now_s=0.0)
    >>> loads.prefill_tokens("e1", now_s=1.0)
    4000
    >>> loads.prefill_tokens("e1", now_s=9.0)
    0
    """

    def __init__(self, max_age_s: float):
        self._max_age_s = max_age_s
        self._told: dict[str, _Told] = {}
        self._sums: dict[str, messages.UpstreamLoad] = {}

    def heard(
        self,
        router: str,
        loads: tuple[messages.UpstreamLoad, ...],
        now_s: float,
    ) -> None:
        """Replace what the router said before."""
        self._told[router] = _Told(loads, now_s)
        self._sums = {}

    def prefill_tokens(self, upstream: str, now_s: float) -> int:
        """Return the tokens that others sent there and still wait for."""
        return self.work(upstream, now_s).prefill_tokens

    def requests(self, upstream: str, now_s: float) -> int:
        """Return the requests that others have there."""
        return self.work(upstream, now_s).requests

    def heard_routers(self, now_s: float) -> int:
        """Return how many routers were heard of lately."""
        self._forget_old(now_s)
        return len(self._told)

    def work(self, upstream: str, now_s: float) -> messages.UpstreamLoad:
        """Return all work that others have there."""
        self._forget_old(now_s)
        if not self._sums:
            self._sums = _summed(self._told.values())
        found = self._sums.get(upstream)
        return found or messages.UpstreamLoad(upstream)

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - self._max_age_s
        old = [n for n, told in self._told.items() if told.heard_s < oldest_s]
        for name in old:
            del self._told[name]
            self._sums = {}


def _summed(told: Iterable[_Told]) -> dict[str, messages.UpstreamLoad]:
    sums: dict[str, messages.UpstreamLoad] = {}
    for each in told:
        for load in each.loads:
            known = sums.get(load.upstream)
            sums[load.upstream] = (
                load if known is None else _added(known, load)
            )
    return sums


def _added(
    one: messages.UpstreamLoad, other: messages.UpstreamLoad
) -> messages.UpstreamLoad:
    return messages.UpstreamLoad(
        one.upstream,
        one.prefill_tokens + other.prefill_tokens,
        one.requests + other.requests,
        one.memory_tokens + other.memory_tokens,
    )
