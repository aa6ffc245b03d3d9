"""Requests under which one upstream after the other breaks off.  No I/O.

A request that crashes each process that runs it comes back with the same
path, body and caller, at any router.  Routers tell each other which
requests were under way when a connection to an upstream broke; one that
was there too often is sent nowhere any more.
"""

import hashlib

from toucanrudder import quarantine
from toucanrudder.forwarding import model

#: Upstream processes that may break off under one request.  A caller's
#: tries and resumes of a harmless one meet two crashes at the most, even
#: when a third of all engines crash at once and again.
MAX_CRASHES = 3


def fingerprint(organisation: str, target: bytes, body: bytes) -> str:
    """Return the identity by which a request is known when it comes again.

    Examples
    --------
    >>> fingerprint("a", b"/x", b"1") == fingerprint("b", b"/x", b"1")
    False
    """
    digest = hashlib.sha256(target + b"\0" + body).hexdigest()
    return quarantine.fingerprint(organisation, digest)


class CrashCounts:
    """Breaks by request, of this router and, by merging, of all others.

    Examples
    --------
    >>> counts = CrashCounts()
    >>> for number in range(3):
    ...     engine = model.Upstream(f"i{number}", "s", "10.0.0.1:80")
    ...     counts.record_crash("f", engine, wall_s=10.0)
    >>> counts.is_poison("f"), counts.is_poison("g")
    (True, False)
    """

    def __init__(self):
        self.suspicions = quarantine.SuspectTracker()
        self._processes: dict[str, set[tuple[str, str]]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing has broken off lately."""
        return not self._processes

    @property
    def fingerprints(self) -> set[str]:
        """Requests under which something has broken off."""
        return set(self._processes)

    def record_crash(
        self, fingerprint_: str, upstream: model.Upstream, wall_s: float
    ) -> None:
        """Note that an upstream broke off while it ran the request."""
        self.suspicions.record_crash(
            upstream.address,
            upstream.incarnation,
            [quarantine.InFlight(fingerprint_)],
            wall_s,
        )
        self._count(wall_s)

    def merge(self, entries, wall_s: float) -> None:
        """Take in what another router has seen."""
        if self.suspicions.merge(entries, wall_s):
            self._count(wall_s)

    def _count(self, wall_s: float) -> None:
        self._processes = {}
        for entry in self.suspicions.entries(wall_s):
            if entry.kind is quarantine.Kind.CRASH:
                found = self._processes.setdefault(entry.fingerprint, set())
                found.add(entry.crash)

    def is_poison(self, fingerprint_: str) -> bool:
        """Whether the request is to be sent nowhere any more."""
        found = self._processes.get(fingerprint_, ())
        return len(found) >= MAX_CRASHES
