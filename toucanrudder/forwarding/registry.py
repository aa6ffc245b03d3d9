"""Table of the upstreams that the registry lists.  No I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import attrs
import cachetools

from toucanrudder.forwarding import model
from toucanrudder.forwarding.statements import departures
from toucanrudder.store import continuity

#: Seconds after an outage of the registry within which a live upstream is
#: listed again.  Upstreams register again within about two seconds.
RELIST_GRACE_S = 2.4


class Absence(enum.Enum):
    """Meaning of an upstream's absence from the registry."""

    #: Its entry is missing after an outage; the upstream stays in use.
    MISSING = "missing"
    #: The upstream is not used any more.
    GONE = "went"


@attrs.define
class _Entry:
    upstream: model.Upstream
    missing_since_s: float | None = None


#: Names whose newest start time is kept after removal, so that a late
#: message about an earlier start does not restore it.
MAX_START_TIMES = 8192


class Registry:
    """Upstreams by incarnation, at most one for each name.

    A process that restarts keeps its name but loses its state.  If the
    state of the earlier start were attributed to the new one, requests
    would go where nothing is cached, new weights would be taken for old
    ones, or a restarted upstream would count as leaving.  So a later start
    replaces an earlier one with all its state, and a message about an
    earlier start never restores it.

    During an outage of the registry, entries expire although their
    upstreams are live.  So an upstream whose entry is missing after an
    outage stays in use for a grace period; one whose entry is removed
    while the registry is available is dropped at once.

    A router that was itself cut off could mistake that for an outage of
    the registry and keep sending to upstreams that have left.  So the
    grace period starts when the registry answered any router again, and
    there is none if it answered some router throughout.
    """

    def __init__(self):
        self._entries: dict[str, _Entry] = {}
        self._by_name: dict[str, str] = {}
        self._newest_start_ms: cachetools.LRUCache = cachetools.LRUCache(
            MAX_START_TIMES
        )
        self._by_service: dict[str, tuple[model.Upstream, ...]] | None = None
        self._recovered_s = float("-inf")
        self.served: continuity.Span | None = None
        self._synced_s = self._due_s = float("-inf")
        self.has_listing = False
        self.departures = departures.Departures()

    def mark_recovered(self, now_s: float) -> None:
        """Record that the registry answers this router again."""
        self._recovered_s = now_s

    def add_served_span(self, span: continuity.Span) -> None:
        """Record a time span in which the registry answered some router."""
        self.served = span.merged(self.served)

    @property
    def _grace_until_s(self) -> float:
        """End of the grace period for missing entries."""
        since_s, span = self._recovered_s, self.served
        if span and span.until_s >= since_s - continuity.LONGEST_GAP_S:
            since_s = min(since_s, span.since_s)
        return since_s + RELIST_GRACE_S

    def mark_synced(self, now_s: float, due_s: float) -> None:
        """Record that the table matches the registry.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        due_s : float
            Time by which the next answer of the registry is due.
        """
        self._synced_s, self._due_s = now_s, due_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the table last matched the registry."""
        return now_s - self._synced_s

    def overdue_s(self, now_s: float) -> float:
        """Return by how much the registry's next answer is overdue."""
        return max(0.0, now_s - self._due_s)

    def replace(
        self, upstreams: Iterable[model.Upstream], now_s: float
    ) -> list[tuple[model.Upstream, Absence]]:
        """Apply a complete listing; return newly absent upstreams.

        An upstream that was restarted under its name is not among them.
        """
        listed = {upstream.name: upstream for upstream in upstreams}
        unlisted = [
            self._entries[self._by_name[name]].upstream
            for name in sorted(set(self._by_name) - set(listed))
        ]
        absent = [
            (upstream, absence)
            for upstream in unlisted
            if (absence := self.remove(upstream.incarnation, now_s))
            is not None
        ]
        for upstream in listed.values():
            self.put(upstream)
        self.has_listing = True
        self._by_service = None
        return absent

    def put(self, upstream: model.Upstream) -> None:
        """Apply a new or changed entry.

        What an upstream itself reported since is newer than its entry: the
        weights of a process only rise, and leaving is final.
        """
        if self.is_superseded(upstream):
            return
        upstream = self._with_departure(upstream)
        entry = self._entries.get(upstream.incarnation)
        if entry is not None and _is_same_process(entry.upstream, upstream):
            upstream = _merged(entry.upstream, upstream)
        earlier = self._by_name.get(upstream.name)
        if earlier is not None and earlier != upstream.incarnation:
            self._drop(earlier)
        self._entries[upstream.incarnation] = _Entry(upstream)
        self._by_name[upstream.name] = upstream.incarnation
        self._newest_start_ms[upstream.name] = upstream.started_at_ms
        self._by_service = None

    def _with_departure(self, upstream: model.Upstream) -> model.Upstream:
        if upstream.is_leaving:
            self.departures.record(
                upstream.incarnation, upstream.software_version
            )
        elif self.departures.includes(upstream):
            return attrs.evolve(upstream, is_leaving=True)
        return upstream

    def is_superseded(self, upstream: model.Upstream) -> bool:
        """Whether a later start under the same name is known.

        Examples
        --------
        >>> registry = Registry()
        >>> late = model.Upstream("i@2", "s", "10.0.0.1:1", name="i",
        ...     started_at_ms=2)
        >>> registry.put(late)
        >>> registry.is_superseded(attrs.evolve(late, started_at_ms=1))
        True
        """
        return upstream.started_at_ms < self._newest_start_ms.get(
            upstream.name, 0
        )

    def _drop(self, incarnation: str) -> None:
        entry = self._entries.pop(incarnation)
        del self._by_name[entry.upstream.name]
        self._by_service = None

    def remove(self, incarnation: str, now_s: float) -> Absence | None:
        """Apply the removal of an entry; return None if nothing changed."""
        entry = self._entries.get(incarnation)
        if entry is None:
            return None
        if now_s < self._grace_until_s and not entry.upstream.is_leaving:
            if entry.missing_since_s is not None:
                return None
            entry.missing_since_s = now_s
            return Absence.MISSING
        self._drop(incarnation)
        return Absence.GONE

    def expire_missing(self, now_s: float) -> list[model.Upstream]:
        """Drop and return upstreams still missing after the grace period."""
        if now_s < self._grace_until_s:
            return []
        dropped = self._missing()
        for upstream in dropped:
            self._drop(upstream.incarnation)
        return dropped

    def _missing(self) -> list[model.Upstream]:
        return [
            entry.upstream
            for entry in self._entries.values()
            if entry.missing_since_s is not None
        ]

    def counts(self) -> dict[str, int]:
        """Return the numbers of upstreams in use and of missing ones."""
        return {
            "known": len(self._entries),
            Absence.MISSING.value: len(self._missing()),
        }

    def mark_leaving(self, incarnation: str) -> bool:
        """Record that an upstream has announced to stop.

        It may be one whose entry is not known at present.

        Returns
        -------
        bool
            Whether that was not known yet.
        """
        entry = self._entries.get(incarnation)
        if entry is None:
            return self.departures.record(incarnation)
        if entry.upstream.is_leaving:
            return False
        self.departures.record(incarnation, entry.upstream.software_version)
        entry.upstream = attrs.evolve(entry.upstream, is_leaving=True)
        self._by_service = None
        return True

    def update_weights(
        self, incarnation: str, name: str, version: int
    ) -> bool:
        """Record the weights of an upstream; return whether they are newer."""
        entry = self._entries.get(incarnation)
        if entry is None or entry.upstream.weights.get(name, 0) >= version:
            return False
        weights = {**entry.upstream.weights, name: version}
        entry.upstream = attrs.evolve(entry.upstream, weights=weights)
        self._by_service = None
        return True

    def get(self, incarnation: str) -> model.Upstream | None:
        """Return an upstream by its incarnation."""
        entry = self._entries.get(incarnation)
        return entry.upstream if entry else None

    def by_name(self, name: str) -> model.Upstream | None:
        """Return the newest incarnation of the upstream of that name."""
        return self.get(self._by_name.get(name, ""))

    @property
    def incarnations(self) -> set[str]:
        """Incarnations of all known upstreams."""
        return set(self._entries)

    def upstreams(self) -> list[model.Upstream]:
        """Return all known upstreams."""
        return [entry.upstream for entry in self._entries.values()]

    def for_service(self, service: str) -> tuple[model.Upstream, ...]:
        """Return the upstreams of a service, including leaving ones."""
        if self._by_service is None:
            self._by_service = _grouped(self._entries)
        return self._by_service.get(service, ())


def _is_same_process(known: model.Upstream, entry: model.Upstream) -> bool:
    """Whether an entry is of the process that is known.

    An entry without a start time may be of a later start, which other
    software proves.
    """
    return known.software_version == entry.software_version


def _merged(known: model.Upstream, entry: model.Upstream) -> model.Upstream:
    weights = {
        name: max(version, known.weights.get(name, 0))
        for name, version in entry.weights.items()
    }
    return attrs.evolve(entry, weights=weights)


def _grouped(
    entries: Mapping[str, _Entry],
) -> dict[str, tuple[model.Upstream, ...]]:
    grouped: dict[str, list[model.Upstream]] = {}
    for entry in entries.values():
        grouped.setdefault(entry.upstream.service, []).append(entry.upstream)
    return {
        service: tuple(upstreams) for service, upstreams in grouped.items()
    }
