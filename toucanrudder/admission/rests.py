"""Rests that upstreams ask this router for.  No I/O.

An upstream that refuses a request may say for how long it wants none of this
router.  That is its word to one sender, so it is not shared with peers, and
nothing else ends it: no later answer, no lapse of its registry entry.

After a rest the upstream looks idle to each router that kept it.  So one
request is sent as a trial, and more once it is answered.
"""

import random

import attrs

#: Longest rest that is kept; a longer one is asked for again by then.
MAX_REST_S = 60.0

#: Part of a rest by which it is lengthened at random, so that routers that
#: were refused together do not return together.
SPREAD_SHARE = 0.1

#: Part of the time until the first upstream may be sent a request by which
#: the delays of callers differ, so that they do not return at one moment.
RETRY_SPREAD_SHARE = 0.5

#: Time after which an unanswered trial does not keep back other requests.
TRIAL_S = 0.5


@attrs.define
class Rest:
    """A rest of one upstream.

    Parameters
    ----------
    until_s : float
        Monotonic time of its end.
    trial_at_s : float or None
        When the first request after it was sent.
    """

    until_s: float
    trial_at_s: float | None = None

    def wait_s(self, now_s: float) -> float:
        """Return the time until the upstream may be sent a request."""
        wait_s = self.until_s - now_s
        if wait_s <= 0 and self.trial_at_s is not None:
            wait_s = self.trial_at_s + TRIAL_S - now_s
        return max(0.0, wait_s)


@attrs.define(eq=False)
class Rests:
    """Rests of this router, by upstream.

    Examples
    --------
    >>> rests = Rests()
    >>> rests.record("u", 2.0, now_s=10.0), rests.record("u", 1.0, now_s=10.5)
    (True, False)
    >>> rests.wait_s("u", 11.0), rests.wait_s("u", 12.0)
    (1.0, 0.0)
    >>> rests.record_sent("u", 12.0); rests.wait_s("u", 12.25)
    0.25
    >>> rests.record_served("u", 12.25); rests.wait_s("u", 12.25)
    0.0
    """

    _rests: dict[str, Rest] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has to be left alone, or tried."""
        return not self._rests

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._rests

    def record(self, upstream: str, for_s: float, now_s: float) -> bool:
        """Record a rest; return whether it ends later than a known one.

        Parameters
        ----------
        upstream : str
            Incarnation of the upstream.
        for_s : float
            Its length, from 0.
        now_s : float
            Monotonic time.
        """
        until_s = now_s + min(for_s, MAX_REST_S)
        known = self._rests.get(upstream)
        if until_s <= now_s or (known and until_s <= known.until_s):
            return False
        self._rests[upstream] = Rest(until_s)
        return True

    def wait_s(self, upstream: str, now_s: float) -> float:
        """Return the time until an upstream may be sent a request."""
        rest = self._rests.get(upstream)
        return rest.wait_s(now_s) if rest else 0.0

    def record_sent(self, upstream: str, now_s: float) -> None:
        """Record that an upstream is sent a request."""
        rest = self._rests.get(upstream)
        if rest is None:
            return
        if rest.trial_at_s is None:
            rest.trial_at_s = now_s
        elif rest.wait_s(now_s) <= 0:
            del self._rests[upstream]

    def record_served(self, upstream: str, now_s: float) -> None:
        """Record that an upstream has taken a request."""
        rest = self._rests.get(upstream)
        if rest is not None and rest.until_s <= now_s:
            del self._rests[upstream]

    def expire(self, now_s: float) -> None:
        """Forget the rests that have ended without a request since."""
        self._rests = {
            name: rest
            for name, rest in self._rests.items()
            if now_s < rest.until_s + MAX_REST_S
        }


def retry_after_s(
    wait_s: float,
    rng: random.Random,
    spread_share: float = RETRY_SPREAD_SHARE,
) -> float:
    """Return after how many seconds a refused caller may return.

    Parameters
    ----------
    wait_s : float
        Time until the first of them may be sent a request.
    rng : random.Random
        Spreads the delays.
    spread_share : float
        Part of the time by which they differ.

    Examples
    --------
    >>> 2.0 <= retry_after_s(2.0, random.Random(1)) <= 3.0
    True
    """
    return wait_s * rng.uniform(1.0, 1.0 + spread_share)
