"""Detection of requests that crash their upstreams.  No I/O.

Such a request is sent again with the same path, body and organisation, to
any router.  Routers tell each other which requests were in flight when a
connection to an upstream broke; a request with too many such crashes is no
longer sent to any upstream.  The same holds for requests that have a part of
their prompts in common and nothing else.
"""

from collections.abc import Collection
from collections.abc import Iterable
import hashlib

from toucanrudder import quarantine
from toucanrudder.forwarding import model
from toucanrudder.observability import decisions

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
    ...     _ = counts.record_crash("f", counts.sent(["p"]), engine, 10.0)
    >>> counts.is_poison("f", 11.0), counts.is_poison("g", 11.0)
    (True, False)
    """

    def __init__(self):
        self.suspicions = quarantine.SuspectTracker()
        self._known_blocked: set[str] = set()
        self._on_trial: dict[str, object] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there were no recent crashes."""
        return self.suspicions.is_empty

    def sent(self, parts: Iterable[str]) -> tuple[tuple[str, int], ...]:
        """Return parts with their sequences, for a request sent now."""
        return self.suspicions.parts.sent(parts)

    def record_crash(
        self,
        fingerprint_: str,
        sent_parts: tuple[tuple[str, int], ...],
        upstream: model.Upstream,
        wall_s: float,
    ) -> None:
        """Record that an upstream's connection broke during the request."""
        self.suspicions.record_crash(
            upstream.address,
            upstream.incarnation,
            [quarantine.InFlight(fingerprint_, sent_parts=sent_parts)],
            wall_s,
        )

    def is_presumed_dead(
        self, upstream: model.Upstream, wall_s: float
    ) -> bool:
        """Whether the upstream's process is presumed to have crashed."""
        return not self.is_empty and self.suspicions.is_presumed_dead(
            upstream.address, upstream.incarnation, wall_s
        )

    def record_alive(self, upstream: model.Upstream, wall_s: float) -> None:
        """Record that a process presumed dead has answered."""
        self.suspicions.record_alive(
            upstream.address, upstream.incarnation, wall_s
        )

    def count(self, fingerprint_: str, wall_s: float) -> int:
        """Return the number of known crashes during a request."""
        return self.suspicions.crash_count(fingerprint_, wall_s)

    def is_poison(self, fingerprint_: str, wall_s: float) -> bool:
        """Whether the request must not be sent to any upstream."""
        return self.suspicions.has_crashes(fingerprint_, MAX_CRASHES, wall_s)

    def record_blocked(self, wall_s: float) -> None:
        """Log the parts that were blocked since the last call."""
        parts = self.suspicions.parts
        blocked = () if parts.is_empty else parts.all_blocked(wall_s)
        for part in sorted(set(blocked) - self._known_blocked):
            decisions.record(
                decisions.PartBlocked(
                    part=part,
                    group=parts.group(part, wall_s),
                    crashes=parts.crashes(part),
                    ends_in_s=parts.block_ends_s(part, wall_s) - wall_s,
                )
            )
        self._known_blocked = set(blocked)

    def count_blocked(self) -> dict[str, int]:
        """Return the number of blocked parts, for metrics."""
        return {"part": len(self._known_blocked)}

    def blocked_part(
        self, parts: Collection[str], wall_s: float
    ) -> str | None:
        """Return a part that must not be sent to any upstream, or None."""
        return self.suspicions.parts.blocked(parts, wall_s)

    def may_try(self, part: str, request: object, wall_s: float) -> bool:
        """Whether a request may try a blocked part after a long time."""
        if not self.suspicions.parts.is_trial_due(part, wall_s):
            return False
        return self._on_trial.setdefault(part, request) is request

    def end_trials(self, request: object) -> None:
        """Let other requests try the parts that a request has tried."""
        for part in [p for p, r in self._on_trial.items() if r is request]:
            del self._on_trial[part]
