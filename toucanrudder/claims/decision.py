"""Decides whether a request that may run at most once may run.  No I/O."""

import attrs

from toucanrudder.claims import record
from toucanrudder.errors import codes


@attrs.frozen
class Create:
    """Create the claim, on condition that none exists."""


@attrs.frozen
class TakeOver:
    """Replace a claim that was never dispatched, on condition of `version`."""

    version: int


@attrs.frozen
class Hold:
    """This attempt holds the claim, which has `version`."""

    version: int


@attrs.frozen
class Replay:
    """The request ran before; `result` is its retained response."""

    result: record.Result


@attrs.frozen
class Refuse:
    """Refuse the request; the fields are those of the error."""

    code: codes.Code
    message: str
    ran: codes.Ran
    retry_after_s: float | None = None


Action = Create | TakeOver | Hold | Replay | Refuse


@attrs.frozen
class Limits:
    """Time limits of a claim.

    Parameters
    ----------
    dispatch_within_s : float
        Age in seconds up to which the holder may dispatch the request.
    reported_running_s : float
        Age in seconds up to which a started request is reported as running;
        beyond it, its outcome is reported as unknown.
    retry_after_s : float
        Seconds after which a caller should ask again for the result of a
        running request.
    """

    dispatch_within_s: float = 10.0
    reported_running_s: float = 60.0
    retry_after_s: float = 2.0


def decide(
    stored: record.StoredClaim | None,
    attempt: str,
    body_sha256: str,
    never_dispatched: frozenset[str],
    now_unix_s: float,
    limits: Limits,
) -> Action:
    """Return the next action, given the claim in the store.

    Parameters
    ----------
    stored : StoredClaim or None
        Claim as read, or None when there is none.
    attempt : str
        Identity of this attempt.
    body_sha256 : str
        Digest of the request.
    never_dispatched : frozenset of str
        Attempts that this router abandoned before dispatch and will never
        dispatch, whatever the store still says about them.
    now_unix_s : float
        Wall clock; only selects whether an unfinished request is reported
        as running or as of unknown outcome.
    limits : Limits
        Time limits of a claim.

    Returns
    -------
    Create, TakeOver, Hold, Replay or Refuse
        Next action.
    """
    if stored is None:
        return Create()
    existing = stored.record
    if existing is None:
        return _unknown_outcome("a claim that this version cannot read")
    if existing.attempt == attempt:
        return Hold(stored.version)
    if existing.body_sha256 != body_sha256:
        return Refuse(
            codes.Code.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key belongs to a request with different content",
            codes.Ran.NOT_RUN,
        )
    if existing.state is record.State.DONE:
        return _finished(existing)
    if (
        existing.state is record.State.NOT_RUN
        or existing.attempt in never_dispatched
    ):
        return TakeOver(stored.version)
    if now_unix_s - existing.created_unix_s < limits.reported_running_s:
        return Refuse(
            codes.Code.ALREADY_STARTED,
            "the request was started by an earlier attempt",
            codes.Ran.UNKNOWN,
            limits.retry_after_s,
        )
    return _unknown_outcome("an earlier attempt that left no result")


def _finished(existing: record.Record) -> Action:
    if existing.result is not None:
        return Replay(existing.result)
    return Refuse(
        codes.Code.ALREADY_DONE,
        "the request ran; its response was too large to retain",
        codes.Ran.DONE,
    )


def _unknown_outcome(owner: str) -> Refuse:
    return Refuse(
        codes.Code.OUTCOME_UNKNOWN,
        f"the idempotency key belongs to {owner}",
        codes.Ran.UNKNOWN,
    )


def may_dispatch(claimed_at_s: float, now_s: float, limits: Limits) -> bool:
    """Return whether a claim is recent enough for its dispatch.

    A router that was paused after its claim may resume when the claim has
    been reaped and a retry of the request has run under a new claim.  Its
    own dispatch would be the second run.  Claims are reaped at an age far
    beyond `dispatch_within_s`, so a holder that passes this check
    dispatches while its claim still exists.

    Parameters
    ----------
    claimed_at_s : float
        Time before the claim's write was sent, by `toucanrudder.clock`.
    now_s : float
        Current time by the same clock.
    limits : Limits
        Time limits of a claim.

    Returns
    -------
    bool
        Whether the holder may dispatch.

    Examples
    --------
    >>> may_dispatch(100.0, 101.0, Limits())
    True
    >>> may_dispatch(100.0, 111.0, Limits())
    False
    """
    return 0 <= now_s - claimed_at_s < limits.dispatch_within_s
