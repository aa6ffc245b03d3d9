"""Requests that wait for room at one service.  No I/O.

Expected load: a few places per router that become free every second, up to a
few thousand where a router serves many upstreams; as many requests wait as
can be served within the time that they have.  Each request that arrives, and
each tick, orders all that wait.
"""

from collections.abc import Iterator
import math

import attrs

from toucanrudder.admission import fair
from toucanrudder.admission import rates

#: Part of `fair.AGEING_S` up to which requests with less time left go before
#: others of their organisation; more would outweigh a step of urgency.
DEADLINE_SHARE = 0.5

#: Smallest and largest cost of a request, in requests of the usual size.
MIN_COST, MAX_COST = 0.01, 100.0

#: Share of the time that a newcomer has within which it must be expected to
#: be served, as places become free at irregular times.
ENTRY_SHARE = 0.5

#: The same for a request that has waited; it is above 1, so that a few others
#: that come by chance do not turn away one that is about to be served.
STAY_SHARE = 1.3

#: Longest line of which all are judged whenever one comes; in a longer one
#: they are judged at each tick.
MAX_SWEPT = 64

#: Tokens of prompt and output of a request of the usual size.
USUAL_TOKENS = 12_000


def cost_of_tokens(tokens: float | None) -> float:
    """Return the cost of a model call; a size that is not stated is usual.

    Examples
    --------
    >>> cost_of_tokens(24_000), cost_of_tokens(-1), cost_of_tokens(10**12)
    (2.0, 0.01, 100.0)
    >>> cost_of_tokens(None), cost_of_tokens(float("nan"))
    (1.0, 1.0)
    """
    if tokens is None or math.isnan(tokens):
        return 1.0
    return min(MAX_COST, max(MIN_COST, tokens / USUAL_TOKENS))


@attrs.define(eq=False)
class Waiter(fair.Entry):
    """A request that waits for room.

    Parameters
    ----------
    size_bytes : int
        Memory that it holds.
    """

    size_bytes: int = attrs.field(
        default=0, kw_only=True, converter=lambda size: max(0, size)
    )

    @property
    def order_key(self) -> tuple[float, int]:
        """Sort key among the requests of one organisation."""
        latest_s = self.arrived_s + DEADLINE_SHARE * fair.AGEING_S
        return (
            min(self.deadline_s, latest_s) + self.priority * fair.AGEING_S,
            self._sequence,
        )


@attrs.frozen
class Bounds:
    """Most that may wait at one router.

    Parameters
    ----------
    requests, size_bytes : int
        Of all organisations.
    organisation_share : float
        Part of both that one organisation may hold.
    """

    requests: int = 2_000
    size_bytes: int = 24_000_000
    organisation_share: float = 0.75


@attrs.define(eq=False)
class Held:
    """What waits at one router, in all of its lines.

    Parameters
    ----------
    bounds : Bounds
        Most that may wait.

    Attributes
    ----------
    requests, size_bytes : int
        Of all organisations.

    Examples
    --------
    >>> held = Held(Bounds(requests=2))
    >>> waiter = Waiter("a", 1.0, 0, 1.0, 0.0)
    >>> held.add(waiter); held.obstacle(waiter)
    'requests of one organisation that wait'
    >>> held.obstacle(Waiter("b", 1.0, 0, 1.0, 0.0)) is None
    True
    """

    bounds: Bounds = attrs.field(factory=Bounds)
    _requests_by: dict[str, int] = attrs.field(factory=dict)
    _bytes_by: dict[str, int] = attrs.field(factory=dict)
    requests: int = 0
    size_bytes: int = 0

    def add(self, waiter: Waiter, sign: int = 1) -> None:
        """Count a request that waits; with a sign of -1, not any more."""
        name = waiter.organisation
        size_bytes = sign * waiter.size_bytes
        self._requests_by[name] = self._requests_by.get(name, 0) + sign
        self._bytes_by[name] = self._bytes_by.get(name, 0) + size_bytes
        self.requests += sign
        self.size_bytes += size_bytes
        if not self._requests_by[name]:
            del self._requests_by[name], self._bytes_by[name]

    def obstacle(self, waiter: Waiter) -> str | None:
        """Return the bound that keeps a request out; None if there is none."""
        name, share = waiter.organisation, self.bounds.organisation_share
        requests = self._requests_by.get(name, 0) + 1
        size_bytes = self._bytes_by.get(name, 0) + waiter.size_bytes
        if requests > max(1, share * self.bounds.requests):
            return "requests of one organisation that wait"
        if size_bytes > share * self.bounds.size_bytes:
            return "bytes of one organisation that wait"
        return self.full()

    def full(self) -> str | None:
        """Return the bound of all organisations that is reached, or None."""
        if self.requests >= self.bounds.requests:
            return "requests that wait"
        if self.size_bytes >= self.bounds.size_bytes:
            return "bytes that wait"
        return None


@attrs.frozen
class Refusal:
    """A request that is not to wait any longer.

    Parameters
    ----------
    waiter : Waiter
        The request.
    reason : str
        Why.
    wait_s : float
        Time until it would be served; inf if that is not known.
    ahead : int
        Requests that go before it.
    fits : bool
        Whether room frees more often than requests come that are at least
        as urgent.
    """

    waiter: Waiter
    reason: str
    wait_s: float
    ahead: int
    fits: bool = False


#: Reasons other than a reached bound.
NO_TIME = "not served in its time"
DISPLACED = "displaced by others"


@attrs.define(eq=False)
class Line:
    """Who waits for room at one service, and who had better not.

    Parameters
    ----------
    held : Held
        Counts what waits in all lines of the router.

    Examples
    --------
    >>> line = Line(Held())
    >>> for _ in range(20):
    ...     line.flow.record_begin(0.0)
    >>> first, second = (
    ...     Waiter("a", 1.0, rank, deadline_s=0.5, arrived_s=0.0)
    ...     for rank in (2, 0)
    ... )
    >>> line.push(first, 0.0), line.push(second, 0.0)
    ([], [])
    >>> [waiter.priority for waiter in line.in_order()]
    [0, 2]
    """

    held: Held
    flow: rates.Flow = attrs.field(factory=rates.Flow)
    _queue: fair.FairQueue = attrs.field(factory=fair.FairQueue)
    _asked: rates.Arrivals = attrs.field(factory=rates.Arrivals)
    _arrivals: rates.Arrivals = attrs.field(factory=rates.Arrivals)
    _free: rates.FreeRate = attrs.field(factory=rates.FreeRate)

    def __len__(self) -> int:
        return len(self._queue)

    def in_order(self) -> Iterator[Waiter]:
        """Yield who waits, in the order of service."""
        return self._queue.in_order()

    def push(self, waiter: Waiter, now_s: float) -> list[Refusal]:
        """Add a request; return who has to leave for it, itself perhaps."""
        refusals = []
        self._asked.record(waiter.organisation, waiter.priority, now_s)
        reason = self.held.obstacle(waiter)
        if reason and self.held.full():
            victim = self._queue.victim(waiter) if self._queue else None
            if victim is not None:
                self.remove(victim)
                refusals.append(self._refusal(victim, DISPLACED, now_s))
                reason = self.held.obstacle(waiter)
        if reason:
            return [*refusals, self._refusal(waiter, reason, now_s)]
        self._free.advance(now_s, bool(self._queue))
        self._queue.push(waiter)
        self.held.add(waiter)
        refusals += self._newcomers(waiter, now_s)
        if all(waiter is not refusal.waiter for refusal in refusals):
            self._arrivals.record(waiter.organisation, waiter.priority, now_s)
        return refusals

    def take(self, waiter: Waiter, now_s: float) -> None:
        """Remove a request that gets a place."""
        self._free.advance(now_s, True)
        if self._queue.take(waiter):
            self.held.add(waiter, -1)
            self._free.record_taken(now_s)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request that leaves; False if it does not wait."""
        is_waiting = self._queue.remove(waiter)
        if is_waiting:
            self.held.add(waiter, -1)
        return is_waiting

    def sweep(self, now_s: float) -> list[Refusal]:
        """Remove and return those that cannot be served in their time."""
        self._free.advance(now_s, bool(self._queue))
        refusals, ahead = [], 0
        estimate = self._estimate(now_s)
        asked = self._asked.by_rank(now_s)
        for waiter in self._queue.in_order():
            wait_s = estimate.wait_s(
                waiter.organisation, waiter.priority, ahead
            )
            if self._is_hopeless(waiter, wait_s, now_s):
                fits = asked.up_to_per_s(waiter.priority)
                fits = fits <= 2.0 * estimate.free_per_s
                refusals.append(Refusal(waiter, NO_TIME, wait_s, ahead, fits))
            else:
                ahead += 1
        for refusal in refusals:
            self.remove(refusal.waiter)
        return refusals

    def _is_hopeless(
        self, waiter: Waiter, wait_s: float, now_s: float
    ) -> bool:
        left_s = waiter.deadline_s - now_s
        is_new = waiter.arrived_s >= now_s
        share = ENTRY_SHARE if is_new else STAY_SHARE
        return left_s <= 0 or wait_s > share * left_s

    def wait_s(self, organisation: str, rank: int, now_s: float) -> float:
        """Return when a request that does not wait here would be served."""
        ahead = self._queue.count_ahead(organisation, rank)
        return self._estimate(now_s).wait_s(organisation, rank, ahead)

    def _refusal(self, waiter: Waiter, reason: str, now_s: float) -> Refusal:
        name, rank = waiter.organisation, waiter.priority
        ahead = self._queue.count_ahead(name, rank)
        wait_s = self._estimate(now_s).wait_s(name, rank, ahead)
        return Refusal(waiter, reason, wait_s, ahead)

    def _newcomers(self, waiter: Waiter, now_s: float) -> list[Refusal]:
        """Return who has to leave now that a request has come."""
        if len(self._queue) <= MAX_SWEPT:
            return self.sweep(now_s)
        refusal = self._refusal(waiter, NO_TIME, now_s)
        if not self._is_hopeless(waiter, refusal.wait_s, now_s):
            return []
        self.remove(waiter)
        return [refusal]

    def _estimate(self, now_s: float) -> "_Estimate":
        return _Estimate(
            self._free.per_s(self.flow.places_per_s(now_s)),
            self._free.since_taken_s(now_s),
            self._arrivals.by_rank(now_s),
        )


@attrs.frozen
class _Estimate:
    """When places become free for whom.

    Parameters
    ----------
    free_per_s : float
        Places that become free per second.
    since_taken_s : float
        Time since the last one.
    arrivals : rates.ArrivalsByRank
        Recent requests per second.
    """

    free_per_s: float
    since_taken_s: float
    arrivals: rates.ArrivalsByRank

    def wait_s(self, organisation: str, rank: int, ahead: int) -> float:
        """Return the expected wait of a request that others go before.

        More urgent newcomers pass it: those of its own organisation without
        a limit, those of each other one by the lead of their urgency.
        """
        if self.free_per_s <= 0:
            return math.inf
        places = ahead + 1 - min(1.0, self.free_per_s * self.since_taken_s)
        own, others, lanes = self.arrivals.more_urgent_per_s(
            organisation, rank
        )
        lead = fair.CLASS_LEAD * max(0, rank) * lanes
        return min(
            _ratio(places, self.free_per_s - own - others),
            _ratio(places + lead, self.free_per_s - own),
        )


def _ratio(places: float, per_s: float) -> float:
    if per_s <= 0:
        return math.inf if places > 0 else 0.0
    return places / per_s
