"""What to do about a request that may run at most once.  No I/O."""

import attrs

from toucanrudder.claims import record
from toucanrudder.errors import codes


@attrs.frozen
class Create:
    """Create the claim, on condition that there is none."""


@attrs.frozen
class TakeOver:
    """Replace a claim that was never dispatched, if it has `version`."""

    version: int


@attrs.frozen
class Hold:
    """This attempt holds the claim, at `version`."""

    version: int


@attrs.frozen
class Replay:
    """The request ran before; `result` is its retained answer."""

    result: record.Result


@attrs.frozen
class Refuse:
    """The request is refused; the fields are those of the error."""

    code: codes.Code
    message: str
    ran: codes.Ran
    retry_after_s: float | None = None


Action = Create | TakeOver | Hold | Replay | Refuse


@attrs.frozen
class Limits:
    """The bounds of a claim's life.

    Parameters
    ----------
    dispatch_within_s : float
        Age by which the holder must have dispatched, or never does.
    reported_running_s : float
        Age up to which a started request is reported as running; past it,
        as of unknown outcome.
    retry_after_s : float
        When a caller should ask again for a running request's result.
    """

    dispatch_within_s: float = 10.0
    reported_running_s: float = 60.0
    retry_after_s: float = 2.0


def decide(
    found: record.Found | None,
    attempt: str,
    body_sha256: str,
    never_dispatched: frozenset[str],
    now_unix_s: float,
    limits: Limits,
) -> Action:
    """Decide by the claim in the store.

    Parameters
    ----------
    found : Found or None
        The claim as read, or None when there is none.
    attempt : str
        Identity of this try.
    body_sha256 : str
        Digest of what is asked for.
    never_dispatched : frozenset of str
        Attempts that this router gave up before dispatch and will never
        dispatch, whatever the store still says about them.
    now_unix_s : float
        Wall clock; it only chooses between two words for the same doubt.
    limits : Limits
        Bounds.

    Returns
    -------
    Create, TakeOver, Hold, Replay or Refuse
        The next step.
    """
    if found is None:
        return Create()
    held = found.record
    if held is None:
        return _unknown("a claim that this version cannot read")
    if held.attempt == attempt:
        return Hold(found.version)
    if held.body_sha256 != body_sha256:
        return Refuse(
            codes.Code.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key belongs to a request with other content",
            codes.Ran.NOT_RUN,
        )
    if held.state is record.State.DONE:
        return _done(held)
    if held.state is record.State.NOT_RUN or held.attempt in never_dispatched:
        return TakeOver(found.version)
    if now_unix_s - held.created_unix_s < limits.reported_running_s:
        return Refuse(
            codes.Code.ALREADY_STARTED,
            "the request was started by an earlier try",
            codes.Ran.UNKNOWN,
            limits.retry_after_s,
        )
    return _unknown("an earlier try that left no result")


def _done(held: record.Record) -> Action:
    if held.result is not None:
        return Replay(held.result)
    return Refuse(
        codes.Code.ALREADY_DONE,
        "the request ran; its answer was too large to keep",
        codes.Ran.DONE,
    )


def _unknown(why: str) -> Refuse:
    return Refuse(
        codes.Code.OUTCOME_UNKNOWN,
        f"the key belongs to {why}",
        codes.Ran.UNKNOWN,
    )


def may_dispatch(claimed_at_s: float, now_s: float, limits: Limits) -> bool:
    """Tell whether a claim is young enough to dispatch.

    A router that is paused after its claim may wake when the claim has
    been reaped and the caller's resend has run under a new one.  Its own
    dispatch would be the second run.  Claims are reaped at an age far
    beyond `dispatch_within_s`, so that a holder that passes this check
    dispatches while its claim still stands.

    Parameters
    ----------
    claimed_at_s : float
        Time before the claim's write was sent, by `toucanrudder.clock`.
    now_s : float
        The present time by the same clock.
    limits : Limits
        Bounds.

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
