"""Time span in which a store is known to have answered calls without a gap.

A call counts at the time it was sent, not at the time of its response,
since a watch may still be answered while new calls are refused.
"""

import attrs

#: Seconds without an answered call in which no renewed entry expires: an
#: entry lasts three renewals, and an outage would have to cover two of them.
LONGEST_GAP_S = 2.25

#: Longest waits of the watches of the routers whose calls show that the
#: store is available.  They differ because a change ends all watches at once.
WATCH_WAITS_S = (1.4, 1.7, 2.0)


@attrs.frozen
class Span:
    """Time span in which a store answered calls of any router.

    Parameters
    ----------
    since_s, until_s : float
        Monotonic times of the first and the last answered call.
    """

    since_s: float
    until_s: float

    def merged(self, other: "Span | None") -> "Span":
        """Return the union of both; the later one if a long gap is between.

        Examples
        --------
        >>> Span(1.0, 5.0).merged(Span(6.0, 7.0))
        Span(since_s=1.0, until_s=7.0)
        >>> Span(9.0, 9.5).merged(Span(1.0, 5.0))
        Span(since_s=9.0, until_s=9.5)
        """
        if other is None:
            return self
        earlier, later = sorted((self, other), key=lambda span: span.since_s)
        if later.since_s - earlier.until_s > LONGEST_GAP_S:
            return later
        until_s = max(earlier.until_s, later.until_s)
        return Span(earlier.since_s, until_s)
