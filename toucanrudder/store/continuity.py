"""Time in which a store is known to have served calls without a long gap.

Counted is when a call was sent that was answered: a watch may be answered
while new calls are refused.
"""

import attrs

#: Seconds without a served call in which no entry runs out that is renewed:
#: an outage must cover two of the three renewals that an entry lasts.
LONGEST_GAP_S = 2.25

#: Longest waits of the watches of the routers that show that the store
#: serves calls.  They differ, as a change ends all watches at one time.
WATCH_WAITS_S = (1.4, 1.7, 2.0)


@attrs.frozen
class Span:
    """A time in which a store served some router or other.

    Parameters
    ----------
    since_s, until_s : float
        Monotonic times of the first and the last call.
    """

    since_s: float
    until_s: float

    def merged(self, other: "Span | None") -> "Span":
        """Return both as one, or the later of them if a long gap is between.

        Examples
        --------
        >>> Span(1.0, 5.0).merged(Span(6.0, 7.0))
        Span(since_s=1.0, until_s=7.0)
        >>> Span(9.0, 9.5).merged(Span(1.0, 5.0))
        Span(since_s=9.0, until_s=9.5)
        """
        if other is None:
            return self
        earlier, later = sorted((self, other), key=lambda each: each.since_s)
        if later.since_s - earlier.until_s > LONGEST_GAP_S:
            return later
        until_s = max(earlier.until_s, later.until_s)
        return Span(earlier.since_s, until_s)
