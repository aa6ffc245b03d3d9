"""How many routers a fleet has, where some of them cannot be heard.  No I/O.

A share of a bound that holds for all routers together must not grow because
others are out of reach: they may still use theirs.  So it is derived from the
largest number of routers that were live at one time recently, as seen by this
router or told by others.
"""

import attrs

#: Time for which a number of routers counts.  A partition that lasts longer
#: looks like a smaller fleet.
KEPT_S = 600.0


@attrs.frozen
class FleetView:
    """What a router knows of the size of its fleet.

    Parameters
    ----------
    routers : int
        Largest recent number of routers, this one included.
    is_complete : bool
        Whether a router that has just started probably knows all others.
    """

    routers: int
    is_complete: bool = True


@attrs.define
class FleetSize:
    """Largest number of routers that were live at one time recently.

    Parameters
    ----------
    kept_s : float
        Seconds for which a number counts.

    Examples
    --------
    >>> size = FleetSize(10.0)
    >>> size.share(60, 0.0), size.share(40, 1.0), size.share(40, 10.5)
    (1.0, 0.6666666666666666, 1.0)
    """

    kept_s: float = KEPT_S
    _counts: list[tuple[float, int]] = attrs.field(factory=list)

    def record(self, routers: int, at_s: float, now_s: float) -> None:
        """Record how many routers were live at a time."""
        self._counts = [
            (seen_s, count)
            for seen_s, count in self._counts
            if now_s - seen_s < self.kept_s
            and (count > routers or seen_s > at_s)
        ]
        if not any(
            seen_s >= at_s and count >= routers
            for seen_s, count in self._counts
        ):
            self._counts.append((at_s, routers))

    def largest(self, now_s: float) -> tuple[int, float]:
        """Return the largest number that counts, and its age in seconds."""
        count, at_s = max(
            (
                (count, at_s)
                for at_s, count in self._counts
                if now_s - at_s < self.kept_s
            ),
            default=(1, now_s),
        )
        return count, now_s - at_s

    def share(self, live: int, now_s: float) -> float:
        """Record the live routers; return their share of the recent ones."""
        self.record(live, now_s, now_s)
        return live / self.largest(now_s)[0]
