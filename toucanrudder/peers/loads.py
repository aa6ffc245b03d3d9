"""Other routers' work at each upstream, as they last told."""

import attrs

from toucanrudder.peers import messages


@attrs.frozen
class _Told:
    loads: dict[str, messages.UpstreamLoad]
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

    def heard(
        self,
        router: str,
        loads: tuple[messages.UpstreamLoad, ...],
        now_s: float,
    ) -> None:
        """Replace what the router said before."""
        by_name = {load.upstream: load for load in loads}
        self._told[router] = _Told(by_name, now_s)

    def prefill_tokens(self, upstream: str, now_s: float) -> int:
        """Return the tokens that others sent there and still wait for."""
        return sum(
            load.prefill_tokens for load in self._loads(upstream, now_s)
        )

    def requests(self, upstream: str, now_s: float) -> int:
        """Return the requests that others have there."""
        return sum(load.requests for load in self._loads(upstream, now_s))

    def _loads(
        self, upstream: str, now_s: float
    ) -> list[messages.UpstreamLoad]:
        oldest_s = now_s - self._max_age_s
        old = [n for n, told in self._told.items() if told.heard_s < oldest_s]
        for name in old:
            del self._told[name]
        return [
            told.loads[upstream]
            for told in self._told.values()
            if upstream in told.loads
        ]
