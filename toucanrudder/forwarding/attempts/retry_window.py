"""This router's share of the retry limit of all routers.  No I/O.

Guarantee: in any window, all routers together retry no more than the bounds
allow, whichever of them reach each other and however often they start anew.
The slack is divided by the largest recent size of the fleet, not by the
routers that are heard now.  A process that has just started does not know what
its predecessor has used in the same window; so all others keep to
`MATURE_SHARE` of the bounds, and those that start to the rest.  The slack of
the latter grows with the time since the start, so that several starts of one
router in one window have no more of it than one.
"""

import collections
import math

import attrs

from toucanrudder.membership import fleet_size


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


#: Fraction of the bounds that a process uses once it runs for a window.
MATURE_SHARE = 0.8

#: The same for a process that has just started.
STARTED_SHARE = 1.0 - MATURE_SHARE

#: Windows after its start until a router that may not know all others counts
#: on those that it knows.
COMPLETE_VIEW_WINDOWS = 3

#: Buckets of a sliding window: the more, the closer to the bound.
BUCKETS = 20


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
    started_s : float
        Monotonic time at which this process started.

    Examples
    --------
    >>> window = RetryWindow(RetryBounds(0.2, 0.0, 10.0))
    >>> for _ in range(100):
    ...     window.record_request(20.0)
    >>> fleet = fleet_size.FleetView(routers=1)
    >>> granted = [window.spend(21.0, fleet) for _ in range(20)]
    >>> granted.count(True)
    16
    """

    bounds: RetryBounds
    started_s: float = 0.0
    _requests: collections.Counter = attrs.field(factory=collections.Counter)
    _retries: collections.Counter = attrs.field(factory=collections.Counter)

    def _bucket(self, now_s: float) -> int:
        return math.floor(now_s * BUCKETS / self.bounds.window_s)

    def record_request(self, now_s: float) -> None:
        """Record a caller's request to the service (not a retry)."""
        self._note(self._requests, now_s)

    def _note(self, counter: collections.Counter, now_s: float) -> None:
        bucket = self._bucket(now_s)
        if bucket not in counter:
            for old in [key for key in counter if key < bucket - BUCKETS]:
                del counter[old]
        counter[bucket] += 1

    def remaining(self, now_s: float, fleet: fleet_size.FleetView) -> float:
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
        ran_windows = (now_s - self.started_s) / self.bounds.window_s
        share = MATURE_SHARE if ran_windows >= 1.0 else STARTED_SHARE
        slack = self.bounds.slack / fleet.routers
        return (
            share * self.bounds.ratio * requests
            + _slack_share(ran_windows, fleet) * slack
            - retries
        )

    def spend(self, now_s: float, fleet: fleet_size.FleetView) -> bool:
        """Take one retry from this router's share.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        fleet : fleet_size.FleetView
            The routers that share the bounds.

        Returns
        -------
        bool
            False if the share is used up; the retry must not be made.
        """
        if self.remaining(now_s, fleet) < 1.0:
            return False
        self._note(self._retries, now_s)
        return True


def _slack_share(ran_windows: float, fleet: fleet_size.FleetView) -> float:
    """Return the fraction of its part of the slack that a router may use.

    Parameters
    ----------
    ran_windows : float
        Windows since this process started.
    fleet : fleet_size.FleetView
        The routers that share the bounds.
    """
    if ran_windows < COMPLETE_VIEW_WINDOWS and not fleet.is_complete:
        is_alone = fleet.routers == 1
        return 0.0 if is_alone else STARTED_SHARE * min(1.0, ran_windows)
    if ran_windows < 1.0:
        return STARTED_SHARE * ran_windows
    return MATURE_SHARE
