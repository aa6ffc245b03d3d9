"""Whether a router that has started knows the others.  No I/O."""

import attrs

#: Time without a router that was not known before, after which this one
#: knows how many there are.
SETTLE_S = 0.8

#: Longest wait for it: who hears of nobody is alone, or cut off.
ALONE_S = 3.0


@attrs.define(eq=False)
class Settling:
    """Tells from when on a router's place among the others is known.

    Failure: all routers of a large fleet start at once, and each takes
    itself for one of few.  Symptom: each does what a few are to do for
    all: it watches the store for every change, and asks all engines for
    all that their caches hold, while its callers wait.  Others are heard
    of within two exchanges, so little is lost by waiting for that.

    Parameters
    ----------
    alone_s : float
        Longest wait, from the first question on.

    Examples
    --------
    >>> settling = Settling()
    >>> settling.is_settled(1, 0.0), settling.is_settled(40, 0.6)
    (False, False)
    >>> settling.is_settled(40, 1.3), settling.is_settled(40, 1.5)
    (False, True)
    """

    alone_s: float = ALONE_S
    _began_s: float | None = None
    _grown_s: float = float("-inf")
    _most: int = 1

    def is_settled(self, routers: int, now_s: float) -> bool:
        """Say whether so many routers are probably all there are.

        Parameters
        ----------
        routers : int
            Live ones, this one included.
        now_s : float
            Monotonic time.
        """
        if self._began_s is None:
            self._began_s = now_s
        if routers > self._most:
            self._most, self._grown_s = routers, now_s
        if now_s - self._began_s >= self.alone_s:
            return True
        return self._most > 1 and now_s - self._grown_s >= SETTLE_S
