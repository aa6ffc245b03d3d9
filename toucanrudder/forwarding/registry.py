"""Which upstreams there are, from what the registry told.  No I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import attrs
import cachetools

from toucanrudder.forwarding import model
from toucanrudder.store import continuity

#: Seconds after the registry's return within which an upstream that lives
#: is listed again.  Upstreams register anew within about two seconds.
RELIST_GRACE_S = 2.4


class Absence(enum.Enum):
    """What the registry's silence on an upstream is taken for."""

    #: Its entry is missing after an outage; it is still believed to live.
    MISSING = "missing"
    #: It is not used any more.
    GONE = "went"


@attrs.define
class _Entry:
    upstream: model.Upstream
    missing_since_s: float | None = None


#: Names whose newest start is remembered after they are gone: a late word
#: of an earlier start must not bring it back.
MAX_START_TIMES = 8192


class Registry:
    """Upstreams by incarnation, one for each name.

    A process that starts again keeps its name and knows nothing of before.
    Failure: what was believed of the earlier start is believed of the new
    one.  Symptom: requests go where nothing is cached, new weights pass
    for old ones, or an upstream that is back counts as leaving.  So a
    later start replaces an earlier one with all that was said of it, and
    an earlier one never comes back, whoever tells of it.

    While the registry is away, entries run out although their upstreams
    live.  So an entry that is missing after an outage is believed for a
    while longer; one that goes while the registry is well is gone.

    Failure: a router that was cut off takes its own outage for the
    registry's.  Symptom: it goes on sending to upstreams that have left.
    So the while counts from when the registry served any router again, and
    there is none if it served some router all along.
    """

    def __init__(self):
        self._known: dict[str, _Entry] = {}
        self._by_name: dict[str, str] = {}
        self._newest_start_ms: cachetools.LRUCache = cachetools.LRUCache(
            MAX_START_TIMES
        )
        self._by_service: dict[str, tuple[model.Upstream, ...]] | None = None
        self._recovered_s = float("-inf")
        self.served: continuity.Span | None = None
        self._synced_s = self._due_s = float("-inf")
        self.has_listing = False

    def mark_recovered(self, now_s: float) -> None:
        """Note that the registry answers this router again."""
        self._recovered_s = now_s

    def add_served_span(self, span: continuity.Span) -> None:
        """Note a time in which the registry served some router."""
        self.served = span.merged(self.served)

    @property
    def _grace_until_s(self) -> float:
        """Time until which missing entries are believed."""
        since_s, span = self._recovered_s, self.served
        if span and span.until_s >= since_s - continuity.LONGEST_GAP_S:
            since_s = min(since_s, span.since_s)
        return since_s + RELIST_GRACE_S

    def mark_synced(self, now_s: float, due_s: float) -> None:
        """Note that what is known is what the registry has.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        due_s : float
            Time by which the registry is to be heard of again.
        """
        self._synced_s, self._due_s = now_s, due_s

    def age_s(self, now_s: float) -> float:
        """Return for how long the registry may have told of no change."""
        return now_s - self._synced_s

    def overdue_s(self, now_s: float) -> float:
        """Return the time by which the registry's next word is late."""
        return max(0.0, now_s - self._due_s)

    def replace(
        self, upstreams: Iterable[model.Upstream], now_s: float
    ) -> list[tuple[model.Upstream, Absence]]:
        """Take in a whole list; return those that it lacks for the first time.

        An upstream that has started again under its name is not among them.
        """
        listed = {each.name: each for each in upstreams}
        unlisted = [
            self._known[self._by_name[name]].upstream
            for name in sorted(set(self._by_name) - set(listed))
        ]
        absent = [
            (each, absence)
            for each in unlisted
            if (absence := self.remove(each.incarnation, now_s)) is not None
        ]
        for upstream in listed.values():
            self.put(upstream)
        self.has_listing = True
        self._by_service = None
        return absent

    def put(self, upstream: model.Upstream) -> None:
        """Take in a new or changed entry.

        What an upstream itself has said meanwhile is newer than its entry:
        a process's weights only rise, and one that leaves does not stay.
        """
        if self.is_superseded(upstream):
            return
        known = self._known.get(upstream.incarnation)
        if known is not None:
            upstream = _merged(known.upstream, upstream)
        earlier = self._by_name.get(upstream.name)
        if earlier is not None and earlier != upstream.incarnation:
            self._drop(earlier)
        self._known[upstream.incarnation] = _Entry(upstream)
        self._by_name[upstream.name] = upstream.incarnation
        self._newest_start_ms[upstream.name] = upstream.born_ms
        self._by_service = None

    def is_superseded(self, upstream: model.Upstream) -> bool:
        """Whether a later start under the same name has been seen.

        Examples
        --------
        >>> registry = Registry()
        >>> late = model.Upstream("i@2", "s", "10.0.0.1:1", name="i",
        ...     born_ms=2)
        >>> registry.put(late)
        >>> registry.is_superseded(attrs.evolve(late, born_ms=1))
        True
        """
        return upstream.born_ms < self._newest_start_ms.get(upstream.name, 0)

    def _drop(self, incarnation: str) -> None:
        found = self._known.pop(incarnation)
        del self._by_name[found.upstream.name]
        self._by_service = None

    def remove(self, incarnation: str, now_s: float) -> Absence | None:
        """Take in that an entry is gone; None if that is no news."""
        known = self._known.get(incarnation)
        if known is None:
            return None
        if now_s < self._grace_until_s and not known.upstream.is_leaving:
            if known.missing_since_s is not None:
                return None
            known.missing_since_s = now_s
            return Absence.MISSING
        self._drop(incarnation)
        return Absence.GONE

    def expire_missing(self, now_s: float) -> list[model.Upstream]:
        """Drop the entries that have stayed missing; return them."""
        if now_s < self._grace_until_s:
            return []
        dropped = self._missing()
        for upstream in dropped:
            self._drop(upstream.incarnation)
        return dropped

    def _missing(self) -> list[model.Upstream]:
        return [
            known.upstream
            for known in self._known.values()
            if known.missing_since_s is not None
        ]

    def counts(self) -> dict[str, int]:
        """Return how many upstreams are used, and missing of them."""
        return {
            "known": len(self._known),
            Absence.MISSING.value: len(self._missing()),
        }

    def mark_leaving(self, incarnation: str) -> bool:
        """Note that an upstream said itself, or to a peer, that it leaves.

        Returns
        -------
        bool
            Whether that is news.
        """
        known = self._known.get(incarnation)
        if known is None or known.upstream.is_leaving:
            return False
        known.upstream = attrs.evolve(known.upstream, is_leaving=True)
        self._by_service = None
        return True

    def update_weights(
        self, incarnation: str, name: str, version: int
    ) -> None:
        """Note the weights with which an upstream answered."""
        known = self._known.get(incarnation)
        if known is None or known.upstream.weights.get(name, 0) >= version:
            return
        weights = {**known.upstream.weights, name: version}
        known.upstream = attrs.evolve(known.upstream, weights=weights)
        self._by_service = None

    def get(self, incarnation: str) -> model.Upstream | None:
        """Return one upstream."""
        known = self._known.get(incarnation)
        return known.upstream if known else None

    def by_name(self, name: str) -> model.Upstream | None:
        """Return the newest start of the upstream of that name."""
        return self.get(self._by_name.get(name, ""))

    @property
    def incarnations(self) -> set[str]:
        """All that are known."""
        return set(self._known)

    def for_service(self, service: str) -> tuple[model.Upstream, ...]:
        """Return the upstreams of a service, also leaving ones."""
        if self._by_service is None:
            self._by_service = _grouped(self._known)
        return self._by_service.get(service, ())


def _merged(known: model.Upstream, entry: model.Upstream) -> model.Upstream:
    weights = {
        name: max(version, known.weights.get(name, 0))
        for name, version in entry.weights.items()
    }
    return attrs.evolve(
        entry,
        weights=weights,
        is_leaving=entry.is_leaving or known.is_leaving,
    )


def _grouped(
    known: Mapping[str, _Entry],
) -> dict[str, tuple[model.Upstream, ...]]:
    grouped: dict[str, list[model.Upstream]] = {}
    for each in known.values():
        grouped.setdefault(each.upstream.service, []).append(each.upstream)
    return {service: tuple(found) for service, found in grouped.items()}
