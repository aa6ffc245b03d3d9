"""Whether a started router probably knows all others.  No I/O."""

import attrs

#: Time without a previously unknown router after which the number of
#: routers is taken as final.
STABLE_S = 0.8

#: Longest wait: a router that hears of no other by then is alone, or cut
#: off.
MAX_WAIT_S = 3.0


@attrs.define(eq=False)
class ConvergenceDetector:
    """Detects when the number of live routers has stopped growing.

    When all routers of a large fleet start at once, each at first takes
    itself for one of few and does the work that a few do for all: it
    watches the store for every change and asks all engines for their
    complete cache contents, while its callers wait.  Gossip makes the
    others known within two exchanges, so waiting for that costs little.

    Parameters
    ----------
    max_wait_s : float
        Longest wait in seconds, from the first call on.

    Examples
    --------
    >>> detector = ConvergenceDetector()
    >>> detector.has_converged(1, 0.0), detector.has_converged(40, 0.6)
    (False, False)
    >>> detector.has_converged(40, 1.3), detector.has_converged(40, 1.5)
    (False, True)
    """

    max_wait_s: float = MAX_WAIT_S
    _started_s: float | None = None
    _increased_s: float = float("-inf")
    _max_routers: int = 1

    def has_converged(self, routers: int, now_s: float) -> bool:
        """Return whether `routers` is probably the size of the fleet.

        Parameters
        ----------
        routers : int
            Live routers, this one included.
        now_s : float
            Monotonic time.
        """
        if self._started_s is None:
            self._started_s = now_s
        if routers > self._max_routers:
            self._max_routers, self._increased_s = routers, now_s
        if now_s - self._started_s >= self.max_wait_s:
            return True
        return self._max_routers > 1 and now_s - self._increased_s >= STABLE_S
