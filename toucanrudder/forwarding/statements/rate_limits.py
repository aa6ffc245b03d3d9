"""Rates that upstreams state and all routers keep to together.  No I/O.

An upstream in need says in its answers how many requests per second it takes
from all routers together.  Expected load: rates of a request per second or
less at many of some hundred upstreams, and up to 200 routers, so that equal
shares of a rate would be less than one request in a minute.  A rate is
therefore not divided: one router at a time has the turn at an upstream, the
first by rendezvous hashing over the live routers, and only that one sends it
requests, from a token bucket that starts empty.  The others choose other
upstreams, or hand a request over to a router that has a turn.

An upstream that nobody may ask cannot say that it needs no limit any more.  So
the turn passes to the next router if the statement has not been renewed for
`TURN_S`.  Once an answer states no limit, the upstream is idle and all routers
would choose it; so its rate grows for `RAMP_S` before they may.
"""

from collections.abc import Iterable
import math
import random

import attrs

from toucanrudder.admission import caps

#: Age of a statement from which the next router in rank has the turn.
TURN_S = 5.0

#: Lowest rate that is used: an upstream that states 0 is still asked whether
#: it needs the limit.
MIN_RATE_PER_S = 0.2

#: Time for which a token bucket fills at most; one request if that is less.
BURST_S = 0.5

#: Time from the end of a limit until the upstream is used as any other, and
#: the factor by which its rate grows each second until then.
RAMP_S = 4.0
RAMP_GROWTH = 2.0

#: Time for which the end of a limit is kept, so that no older statement of a
#: peer revives it, and a limit whose upstream is not registered any more, as
#: its entry may only have lapsed.
KEPT_S = 30.0

#: Differences in age that may be the time of a message on its way.  Of two
#: statements as old as that the end counts: the upstream is then asked, and
#: states a limit again if it still has one.
SAME_AGE_S = 0.1

#: Longest retry delay of a request that found no room.
MAX_RETRY_AFTER_S = 10.0


@attrs.frozen
class Statement:
    """What an upstream has said last.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that it takes, or took before the limit ended.
    at_s : float
        Monotonic time of the answer, the first one without a limit if it has
        ended.
    is_ended : bool
        Whether it states no limit any more.
    """

    rate_per_s: float
    at_s: float
    is_ended: bool = False

    @property
    def stated_rate_per_s(self) -> float | None:
        """The rate that it states now."""
        return None if self.is_ended else self.rate_per_s

    def current_rate_per_s(self, now_s: float) -> float | None:
        """Return the rate to keep to; None if there is none."""
        rate_per_s = max(MIN_RATE_PER_S, self.rate_per_s)
        if not self.is_ended:
            return rate_per_s
        ended_for_s = max(0.0, now_s - self.at_s)
        if ended_for_s >= RAMP_S:
            return None
        return rate_per_s * RAMP_GROWTH**ended_for_s


@attrs.frozen
class Turn:
    """A router's part in the use of an upstream.

    Parameters
    ----------
    is_own : bool
        Whether this router has the turn.
    share : float
        Part of the rate that it may use: less than 1 while some routers of
        the fleet are out of reach and may give the turn to another.
    """

    is_own: bool
    share: float = 1.0


@attrs.define(eq=False)
class RateLimits:
    """Limits that upstreams state, by this router's and its peers' word.

    Examples
    --------
    >>> limits, own = RateLimits(), Turn(is_own=True)
    >>> limits.record("u", 2.0, now_s=10.0)
    True
    >>> limits.may_send("u", Turn(is_own=False), 11.0)
    False
    >>> limits.may_send("u", own, 10.1), limits.may_send("u", own, 10.7)
    (False, True)
    >>> limits.spend("u", own, 10.7), limits.spend("u", own, 10.7)
    (True, False)
    """

    _statements: dict[str, Statement] = attrs.field(factory=dict)
    _buckets: dict[str, caps.TokenBucket] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has stated a limit recently."""
        return not self._statements

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._statements

    def record(
        self, upstream: str, rate_per_s: float | None, now_s: float
    ) -> bool:
        """Record what an upstream's answer says; return whether it is news.

        Parameters
        ----------
        upstream : str
            Incarnation of the upstream.
        rate_per_s : float or None
            As in `Statement`; NaN, which cannot be read, changes nothing.
        now_s : float
            Monotonic time.
        """
        if rate_per_s is not None and math.isnan(rate_per_s):
            return False
        return self._set(upstream, rate_per_s, now_s)

    def merge(
        self, upstream: str, rate_per_s: float | None, said_at_s: float
    ) -> bool:
        """Record a peer's word if it is newer; return whether it is news."""
        known = self._statements.get(upstream)
        least_s = SAME_AGE_S if rate_per_s is not None else -SAME_AGE_S
        if known is not None and said_at_s - known.at_s < least_s:
            return False
        return self._set(upstream, rate_per_s, said_at_s)

    def _set(
        self, upstream: str, rate_per_s: float | None, at_s: float
    ) -> bool:
        known = self._statements.get(upstream)
        stated_per_s = known.stated_rate_per_s if known else None
        if rate_per_s is None and stated_per_s is None:
            return False
        if rate_per_s is None:
            statement = Statement(stated_per_s, at_s, is_ended=True)
        else:
            statement = Statement(rate_per_s, at_s)
        self._statements[upstream] = statement
        return rate_per_s != stated_per_s

    def rate_per_s(self, upstream: str, now_s: float) -> float | None:
        """Return the rate to keep to at an upstream; None if there is none."""
        statement = self._statements.get(upstream)
        return statement and statement.current_rate_per_s(now_s)

    def stated_rate_per_s(self, upstream: str) -> float | None:
        """Return the rate that an upstream states; None if it states none."""
        statement = self._statements.get(upstream)
        return statement and statement.stated_rate_per_s

    def turns(self, upstream: str, now_s: float) -> int:
        """Return how often the turn has passed on since the last statement."""
        age_s = now_s - self._statements[upstream].at_s
        return max(0, math.floor(age_s / TURN_S))

    def may_send(self, upstream: str, turn: Turn, now_s: float) -> bool:
        """Return whether this router may send an upstream a request now."""
        return self.wait_s(upstream, turn, now_s) <= 0.0

    def wait_s(self, upstream: str, turn: Turn, now_s: float) -> float:
        """Return the time until this router may send; inf without a turn."""
        rate_per_s = self.rate_per_s(upstream, now_s)
        if rate_per_s is None:
            return 0.0
        if not turn.is_own:
            self._buckets.pop(upstream, None)
            return math.inf
        limits = _limits(rate_per_s, turn)
        bucket = self._bucket(upstream, now_s)
        bucket.refill(limits, now_s)
        return max(0.0, 1.0 - bucket.level) / limits.rate_per_s

    def spend(self, upstream: str, turn: Turn, now_s: float) -> bool:
        """Take the right to send one request; return whether there is one."""
        if self.rate_per_s(upstream, now_s) is None:
            return True
        if not self.may_send(upstream, turn, now_s):
            return False
        self._bucket(upstream, now_s).level -= 1.0
        return True

    def _bucket(self, upstream: str, now_s: float) -> caps.TokenBucket:
        bucket = self._buckets.get(upstream)
        if bucket is None:
            bucket = self._buckets[upstream] = caps.TokenBucket(0.0, now_s)
        return bucket

    def current(self, now_s: float) -> dict[str, Statement]:
        """Return the statements to tell peers, by upstream."""
        for name, statement in list(self._statements.items()):
            if statement.is_ended and now_s - statement.at_s >= KEPT_S:
                del self._statements[name]
        return dict(self._statements)

    def retain(self, incarnations: Iterable[str], now_s: float) -> None:
        """Forget all other upstreams that have said nothing for long."""
        for name in self._statements.keys() - set(incarnations):
            if now_s - self._statements[name].at_s >= KEPT_S:
                del self._statements[name]
        for name in self._buckets.keys() - self._statements.keys():
            del self._buckets[name]


def _limits(rate_per_s: float, turn: Turn) -> caps.Limits:
    rate_per_s *= turn.share
    return caps.Limits(rate_per_s, max(1.0, BURST_S * rate_per_s))


def retry_after_s(
    rates_per_s: Iterable[float], routers: int, rng: random.Random
) -> float:
    """Return when a caller may return that found no room at any upstream.

    In that time an equal share of the rates admits one more request.  The
    delays are spread, so that not all callers return at one moment.

    Parameters
    ----------
    rates_per_s : iterable of float
        Rates of the service's upstreams.
    routers : int
        Live routers.
    rng : random.Random
        Spreads the delays.

    Examples
    --------
    >>> rng = random.Random(1)
    >>> 0.8 <= retry_after_s([2.0, 8.0], 8, rng) <= 1.6
    True
    """
    wait_s = routers / max(MIN_RATE_PER_S, sum(rates_per_s))
    return round(min(MAX_RETRY_AFTER_S, wait_s * rng.uniform(1.0, 2.0)), 3)
