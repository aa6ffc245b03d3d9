"""Software versions that the upstreams of each service have had.  No I/O.

Where a service has had a single version for as long as a stream may live,
any upstream can continue any stream.  A router may rely on that only if it
has seen, or was told by peers, all versions of that time, and if it would
have learned of a new one by now.

So no router begins streams at a version before `NEW_VERSION_HOLD_S` have
passed since it first saw it.  A router whose news is not older than
`MAX_NEWS_AGE_S`, which is less, knows of each version at which streams have
begun.
"""

from collections.abc import Iterable

import attrs

from toucanrudder.forwarding import model
from toucanrudder.peers import messages

#: Age of the registry's last answer to any known router up to which this
#: router counts as up to date.
MAX_NEWS_AGE_S = 4.5

#: Time for which a new version begins no streams that can be resumed.
NEW_VERSION_HOLD_S = 5.0

#: Time for which versions are remembered after their last upstream left.
MAX_KEPT_S = 600.0

#: Versions remembered of one service; bounds what a faulty peer can fill.
MAX_VERSIONS = 64

#: Time without an observation after which the process was suspended.
MAX_GAP_S = 1.5


@attrs.define(eq=False)
class _Sighting:
    first_s: float
    last_s: float
    started_at_ms: int = 0

    def record_start(self, started_at_ms: int) -> None:
        """Keep the earliest known start of an upstream; 0 is unknown."""
        if started_at_ms:
            known_ms = self.started_at_ms or started_at_ms
            self.started_at_ms = min(known_ms, started_at_ms)


@attrs.define(eq=False)
class SoftwareVersions:
    """Versions by service, with the times at which they were seen.

    Attributes
    ----------
    complete_since_s : float
        Time from which on all versions are known; infinity for never.

    Examples
    --------
    >>> old = model.Upstream("i1", "s", "10.0.0.1:1", software_version="v1")
    >>> versions = SoftwareVersions()
    >>> for second in range(10):
    ...     versions.observe([old], float(second), is_current=True)
    >>> versions.sole_version("s", 5.0, 9.0), versions.is_new("s", "v1", 9.0)
    ('v1', False)
    >>> new = attrs.evolve(old, software_version="v2")
    >>> versions.observe([new], 9.1, is_current=True)
    >>> versions.sole_version("s", 5.0, 9.1), versions.is_new("s", "v2", 9.1)
    (None, True)
    """

    complete_since_s: float = float("inf")
    _seen: dict[str, dict[str, _Sighting]] = attrs.field(factory=dict)
    _observed_s: float | None = None

    def observe(
        self,
        upstreams: Iterable[model.Upstream],
        now_s: float,
        *,
        is_current: bool,
    ) -> None:
        """Record the versions that are registered now.

        Parameters
        ----------
        upstreams : iterable of model.Upstream
            All of the registry.
        now_s : float
            Monotonic time.
        is_current : bool
            Whether this router would know of a new version by now.
        """
        before_s, self._observed_s = self._observed_s, now_s
        was_suspended = before_s is None or now_s - before_s > MAX_GAP_S
        if not is_current:
            self.complete_since_s = float("inf")
        elif was_suspended or self.complete_since_s == float("inf"):
            self.complete_since_s = now_s
        for upstream in upstreams:
            sighting = self._record(
                upstream.service, upstream.software_version, now_s, now_s
            )
            sighting.record_start(upstream.started_at_ms)
        for seen in self._seen.values():
            _forget(seen, now_s - MAX_KEPT_S)

    def _record(
        self, service: str, version: str, first_s: float, last_s: float
    ) -> _Sighting:
        seen = self._seen.setdefault(service, {})
        sighting = seen.get(version)
        if sighting is None:
            sighting = _Sighting(first_s, last_s)
            if len(seen) < MAX_VERSIONS:
                seen[version] = sighting
        sighting.first_s = min(sighting.first_s, first_s)
        sighting.last_s = max(sighting.last_s, last_s)
        return sighting

    def merge(self, news: messages.SoftwareNews, now_s: float) -> None:
        """Merge what a peer has seen."""
        for each in news.versions:
            first_s, last_s = now_s - each.first_age_s, now_s - each.last_age_s
            self._record(each.service, each.version, first_s, last_s)
        if news.complete_for_s is not None:
            self.complete_since_s = min(
                self.complete_since_s, now_s - news.complete_for_s
            )

    def news(self, now_s: float) -> messages.SoftwareNews:
        """Return what peers are told."""
        complete_for_s = None
        if self.complete_since_s <= now_s:
            complete_for_s = now_s - self.complete_since_s
        return messages.SoftwareNews(
            complete_for_s,
            tuple(
                messages.SoftwareVersion(
                    service,
                    version,
                    max(0.0, now_s - sighting.first_s),
                    max(0.0, now_s - sighting.last_s),
                )
                for service, seen in self._seen.items()
                for version, sighting in seen.items()
            ),
        )

    def sole_version(
        self, service: str, window_s: float, now_s: float
    ) -> str | None:
        """Return the only version of a service within a time window.

        None if there were several, or if others may have been missed.
        """
        if self.complete_since_s > now_s - window_s:
            return None
        recent = [
            version
            for version, sighting in self._seen.get(service, {}).items()
            if sighting.last_s > now_s - window_s
        ]
        return recent[0] if len(recent) == 1 else None

    def is_known(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream of the same software was seen."""
        seen = self._seen.get(upstream.service, {})
        return upstream.software_version in seen

    def is_new(self, service: str, version: str, now_s: float) -> bool:
        """Return whether some routers may not know of a version yet.

        A router that has just started has seen all versions since then; the
        one whose upstreams have started last may be new.
        """
        seen = self._seen.get(service, {})
        sighting = seen.get(version)
        if sighting is None:
            return bool(seen)
        if now_s - sighting.first_s >= NEW_VERSION_HOLD_S:
            return False
        return any(
            other.first_s < sighting.first_s
            or (
                other.first_s == sighting.first_s
                and 0 < other.started_at_ms < sighting.started_at_ms
            )
            for other in seen.values()
        )


def _forget(seen: dict[str, _Sighting], before_s: float) -> None:
    for version in [v for v, s in seen.items() if s.last_s < before_s]:
        del seen[version]
