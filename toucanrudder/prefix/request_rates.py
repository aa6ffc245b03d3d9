"""Request rates of the most requested prefixes, in bounded memory.

Counts decay exponentially.  Each is stored scaled by the growth since a
common origin, so that decay needs no sweep and the order of the counts is
constant over time.
"""

from collections.abc import Iterable
import math

import attrs
import sortedcontainers

# Exponent of the growth at which the counts are rescaled; it must stay below
# the overflow of the exponential function.
_RESCALE_EXPONENT = 200.0


@attrs.frozen
class HotPrefix:
    """A prefix key and its requests a second at one router."""

    key: bytes
    rate_per_s: float


@attrs.define
class _Counter:
    scaled: float
    scaled_error: float


@attrs.define
class _PeerReport:
    rates: dict[bytes, float]
    total_rate_per_s: float
    received_at_s: float


class PrefixRates:
    """Decayed request rates of prefix keys, at this router and its peers.

    Parameters
    ----------
    capacity : int
        Keys counted; the rarest is replaced when a new one arrives.
    time_constant_s : float
        Seconds in which a count decays to 1/e.  Short enough to follow a
        shift of the hot prefixes, long enough to detect recurring ones.
    peer_max_age_s : float
        Seconds after which a silent peer's rates are ignored.

    Examples
    --------
    >>> hot = PrefixRates(capacity=100, time_constant_s=10.0)
    >>> for second in range(100):
    ...     hot.add((b"a",), now_s=float(second))
    >>> round(hot.rates((b"a", b"b"), now_s=99.0)[b"a"], 1)
    1.1
    """

    def __init__(
        self,
        capacity: int = 4096,
        time_constant_s: float = 10.0,
        peer_max_age_s: float = 5.0,
    ) -> None:
        self._capacity = capacity
        self._time_constant_s = time_constant_s
        self._peer_max_age_s = peer_max_age_s
        self._origin_s = 0.0
        self._counters: dict[bytes, _Counter] = {}
        self._order = sortedcontainers.SortedSet()
        self._total = 0.0
        self._peers: dict[str, _PeerReport] = {}

    def __len__(self) -> int:
        return len(self._counters)

    def add(self, keys: Iterable[bytes], now_s: float) -> None:
        """Count one request whose prompt has these prefix keys."""
        unit = self._unit(now_s)
        self._total += unit
        for key in keys:
            self._count(key, unit)

    def rates(self, keys: Iterable[bytes], now_s: float) -> dict[bytes, float]:
        """Return requests a second by key, over this router and its peers.

        A router that has just started has no rates of its own; with those
        of its peers it places its first requests as they do.
        """
        peers = self._fresh_peers(now_s)
        return {
            key: self._own_rate(key, now_s)
            + sum(peer.rates.get(key, 0.0) for peer in peers)
            for key in keys
        }

    def total_rate_per_s(self, now_s: float) -> float:
        """Return requests a second with any prefix, over all routers."""
        own = self._total / self._unit(now_s) / self._time_constant_s
        peers = self._fresh_peers(now_s)
        return own + sum(peer.total_rate_per_s for peer in peers)

    def own_total_rate_per_s(self, now_s: float) -> float:
        """Return requests a second with any prefix, at this router."""
        return self._total / self._unit(now_s) / self._time_constant_s

    def hottest(self, count: int, now_s: float) -> tuple[HotPrefix, ...]:
        """Return this router's hottest keys, hottest first, for its peers."""
        hottest = self._order[-count:] if count else []
        return tuple(
            HotPrefix(key, self._own_rate(key, now_s))
            for _scaled, key in reversed(hottest)
        )

    def update_peer(
        self,
        peer: str,
        prefixes: Iterable[HotPrefix],
        total_rate_per_s: float,
        now_s: float,
    ) -> None:
        """Replace the rates received from a peer."""
        rates = {prefix.key: prefix.rate_per_s for prefix in prefixes}
        self._peers[peer] = _PeerReport(rates, total_rate_per_s, now_s)

    def _count(self, key: bytes, unit: float) -> None:
        counter = self._counters.get(key)
        if counter is None:
            counter = self._replace_rarest(key)
        else:
            self._order.discard((counter.scaled, key))
        counter.scaled += unit
        self._order.add((counter.scaled, key))

    def _replace_rarest(self, key: bytes) -> _Counter:
        inherited = 0.0
        if len(self._counters) >= self._capacity:
            inherited, rarest = self._order.pop(0)
            del self._counters[rarest]
        # A new key inherits the count of the key it replaces, since it may
        # have been counted and replaced before.  The inherited part is not
        # reported, or each prompt of a flood of unique ones would look hot.
        counter = _Counter(inherited, inherited)
        self._counters[key] = counter
        return counter

    def _own_rate(self, key: bytes, now_s: float) -> float:
        counter = self._counters.get(key)
        if counter is None:
            return 0.0
        scaled = counter.scaled - counter.scaled_error
        return scaled / self._unit(now_s) / self._time_constant_s

    def _fresh_peers(self, now_s: float) -> list[_PeerReport]:
        oldest_s = now_s - self._peer_max_age_s
        self._peers = {
            name: report
            for name, report in self._peers.items()
            if report.received_at_s >= oldest_s
        }
        return list(self._peers.values())

    def _unit(self, now_s: float) -> float:
        exponent = (now_s - self._origin_s) / self._time_constant_s
        if exponent > _RESCALE_EXPONENT:
            self._rescale(math.exp(-exponent))
            self._origin_s = now_s
            exponent = 0.0
        return math.exp(exponent)

    def _rescale(self, factor: float) -> None:
        self._total *= factor
        for counter in self._counters.values():
            counter.scaled *= factor
            counter.scaled_error *= factor
        self._order = sortedcontainers.SortedSet(
            (counter.scaled, key) for key, counter in self._counters.items()
        )
