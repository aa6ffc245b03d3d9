"""This router's share of the retry limit of all routers.  No I/O."""

import collections
import math

import attrs


@attrs.frozen
class RetryBounds:
    """Bounds on the retries of all routers to one service.

    Parameters
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries in one window.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


#: Fraction of the bound that is used, as routers learn seconds late that
#: others have started or stopped.
SAFETY_FACTOR = 0.8

#: Buckets of a sliding window: the more, the closer to the bound.
BUCKETS = 20

#: Fraction of its slack that a router may use right after its start: its
#: predecessor may have used as much in the same window.
START_SLACK_SHARE = 0.5


@attrs.define
class RetryWindow:
    """Sliding-window limit of this router's retries to one service.

    Expected load: an engine fails under a few dozen requests within a tenth
    of a second, or refuses as many while it loads new weights.  A token
    bucket that is filled by requests and holds a few retries would lose
    most of them although the bound is on a whole window.  With crashes
    during a change of weights, half of the requests that engines refused
    found such a bucket empty.  So the window itself is counted.

    Parameters
    ----------
    bounds : RetryBounds
        Bounds over all routers.

    Examples
    --------
    >>> window = RetryWindow(RetryBounds(0.2, 0.0, 10.0))
    >>> for _ in range(100):
    ...     window.record_request(0.0)
    >>> granted = [window.spend(1.0, routers=1) for _ in range(20)]
    >>> granted.count(True)
    16
    """

    bounds: RetryBounds
    _requests: collections.Counter = attrs.field(factory=collections.Counter)
    _retries: collections.Counter = attrs.field(factory=collections.Counter)
    _began_s: float | None = None

    def _bucket(self, now_s: float) -> int:
        return math.floor(now_s * BUCKETS / self.bounds.window_s)

    def record_request(self, now_s: float) -> None:
        """Record a caller's request to the service (not a retry)."""
        self._note(self._requests, now_s)

    def _note(self, counter: collections.Counter, now_s: float) -> None:
        if self._began_s is None:
            self._began_s = now_s
        bucket = self._bucket(now_s)
        if bucket not in counter:
            for old in [key for key in counter if key < bucket - BUCKETS]:
                del counter[old]
        counter[bucket] += 1

    def remaining(self, now_s: float, routers: int) -> float:
        """Return the number of retries that are allowed now.

        Requests count only in buckets entirely inside the window, retries
        also in the bucket that is partly inside.
        """
        bucket = self._bucket(now_s)
        requests = sum(
            count
            for key, count in self._requests.items()
            if key > bucket - BUCKETS
        )
        retries = sum(
            count
            for key, count in self._retries.items()
            if key >= bucket - BUCKETS
        )
        slack = self._slack_share(now_s) * self.bounds.slack / max(1, routers)
        allowed = SAFETY_FACTOR * (self.bounds.ratio * requests + slack)
        return allowed - retries

    def _slack_share(self, now_s: float) -> float:
        if self._began_s is None:
            return START_SLACK_SHARE
        age = (now_s - self._began_s) / self.bounds.window_s
        return min(1.0, START_SLACK_SHARE + (1.0 - START_SLACK_SHARE) * age)

    def spend(self, now_s: float, routers: int) -> bool:
        """Take one retry from this router's share.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        routers : int
            Live routers, this one included.

        Returns
        -------
        bool
            False if the share is used up; the retry must not be made.
        """
        if self.remaining(now_s, routers) < 1.0:
            return False
        self._note(self._retries, now_s)
        return True
