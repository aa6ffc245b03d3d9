"""One request before the quarantine: what identifies it, and its crashes."""

from collections.abc import Callable
import functools

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import model
from toucanrudder.forwarding import poison
from toucanrudder.observability import decisions

STEP = "quarantine"


@attrs.define(eq=False, slots=False)
class RequestScreen:
    """Decides whether a request may be sent to upstreams.

    Parameters
    ----------
    crash_counts : poison.CrashCounts
        Crashes known to this router.
    is_trial_router : callable
        Given a blocked part, returns whether this router tries it for all.
    call : model.Call
        The request's head in the terms of the router.
    organisation : str
        Organisation of the request; empty if it has none.
    target, body : bytes
        What a repetition of the request has in common with it.
    """

    crash_counts: poison.CrashCounts
    is_trial_router: Callable[[str], bool]
    call: model.Call
    organisation: str
    target: bytes
    body: bytes = attrs.field(repr=False)

    @functools.cached_property
    def fingerprint(self) -> str:
        """What identifies the request in the quarantine."""
        return poison.fingerprint(self.organisation, self.target, self.body)

    @functools.cached_property
    def parts(self) -> tuple[str, ...]:
        """What identifies the parts that other prompts may share."""
        return poison.part_fingerprints(self.organisation, self.call.prompt)

    def is_quarantined(self, wall_s: float) -> bool:
        """Whether upstreams crashed at the request, or at a part of it."""
        # Without recorded crashes, nothing needs to be hashed.
        if self.crash_counts.is_empty:
            return False
        if self.crash_counts.is_poison(self.fingerprint, wall_s):
            return True
        part = self.crash_counts.blocked_part(self.parts, wall_s)
        # One request at a time finds out whether an old block is still right.
        return part is not None and not (
            self.is_trial_router(part)
            and self.crash_counts.may_try(part, self, wall_s)
        )

    def error(self, ran: errors.Ran) -> errors.RudderError:
        """Return the error for a quarantined request.

        Even if it has not run, it must not be retried: a "not run" status
        would make the caller repeat it indefinitely.
        """
        return errors.RudderError(
            errors.Code.CRASHED_UPSTREAMS,
            "upstreams crashed at this request, or at others with a part of"
            " its prompt; do not repeat it",
            step=STEP,
            ran=ran,
        )

    def end_trials(self) -> None:
        """Let other requests try the parts that this one has tried."""
        self.crash_counts.end_trials(self)

    def record_crash(
        self,
        upstream: model.Upstream,
        sent_parts: tuple[tuple[str, int], ...],
        events: int,
        wall_s: float,
    ) -> None:
        """Record that an upstream's connection broke during the request.

        Parameters
        ----------
        upstream : model.Upstream
            Where the request was in flight.
        sent_parts : tuple of tuple
            Its parts, each with its sequence when the request was sent.
        events : int
            Events that had been delivered.
        wall_s : float
            Unix time.
        """
        self.crash_counts.record_crash(
            self.fingerprint, sent_parts, upstream, wall_s
        )
        decisions.record(
            decisions.CrashSuspected(
                request_id=self.call.request_id,
                upstream=upstream.incarnation,
                request=self.fingerprint,
                parts=self.parts,
                crashes=self.crash_counts.count(self.fingerprint, wall_s),
                events=events,
            )
        )
