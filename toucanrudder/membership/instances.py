"""Tracks upstreams that must get no new work as they leave.  No I/O.

There are two sources: the platform's instance list, which lags, and the
upstream's own load report.  Whichever says "leaving" first counts.
"""

from collections.abc import Iterable

import attrs

LEAVING = "leaving"
LIVE = "live"


@attrs.frozen
class Instance:
    """One row of the platform's instance list."""

    name: str
    kind: str
    address: str
    state: str


class InstanceTable:
    """The last known state of each instance in the platform's list.

    Examples
    --------
    >>> table = InstanceTable()
    >>> table.replace([Instance("e1", "upstream", "10.0.0.1:80", "leaving")])
    >>> table.is_leaving("e1", reported_state="live")
    True
    >>> table.is_leaving("e2", reported_state="leaving")
    True
    """

    def __init__(self) -> None:
        self._states: dict[str, str] = {}

    def replace(self, instances: Iterable[Instance]) -> None:
        """Replace the list.

        The last list stays in force while the platform cannot be reached,
        so that a leaving instance does not count as live again.
        """
        self._states = {row.name: row.state for row in instances}

    def is_leaving(self, name: str, reported_state: str | None) -> bool:
        """Return whether the upstream must get no new work.

        Parameters
        ----------
        name : str
            The upstream's name.
        reported_state : str or None
            State in its last load report; None before the first one.

        Returns
        -------
        bool
            For an instance that is not in the platform's list, only the
            reported state counts: the list lags, so a new instance is not
            in it yet.
        """
        return LEAVING in (self._states.get(name), reported_state)
