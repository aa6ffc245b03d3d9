"""Usage caps of organisations, kept by all routers together.  No I/O.

Load it answers: one organisation sends many times its usual for seconds,
over tens to hundreds of routers, with requests of which one alone can be
larger than a router's equal share of the cap.  So a cap is not split among
all: for each organisation two routers, its owners, keep a balance of half
of it each, and the others ask them for each request.  If one owner is lost,
the other still gives out its half.

Promise, over any window of the length W, for a cap of R a second and a
burst B, with the overrun O and the slack S: the two owners grant at most
``(R * W + B) * (1 + O / 2) + S``, of which ``S / 2`` each is what one
request may overdraw.  An owner that follows another begins without a
burst.  What all routers together admit while no owner can be asked is
``(R * W + B) * O / 2`` on average, and more in the second after the start
of a whole fleet (`START_SHARE`).
"""

import enum
import math
import random

import attrs
import cachetools

#: Organisations whose balances are kept at once, least recently used first.
MAX_ORGANISATIONS = 10_000

#: Routers that keep a balance of each organisation.
OWNER_COUNT = 2

#: Part of the overrun that owners grant.  The rest is for routers that can
#: ask none.
GRANTED_OVERRUN = 0.5

#: Longest time after which a refused request is told to come back.
LONGEST_WAIT_S = 10.0

#: Part of the debt up to which a request counts as one of the smallest, and
#: by which these may overdraw a balance beside.
SMALL_SHARE = 0.005
SMALL_DEBT_SHARE = 0.25

#: About how long a request stays away that was refused since no owner could
#: be asked: another router may be able to.
SHARE_WAIT_S = 1.0

#: Part of a cap that routers admit in one window, all together, while the
#: fleet starts and nobody knows yet who the owners are.
START_SHARE = 0.35


class Unit(enum.Enum):
    """What a cap counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Cap:
    """What an organisation may use, over all routers.

    Parameters
    ----------
    rate_per_s : float
        Units a second.
    burst : float
        Units beside, at once.
    unit : Unit
        What is counted.
    plain_tokens : int
        Cost of a request that tells no tokens.

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
        """Return the cost of a request.

        Parameters
        ----------
        tokens : int or None
            In and out, as the caller counted them; None if he did not.
        """
        if self.unit is Unit.REQUESTS:
            return 1
        return self.plain_tokens if tokens is None else tokens


@attrs.frozen
class Bounds:
    """How exactly caps are kept, over all routers.

    Parameters
    ----------
    window_s : float
        Length of the window in which usage counts.
    slack : float
        Units that may pass beyond a cap in one window.
    overrun : float
        Part of a cap that may pass beside.
    """

    window_s: float = 10.0
    slack: float = 0.0
    overrun: float = 0.0

    @property
    def max_overdraft(self) -> float:
        """Units by which one request may overdraw an owner's half."""
        return self.slack / OWNER_COUNT

    def window_allowance(self, cap: Cap) -> float:
        """Return what a cap admits in one window."""
        return cap.rate_per_s * self.window_s + cap.burst

    def burst(self, cap: Cap) -> float:
        """Return what owners grant at once, together."""
        return (
            cap.burst
            + GRANTED_OVERRUN * self.overrun * self.window_allowance(cap)
        )

    def reserve(self, cap: Cap) -> float:
        """Return what routers that can ask no owner admit, together."""
        return (
            (1.0 - GRANTED_OVERRUN) * self.overrun * self.window_allowance(cap)
        )

    def start_reserve(self, cap: Cap) -> float:
        """Return the same for a fleet that starts."""
        return START_SHARE * self.window_allowance(cap)

    def window_limit(self, cap: Cap) -> float:
        """Return what may pass in one window, over all routers."""
        return (1.0 + self.overrun) * self.window_allowance(cap) + self.slack


class Outcome(enum.Enum):
    """What was decided on a request."""

    GRANTED = "granted"
    REFUSED = "refused"
    #: It costs more than the cap can ever admit.
    TOO_LARGE = "too_large"


@attrs.frozen
class Decision:
    """Whether a request may be sent.

    Parameters
    ----------
    outcome : Outcome
        What was decided.
    wait_s : float
        After which time there may be room; 0 unless it was refused.
    """

    outcome: Outcome
    wait_s: float = 0.0


GRANTED = Decision(Outcome.GRANTED)
TOO_LARGE = Decision(Outcome.TOO_LARGE)


@attrs.define
class TokenBucket:
    """What an organisation may use now, filled up at a steady rate.

    A request passes unless the balance is overdrawn, whatever it costs, and
    may overdraw it: otherwise small requests would use up all that comes in,
    and large ones would never find enough.  The smallest pass a little
    longer, as they cost others next to nothing.

    Parameters
    ----------
    level : float
        Units left; negative while it is overdrawn.
    at_s : float
        Monotonic time of the level.
    turn_s : float
        When the last refused request was told to come back.

    Examples
    --------
    >>> bucket = TokenBucket(0.0, 0.0)
    >>> limits = Limits(100.0, 50.0, max_overdraft=200.0)
    >>> bucket.try_spend(200, limits, 0.1).outcome
    <Outcome.GRANTED: 'granted'>
    >>> bucket.try_spend(10, limits, 0.1)
    Decision(outcome=<Outcome.REFUSED: 'refused'>, wait_s=1.9)
    """

    level: float
    at_s: float
    turn_s: float = float("-inf")

    def refill(self, limits: "Limits", now_s: float) -> None:
        """Add what has come in since the last time."""
        passed_s = max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        gained = passed_s * limits.rate_per_s
        self.level = min(limits.max_units, self.level + gained)

    def try_spend(
        self, cost: float, limits: "Limits", now_s: float
    ) -> Decision:
        """Decide on a request, and count it if it may be sent.

        Parameters
        ----------
        cost : float
            Of the request.
        limits : Limits
            In force now.
        now_s : float
            Monotonic time.
        """
        self.refill(limits, now_s)
        least = limits.least(cost)
        if self.level >= least or cost == 0:
            self.level -= cost
            return GRANTED
        return self._refused(cost, least, limits, now_s)

    def _refused(
        self, cost: float, least: float, limits: "Limits", now_s: float
    ) -> Decision:
        """Say when there is room, one refused request after the other."""
        latest_s = now_s + LONGEST_WAIT_S
        if limits.rate_per_s <= 0:
            return Decision(Outcome.REFUSED, LONGEST_WAIT_S)
        free_s = now_s + (least - self.level) / limits.rate_per_s
        turn_s = min(max(free_s, self.turn_s), latest_s)
        self.turn_s = min(turn_s + cost / limits.rate_per_s, latest_s)
        return Decision(Outcome.REFUSED, round(turn_s - now_s, 3))


@attrs.frozen
class Limits:
    """What one router gives out of a cap.

    Parameters
    ----------
    rate_per_s : float
        Units a second.
    max_units : float
        Units at once.
    max_overdraft : float
        Units by which one request may overdraw a balance.
    """

    rate_per_s: float
    max_units: float
    max_overdraft: float = 0.0

    def least(self, cost: float) -> float:
        """Return the least balance with which a request passes."""
        if cost <= SMALL_SHARE * self.max_overdraft:
            return -SMALL_DEBT_SHARE * self.max_overdraft
        return max(0.0, min(cost, self.max_units) - self.max_overdraft)


class Ledger:
    """The balances that this router owns, or its part of them.

    Parameters
    ----------
    bounds : Bounds
        How exactly caps are kept.

    Examples
    --------
    >>> ledger = Ledger(Bounds(8.0))
    >>> cap = Cap(10.0, 20.0)
    >>> ledger.set_owner_since(0.0)
    >>> taken = [ledger.try_spend("north", cap, 1, 5.0) for _ in range(21)]
    >>> [each.outcome.value for each in taken[-2:]]
    ['granted', 'refused']
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self._balances = cachetools.LRUCache(MAX_ORGANISATIONS)
        self._since_s = float("inf")

    def set_owner_since(self, since_s: float) -> None:
        """Note from when on this router may have been an owner."""
        self._since_s = since_s

    def organisations(self) -> list[str]:
        """Return the organisations of which a balance is kept."""
        return list(self._balances)

    def drop(self, name: str) -> None:
        """Forget the balance of an organisation that others own now."""
        self._balances.pop(name, None)

    def restart_empty(self, now_s: float) -> None:
        """Let all balances begin anew, without a burst.

        Failure: an owner is frozen, and another takes its place.  Symptom:
        it wakes with full balances, and grants a second burst.
        """
        self._since_s = now_s
        for balance in self._balances.values():
            balance.level = min(balance.level, 0.0)
            balance.at_s = now_s

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
            Of the organisation.
        cap : Cap
            In force.
        cost : float
            In the cap's unit.
        now_s : float
            Monotonic time.
        share : float
            Part of the cap that is given out here.
        """
        if cost > self.bounds.window_allowance(cap):
            return TOO_LARGE
        limits = Limits(
            share * cap.rate_per_s,
            share * self.bounds.burst(cap),
            self.bounds.max_overdraft,
        )
        return self._balance(name, limits, now_s).try_spend(
            cost, limits, now_s
        )

    def charge(self, name: str, units: float) -> None:
        """Count units beside, if a balance is kept here.

        Negative ones were granted, and not used.
        """
        balance = self._balances.get(name)
        if balance is not None:
            balance.level -= units

    def _balance(self, name: str, limits: Limits, now_s: float) -> TokenBucket:
        found = self._balances.get(name)
        if found is None:
            owned_s = max(0.0, now_s - self._since_s)
            level = min(limits.max_units, owned_s * limits.rate_per_s)
            found = self._balances[name] = TokenBucket(level, now_s)
        return found


@attrs.define
class ReserveLimiter:
    """What a router admits by itself while no owner can be asked.

    A share is often smaller than one request.  What lies above it passes in
    proportion to what is left of it, so that together the routers admit as
    much as the reserve allows on average.

    Parameters
    ----------
    bounds : Bounds
        How exactly caps are kept.
    rng : random.Random
        Draws what passes.
    """

    bounds: Bounds
    rng: random.Random
    _balances: cachetools.LRUCache = attrs.field(
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
            Of the organisation.
        cap : Cap
            In force.
        cost : float
            In the cap's unit.
        now_s : float
            Monotonic time.
        max_units : float
            Units that this router may admit in one window.
        """
        if cost > self.bounds.window_allowance(cap):
            return TOO_LARGE
        # Half at once, and half over the window, make the whole.
        limits = Limits(max_units / 2 / self.bounds.window_s, max_units / 2)
        balance = self._balances.get(name)
        if balance is None:
            balance = TokenBucket(limits.max_units, now_s)
            self._balances[name] = balance
        balance.refill(limits, now_s)
        if balance.level > cost * self.rng.random():
            balance.level -= cost
            return GRANTED
        wait_s = SHARE_WAIT_S * self.rng.uniform(0.7, 1.3)
        return Decision(Outcome.REFUSED, round(wait_s, 3))


@attrs.define
class FleetSize:
    """How much of the fleet is there, of what there was lately.

    Failure: a fleet is cut in two, and each half counts the other as gone.
    Symptom: both have an owner that gives out the whole cap.  So an owner
    gives out only the share of those that it sees, as long as those that
    are missing may still be admitting.

    Parameters
    ----------
    kept_s : float
        For how long routers that have gone silent count.

    Examples
    --------
    >>> size = FleetSize(10.0)
    >>> size.share(60, 0.0), size.share(40, 1.0), size.share(40, 10.5)
    (1.0, 0.6666666666666666, 1.0)
    """

    kept_s: float
    _most: list[tuple[float, int]] = attrs.field(factory=list)

    def share(self, live: int, now_s: float) -> float:
        """Return the part of the fleet that is live."""
        self._most = [
            (at_s, number)
            for at_s, number in self._most
            if now_s - at_s < self.kept_s and number > live
        ]
        self._most.append((now_s, live))
        return live / max(number for _, number in self._most)


def is_finite(units: float) -> bool:
    """Return whether a router's word on units can be true."""
    return math.isfinite(units)
