"""Which upstreams must get no new work because they are leaving.  No I/O.

Two tell: the platform's list, which lags, and the upstream's own load
report.  Whichever says "leaving" first counts.
"""

from collections.abc import Iterable

import attrs

LEAVING = "leaving"
LIVE = "live"


@attrs.frozen
class Instance:
    """One row of the platform's list."""

    name: str
    kind: str
    address: str
    state: str


class InstanceTable:
    """The platform's last word on each instance.

    Examples
    --------
    >>> table = InstanceTable()
    >>> table.listed([Instance("e1", "upstream", "10.0.0.1:80", "leaving")])
    >>> table.is_leaving("e1", own_state="live")
    True
    >>> table.is_leaving("e2", own_state="leaving")
    True
    """

    def __init__(self) -> None:
        self._states: dict[str, str] = {}

    def listed(self, instances: Iterable[Instance]) -> None:
        """Replace the list.

        The last list stays in force while the store is down: an instance
        that was leaving does not come back because nobody can say so.
        """
        self._states = {each.name: each.state for each in instances}

    def is_leaving(self, name: str, own_state: str | None) -> bool:
        """Say whether the upstream must get no new work.

        Parameters
        ----------
        name : str
            The upstream's name.
        own_state : str or None
            What its last load report says; None before the first one.

        Returns
        -------
        bool
            An instance that the platform does not list is judged by its
            own word alone: the list lags, so a new one is missing there.
        """
        return LEAVING in (self._states.get(name), own_state)
