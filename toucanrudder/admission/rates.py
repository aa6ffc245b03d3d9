"""Rates at which requests come and places become free.  No I/O."""

import bisect
import math

import attrs

#: Time constant of the recent rates.
RECENT_S = 2.0

#: Time for which the rate that is derived from the requests in progress
#: counts beside the one at which places were taken.
DERIVED_S = 0.5

#: Longest time without a call that counts; a longer one is a pause of this
#: process, or of its clock.
MAX_STEP_S = 0.1

#: Assumed time of a request at an upstream before the first has ended.
INITIAL_HOLD_S = 0.1

#: Most pairs of organisation and rank whose arrivals are counted.
MAX_COUNTED = 4096


def _decay(elapsed_s: float) -> float:
    return math.exp(-max(0.0, elapsed_s) / RECENT_S)


@attrs.define
class Flow:
    """Requests of this router at the upstreams of a service.

    Examples
    --------
    >>> flow = Flow()
    >>> flow.record_begin(0.0); flow.record_begin(0.0)
    >>> flow.record_end(0.2); flow.record_end(0.2); flow.record_begin(0.2)
    >>> round(flow.places_per_s(0.2), 2)
    5.0
    """

    _running: int = 0
    _hold_s: float = 0.0
    _ended: float = 0.0
    _at_s: float | None = None

    def _advance(self, now_s: float) -> None:
        elapsed_s = 0.0
        if self._at_s is not None:
            elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        decay = _decay(elapsed_s)
        self._ended *= decay
        self._hold_s = self._hold_s * decay + self._running * min(
            elapsed_s, RECENT_S
        )

    def record_begin(self, now_s: float) -> None:
        """Record that a request is sent."""
        self._advance(now_s)
        self._running += 1

    def record_end(self, now_s: float) -> None:
        """Record that a request has ended."""
        self._advance(now_s)
        self._running = max(0, self._running - 1)
        self._ended += 1.0

    def places_per_s(self, now_s: float) -> float:
        """Return the rate at which the places in use become free."""
        self._advance(now_s)
        hold_s = INITIAL_HOLD_S
        if self._ended > 0.5 and self._hold_s > 0:
            hold_s = self._hold_s / self._ended
        return max(1, self._running) / hold_s


@attrs.define
class FreeRate:
    """Rate at which those who wait get places.

    Examples
    --------
    >>> rate = FreeRate()
    >>> for number in range(100):
    ...     rate.advance(number / 20, True)
    ...     rate.record_taken(number / 20)
    >>> 15 < rate.per_s(10.0) < 20
    True
    """

    _taken: float = 0.0
    _waited_s: float = 0.0
    _at_s: float | None = None
    _taken_at_s: float = -math.inf

    def advance(self, now_s: float, is_waiting: bool) -> None:
        """Let time pass in which requests waited, or none did."""
        elapsed_s = 0.0
        if self._at_s is not None:
            elapsed_s = min(MAX_STEP_S, max(0.0, now_s - self._at_s))
        self._at_s = now_s
        if not is_waiting:
            return
        decay = _decay(elapsed_s)
        self._taken *= decay
        self._waited_s = self._waited_s * decay + elapsed_s

    def record_taken(self, now_s: float) -> None:
        """Record that one of those who wait gets a place."""
        self._taken += 1.0
        self._taken_at_s = now_s

    def since_taken_s(self, now_s: float) -> float:
        """Return the time since the last place was taken."""
        return max(0.0, now_s - self._taken_at_s)

    def per_s(self, derived_per_s: float) -> float:
        """Return the rate, given the one that the work in progress shows."""
        return (self._taken + DERIVED_S * derived_per_s) / (
            self._waited_s + DERIVED_S
        )


@attrs.frozen
class ArrivalsByRank:
    """Recent requests per second, by rank and organisation.

    Parameters
    ----------
    by_organisation : dict of str to list
        Pairs of rank and rate, the most urgent first.
    ranks, totals_per_s : list
        All ranks, and the rate of all requests up to each.
    """

    by_organisation: dict[str, list[tuple[int, float]]]
    ranks: list[int]
    totals_per_s: list[float]

    def up_to_per_s(self, rank: int) -> float:
        """Return the rate of requests that are at least as urgent."""
        up_to = bisect.bisect_right(self.ranks, rank)
        return self.totals_per_s[up_to - 1] if up_to else 0.0

    def more_urgent_per_s(
        self, organisation: str, rank: int
    ) -> tuple[float, float, int]:
        """Return the rates of its own and others, and the number of others.

        Only requests of a more urgent rank count.
        """
        pairs = self.by_organisation.get(organisation, [])
        own = sum(per_s for each, per_s in pairs if each < rank)
        before = bisect.bisect_left(self.ranks, rank)
        total = self.totals_per_s[before - 1] if before else 0.0
        others = len(self.by_organisation) - bool(pairs)
        return own, max(0.0, total - own), others


@attrs.define
class Arrivals:
    """Recent arrivals of requests that wait, by organisation and rank."""

    _counts: dict[tuple[str, int], tuple[float, float]] = attrs.field(
        factory=dict
    )

    def record(self, organisation: str, rank: int, now_s: float) -> None:
        """Record a request."""
        key = organisation, rank
        count, at_s = self._counts.pop(key, (0.0, now_s))
        self._counts[key] = count * _decay(now_s - at_s) + 1.0, now_s
        if len(self._counts) > MAX_COUNTED:
            # The least recent one.
            del self._counts[next(iter(self._counts))]

    def by_rank(self, now_s: float) -> ArrivalsByRank:
        """Return the recent rates."""
        by_organisation: dict[str, list[tuple[int, float]]] = {}
        totals: dict[int, float] = {}
        for (organisation, rank), (count, at_s) in list(self._counts.items()):
            count *= _decay(now_s - at_s)
            if count < 0.05:
                del self._counts[organisation, rank]
                continue
            per_s = count / RECENT_S
            by_organisation.setdefault(organisation, []).append((rank, per_s))
            totals[rank] = totals.get(rank, 0.0) + per_s
        ranks, sums = sorted(totals), []
        for rank in ranks:
            sums.append(totals[rank] + (sums[-1] if sums else 0.0))
        return ArrivalsByRank(by_organisation, ranks, sums)
