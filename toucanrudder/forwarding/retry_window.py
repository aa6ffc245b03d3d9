"""This router's part of limits that all routers share.  No I/O."""

import collections
import math

import attrs


@attrs.frozen
class RetryBounds:
    """Bounds of the arrivals that repeat a request, over all routers.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats that are allowed beside, in one window.
    window_s : float
        Length of the window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


#: Part of the bound that is used.  Routers learn of each other's coming
#: and going seconds late.
USED_SHARE = 0.8

#: Pieces in which a window slides: the more, the closer to the bound.
SLOTS = 20

#: Part of a router's slack that it may use right after its start: the one
#: before it in its place may have used as much in the same window.
FRESH_SHARE = 0.5


@attrs.define
class RetryWindow:
    """This router's share of the retries to one service.

    Load it answers: an engine breaks off under a few dozen requests within
    a tenth of a second, or refuses as many while it loads new weights.  A
    bucket that fills with the requests and holds a few retries lets most
    of them be lost, though the bound is on a whole window; this counts
    the window itself.  On a day of crashes beside new weights half of the
    requests that engines had refused found the bucket empty.

    Parameters
    ----------
    bounds : RetryBounds
        Over all routers.

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
    _spent: collections.Counter = attrs.field(factory=collections.Counter)
    _began_s: float | None = None

    def _slot(self, now_s: float) -> int:
        return math.floor(now_s * SLOTS / self.bounds.window_s)

    def record_request(self, now_s: float) -> None:
        """Note a caller's request to the service (not a retry)."""
        self._note(self._requests, now_s)

    def _note(self, counted: collections.Counter, now_s: float) -> None:
        if self._began_s is None:
            self._began_s = now_s
        slot = self._slot(now_s)
        if slot not in counted:
            for old in [each for each in counted if each < slot - SLOTS]:
                del counted[old]
        counted[slot] += 1

    def remaining(self, now_s: float, routers: int) -> float:
        """Return the retries that may still be made now.

        Of requests only the slots that lie wholly in the window count, of
        retries also the one that lies in it in part.
        """
        slot = self._slot(now_s)
        requests = sum(
            number
            for each, number in self._requests.items()
            if each > slot - SLOTS
        )
        spent = sum(
            number
            for each, number in self._spent.items()
            if each >= slot - SLOTS
        )
        slack = self._slack_share(now_s) * self.bounds.slack / max(1, routers)
        allowed = USED_SHARE * (self.bounds.ratio * requests + slack)
        return allowed - spent

    def _slack_share(self, now_s: float) -> float:
        if self._began_s is None:
            return FRESH_SHARE
        age = (now_s - self._began_s) / self.bounds.window_s
        return min(1.0, FRESH_SHARE + (1.0 - FRESH_SHARE) * age)

    def spend(self, now_s: float, routers: int) -> bool:
        """Take one retry from the share.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        routers : int
            Live routers, this one included.

        Returns
        -------
        bool
            False when the share is spent; the retry must not be made.
        """
        if self.remaining(now_s, routers) < 1.0:
            return False
        self._note(self._spent, now_s)
        return True
