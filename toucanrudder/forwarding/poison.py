"""Detection of requests that crash their upstreams.  No I/O.

Such a request is sent again with the same path, body and organisation, to
any router.  Routers tell each other which requests were in flight when a
connection to an upstream broke; a request with too many such crashes is no
longer sent to any upstream.
"""

import hashlib

from toucanrudder import quarantine
from toucanrudder.forwarding import model

#: Number of crashed upstream processes at which a request is stopped.  A
#: caller's tries and resumes of a harmless request meet two crashes at most,
#: even if a third of all engines crash at once and again.
MAX_CRASHES = 3


def fingerprint(organisation: str, target: bytes, body: bytes) -> str:
    """Return the identity of a request over its retries.

    Examples
    --------
    >>> fingerprint("a", b"/x", b"1") == fingerprint("b", b"/x", b"1")
    False
    """
    digest = hashlib.sha256(target + b"\0" + body).hexdigest()
    return quarantine.fingerprint(organisation, digest)


def part_fingerprints(
    organisation: str, prompt: model.Prompt | None
) -> tuple[str, ...]:
    """Return the identities of the parts that other prompts may share."""
    if prompt is None:
        return ()
    return tuple(
        quarantine.part_fingerprint(organisation, prompt.model, part.identity)
        for part in prompt.shared_parts
    )


class CrashCounts:
    """Crashes by request, of this router and, by merging, of its peers.

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
        self._crashes: dict[str, set[tuple[str, str]]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there were no recent crashes."""
        return not self._crashes

    @property
    def fingerprints(self) -> set[str]:
        """Fingerprints of requests with crashes."""
        return set(self._crashes)

    def record_crash(
        self, fingerprint_: str, upstream: model.Upstream, wall_s: float
    ) -> None:
        """Record that an upstream's connection broke during the request."""
        self.suspicions.record_crash(
            upstream.address,
            upstream.incarnation,
            [quarantine.InFlight(fingerprint_)],
            wall_s,
        )
        self._update_crashes(wall_s)

    def merge(self, entries, wall_s: float) -> None:
        """Merge the entries of another router."""
        if self.suspicions.merge(entries, wall_s):
            self._update_crashes(wall_s)

    def _update_crashes(self, wall_s: float) -> None:
        self._crashes = {}
        for entry in self.suspicions.entries(wall_s):
            if entry.kind is quarantine.Kind.CRASH:
                crashes = self._crashes.setdefault(entry.fingerprint, set())
                crashes.add(entry.crash)

    def count(self, fingerprint_: str) -> int:
        """Return the number of known crashes during a request."""
        return len(self._crashes.get(fingerprint_, ()))

    def is_poison(self, fingerprint_: str) -> bool:
        """Whether the request must not be sent to any upstream."""
        return self.count(fingerprint_) >= MAX_CRASHES
