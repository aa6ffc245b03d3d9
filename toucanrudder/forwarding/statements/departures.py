"""Processes that have announced to leave.  No I/O.

A process announces it in the registry and in its answers, and does not take
it back.  The announcement is therefore kept apart from the registry's entry,
which may lapse and return, or come from an older copy of the registry, and is
dropped only with the process.
"""

import attrs
import cachetools

from toucanrudder.forwarding import model

#: Processes whose announcement is kept.
MAX_DEPARTURES = 8192

#: Software of a process of which only the incarnation is known.
_ANY_SOFTWARE = ""


@attrs.define(eq=False)
class Departures:
    """Processes that leave, by this router's and its peers' word.

    Examples
    --------
    >>> departures = Departures()
    >>> process = model.Upstream("u@1", "s", "u:1", name="u")
    >>> departures.record("u@1"), departures.record("u@1")
    (True, False)
    >>> departures.includes(process)
    True
    >>> departures.includes(attrs.evolve(process, incarnation="u@2"))
    False
    """

    _software: cachetools.LRUCache = attrs.field(
        factory=lambda: cachetools.LRUCache(MAX_DEPARTURES)
    )

    def record(
        self, incarnation: str, software_version: str = _ANY_SOFTWARE
    ) -> bool:
        """Record that a process leaves; return whether that is new."""
        is_new = incarnation not in self._software
        if is_new or self._software[incarnation] == _ANY_SOFTWARE:
            self._software[incarnation] = software_version
        return is_new

    def includes(self, upstream: model.Upstream) -> bool:
        """Whether a process has announced to leave.

        Where entries have no start time, other software shows that another
        process has started under the name.
        """
        software = self._software.get(upstream.incarnation)
        return software is not None and software in (
            _ANY_SOFTWARE,
            upstream.software_version,
        )
