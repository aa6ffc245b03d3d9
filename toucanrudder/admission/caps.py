"""Usage caps of organisations, enforced over all routers.  No I/O.

An organisation may send many times its usual load for seconds, over tens to
hundreds of routers, and a single request may be larger than a router's
equal share of the cap.  A cap is therefore not divided among all routers:
for each organisation two routers, its owners, keep a token bucket with half
of the cap each, and the others ask them for each request.  If one owner is
lost, the other still grants its half.

Guarantee over any window of length W, for a cap of R units a second and a
burst B, with the overrun O and the slack S: the owners together grant at
most ``(R * W + B) * (1 + O / 2) + S``, where ``S / 2`` is the amount by which
one request may overdraw each of two owners' buckets, and less where a fleet
that is cut in two has more of them.  A new owner begins without a burst, and
may overdraw its bucket more and more over one window: the owner before it may
have done so.  A request that costs more than that and a full bucket is
granted by a full one.  While no owner can be reached, all routers together
admit ``(R * W + B) * O / 2`` at most on average, and more in the second after
the start of a whole fleet (`START_SHARE`).
"""

import enum
import math
import random

import attrs
import cachetools

#: Most organisations with a bucket; the least recently used is evicted.
MAX_ORGANISATIONS = 10_000

#: Routers that keep a bucket for each organisation.
OWNER_COUNT = 2

#: Fraction of the overrun that owners grant.  The rest is for routers that
#: can reach no owner.
GRANTED_OVERRUN = 0.5

#: Longest retry delay of a refused request.
MAX_WAIT_S = 10.0

#: A request is small up to this fraction of the permitted overdraft.
SMALL_COST_SHARE = 0.005
#: Small requests are granted until a bucket is overdrawn by this fraction of
#: the permitted overdraft.
SMALL_OVERDRAFT_SHARE = 0.25

#: Fraction of a bucket to which it fills at most for a refused request.
AWAITED_SHARE = 0.25

#: Approximate retry delay of a request refused while no owner can be
#: reached: another router may reach one.
RESERVE_RETRY_S = 1.0

#: Requests over which a router takes the mean cost of an organisation's.
MEAN_COST_REQUESTS = 32

#: Fraction of a cap that all routers together admit in one window while the
#: fleet starts and the owners are not known yet.
START_SHARE = 0.2


class Unit(enum.Enum):
    """The unit in which a cap is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Cap:
    """The usage permitted to an organisation over all routers.

    Parameters
    ----------
    rate_per_s : float
        Units a second.
    burst : float
        Units in addition, at once.
    unit : Unit
        The unit that is counted.
    plain_tokens : int
        Cost in tokens of a request without a token count.

    Examples
    --------
    >>> cap = Cap(1000.0, 2000.0, Unit.TOKENS, plain_tokens=200)
    >>> cap.cost(None), cap.cost(1540)
    (200, 1540)
    """

    rate_per_s: float
    burst: float
    unit: Unit = Unit.REQUESTS
    plain_tokens: int = 0

    def cost(self, tokens: int | None) -> float:
        """Return the cost of a request in the cap's unit.

        Parameters
        ----------
        tokens : int or None
            Prompt and output tokens as the caller counted them, or None.
        """
        if self.unit is Unit.REQUESTS:
            return 1
        return self.plain_tokens if tokens is None else tokens


@attrs.frozen
class Bounds:
    """The tolerances within which caps are enforced over all routers.

    Parameters
    ----------
    window_s : float
        Length of the window over which usage is counted.
    slack : float
        Units by which a cap may be exceeded in one window.
    overrun : float
        Fraction of a cap by which it may be exceeded in addition.
    """

    window_s: float = 10.0
    slack: float = 0.0
    overrun: float = 0.0

    @property
    def max_overdraft(self) -> float:
        """Units by which one request may overdraw an owner's bucket."""
        return self.slack / OWNER_COUNT

    def overdraft(self, owned_s: float) -> float:
        """Return the units by which all owners' buckets may be overdrawn.

        Others may have owned them before and overdrawn them in the same
        window.

        Parameters
        ----------
        owned_s : float
            Time for which the owners have been owners.
        """
        return self.slack * min(1.0, max(0.0, owned_s / self.window_s))

    def window_allowance(self, cap: Cap) -> float:
        """Return the units that a cap permits in one window."""
        return cap.rate_per_s * self.window_s + cap.burst

    def burst(self, cap: Cap) -> float:
        """Return the units that the owners together grant at once."""
        return (
            cap.burst
            + GRANTED_OVERRUN * self.overrun * self.window_allowance(cap)
        )

    def reserve(self, cap: Cap) -> float:
        """Return the units of all routers that can reach no owner."""
        return (
            (1.0 - GRANTED_OVERRUN) * self.overrun * self.window_allowance(cap)
        )

    def start_reserve(self, cap: Cap) -> float:
        """Return the same while the fleet starts."""
        return START_SHARE * self.window_allowance(cap)

    def window_limit(self, cap: Cap) -> float:
        """Return the most units in one window, tolerances included."""
        return (1.0 + self.overrun) * self.window_allowance(cap) + self.slack


class Outcome(enum.Enum):
    """The outcome of a decision on a request."""

    GRANTED = "granted"
    REFUSED = "refused"
    #: The request costs more than the cap permits in a whole window.
    TOO_LARGE = "too_large"


@attrs.frozen
class Decision:
    """The decision whether a request may be sent.

    Parameters
    ----------
    outcome : Outcome
        The outcome.
    wait_s : float
        Seconds until a retry may be granted; 0 unless it was refused.
    """

    outcome: Outcome
    wait_s: float = 0.0


GRANTED = Decision(Outcome.GRANTED)
TOO_LARGE = Decision(Outcome.TOO_LARGE)


@attrs.define
class TokenBucket:
    """A token bucket that one request may overdraw.

    A request is granted unless the bucket is overdrawn, whatever the request
    costs, and may overdraw it.  Once requests are refused, the bucket fills
    until the largest of them finds its units.  Otherwise small requests would
    use up each refill.  Requests that cost others almost nothing are granted
    a little longer.

    Parameters
    ----------
    level : float
        Units left; negative while it is overdrawn.
    at_s : float
        Monotonic time of the level.
    since_s : float
        Monotonic time from which it is used.
    awaited_level : float
        Level to which it fills before it grants again; 0 if none is refused.
    next_retry_s : float
        Monotonic time at which the next refused request may retry.

    Examples
    --------
    >>> bucket = TokenBucket(0.0, 0.0)
    >>> limits = Limits(100.0, 50.0, max_overdraft=200.0)
    >>> bucket.try_spend(200, limits, 0.1).outcome
    <Outcome.GRANTED: 'granted'>
    >>> bucket.try_spend(10, limits, 0.1)
    Decision(outcome=<Outcome.REFUSED: 'refused'>, wait_s=2.0)
    """

    level: float
    at_s: float
    since_s: float = float("-inf")
    awaited_level: float = 0.0
    next_retry_s: float = float("-inf")

    def refill(self, limits: "Limits", now_s: float) -> None:
        """Add the units for the time since the last refill."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        gained = elapsed_s * limits.rate_per_s
        self.level = min(limits.max_units, self.level + gained)

    def try_spend(
        self, cost: float, limits: "Limits", now_s: float
    ) -> Decision:
        """Decide on a request, and deduct its cost if it is granted.

        Parameters
        ----------
        cost : float
            Cost of the request.
        limits : Limits
            Limits of the bucket.
        now_s : float
            Monotonic time.
        """
        self.refill(limits, now_s)
        if limits.is_small(cost):
            min_level = limits.min_small_level
        else:
            min_level = max(self._awaited(limits), limits.min_level(cost))
        if self.level >= min_level or cost == 0:
            self.level -= cost
            return GRANTED
        self.awaited_level = max(self.awaited_level, cost)
        if not limits.is_small(cost):
            min_level = max(min_level, self._awaited(limits))
        return self._refuse(cost, min_level, limits, now_s)

    def _awaited(self, limits: "Limits") -> float:
        awaited = min(self.awaited_level, AWAITED_SHARE * limits.max_units)
        if self.level < awaited:
            return awaited
        # The largest refused request may come now, after smaller ones.
        self.awaited_level = 0.0
        return 0.0

    def _refuse(
        self, cost: float, min_level: float, limits: "Limits", now_s: float
    ) -> Decision:
        """Refuse a request, with a retry after those refused before it."""
        latest_s = now_s + MAX_WAIT_S
        if limits.rate_per_s <= 0:
            return Decision(Outcome.REFUSED, MAX_WAIT_S)
        refilled_s = now_s + (min_level - self.level) / limits.rate_per_s
        retry_s = min(max(refilled_s, self.next_retry_s), latest_s)
        self.next_retry_s = min(retry_s + cost / limits.rate_per_s, latest_s)
        return Decision(Outcome.REFUSED, round(retry_s - now_s, 3))


@attrs.frozen
class Limits:
    """The limits of one token bucket.

    Parameters
    ----------
    rate_per_s : float
        Units a second.
    max_units : float
        Capacity in units.
    max_overdraft : float
        Units by which one request may overdraw the bucket.
    """

    rate_per_s: float
    max_units: float
    max_overdraft: float = 0.0

    def is_small(self, cost: float) -> bool:
        """Whether a request costs others almost nothing."""
        return cost <= SMALL_COST_SHARE * self.max_overdraft

    @property
    def min_small_level(self) -> float:
        """The level from which small requests are granted."""
        return -SMALL_OVERDRAFT_SHARE * self.max_overdraft

    def min_level(self, cost: float) -> float:
        """Return the level from which another request is granted."""
        return max(0.0, min(cost - self.max_overdraft, self.max_units))


class Ledger:
    """The token buckets of the organisations that this router owns.

    Parameters
    ----------
    bounds : Bounds
        Tolerances of the caps.

    Examples
    --------
    >>> ledger = Ledger(Bounds(8.0))
    >>> cap = Cap(10.0, 20.0)
    >>> ledger.set_owner_since(0.0)
    >>> decided = [ledger.try_spend("north", cap, 1, 5.0) for _ in range(21)]
    >>> [decision.outcome.value for decision in decided[-2:]]
    ['granted', 'refused']
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self._buckets = cachetools.LRUCache(MAX_ORGANISATIONS)
        self._owner_since_s = float("inf")

    def set_owner_since(self, since_s: float) -> None:
        """Set the time from which this router may have been an owner."""
        self._owner_since_s = since_s

    def organisations(self) -> list[str]:
        """Return the organisations that have a bucket."""
        return list(self._buckets)

    def drop(self, name: str) -> None:
        """Drop the bucket of an organisation that others own now."""
        self._buckets.pop(name, None)

    def restart_empty(self, now_s: float) -> None:
        """Restart all buckets without a burst.

        An owner whose process was frozen has been replaced meanwhile.  With
        full buckets it would grant a second burst when it continues.
        """
        self._owner_since_s = now_s
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.at_s = bucket.since_s = now_s

    def try_spend(
        self,
        name: str,
        cap: Cap,
        cost: float,
        now_s: float,
        *,
        share: float = 1.0,
    ) -> Decision:
        """Decide on a request of an organisation that this router owns.

        Parameters
        ----------
        name : str
            Name of the organisation.
        cap : Cap
            Cap of the organisation.
        cost : float
            Cost of the request in the cap's unit.
        now_s : float
            Monotonic time.
        share : float
            Fraction of the cap that this router grants.
        """
        if cost > self.bounds.window_allowance(cap):
            return TOO_LARGE
        limits = Limits(share * cap.rate_per_s, share * self.bounds.burst(cap))
        bucket = self._bucket(name, limits, now_s)
        overdraft = share * self.bounds.overdraft(now_s - bucket.since_s)
        limits = attrs.evolve(limits, max_overdraft=overdraft)
        return bucket.try_spend(cost, limits, now_s)

    def charge(self, name: str, units: float) -> None:
        """Deduct units used without a grant, if the organisation has a bucket.

        Negative units are returned: they were granted and not used.
        """
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level -= units

    def _bucket(self, name: str, limits: Limits, now_s: float) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            owned_s = max(0.0, now_s - self._owner_since_s)
            level = min(limits.max_units, owned_s * limits.rate_per_s)
            bucket = TokenBucket(level, now_s, self._owner_since_s)
            self._buckets[name] = bucket
        return bucket


@attrs.define
class _ReserveBucket(TokenBucket):
    """A router's share of a reserve.

    Parameters
    ----------
    draw : float
        Fraction of a mean cost from which the next request is granted.
    requests : int
        Requests that the mean is taken over.
    mean_cost : float
        Mean cost of the latest requests, granted or not.
    """

    draw: float = attrs.field(kw_only=True)
    requests: int = 0
    mean_cost: float = 0.0

    def record_cost(self, cost: float) -> None:
        """Add a request to the mean."""
        self.requests = min(self.requests + 1, MEAN_COST_REQUESTS)
        self.mean_cost += (cost - self.mean_cost) / self.requests


@attrs.define
class ReserveLimiter:
    """Decisions of a router by itself while it can reach no owner.

    A router's share of the reserve is often smaller than one request.  If a
    mean request is above what is left, one is granted with a probability
    proportional to what is left, so that all routers together admit at most
    the reserve on average.  A draw holds until a request is granted: with
    one for each request, many requests would be granted sooner or later.

    Parameters
    ----------
    bounds : Bounds
        Tolerances of the caps.
    rng : random.Random
        Generator that decides on requests larger than what is left.
    """

    bounds: Bounds
    rng: random.Random
    _buckets: cachetools.LRUCache = attrs.field(
        factory=lambda: cachetools.LRUCache(MAX_ORGANISATIONS)
    )

    def try_spend(
        self,
        name: str,
        cap: Cap,
        cost: float,
        now_s: float,
        *,
        max_units: float,
    ) -> Decision:
        """Decide on a request by this router's share of a reserve.

        Parameters
        ----------
        name : str
            Name of the organisation.
        cap : Cap
            Cap of the organisation.
        cost : float
            Cost of the request in the cap's unit.
        now_s : float
            Monotonic time.
        max_units : float
            Units that this router may admit in one window.
        """
        if cost > self.bounds.window_allowance(cap):
            return TOO_LARGE
        # Half at once and half over the window add up to the share.
        limits = Limits(max_units / 2 / self.bounds.window_s, max_units / 2)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = _ReserveBucket(
                limits.max_units, now_s, draw=self.rng.random()
            )
            self._buckets[name] = bucket
        bucket.refill(limits, now_s)
        bucket.record_cost(cost)
        if bucket.level > bucket.mean_cost * bucket.draw:
            bucket.level -= cost
            bucket.draw = self.rng.random()
            return GRANTED
        wait_s = RESERVE_RETRY_S * self.rng.uniform(0.7, 1.3)
        return Decision(Outcome.REFUSED, round(wait_s, 3))


def is_finite(units: float) -> bool:
    """Whether a number received from another router is finite."""
    return math.isfinite(units)
