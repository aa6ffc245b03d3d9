"""Decision after a failed try: retry, continue or refuse.  No I/O."""

import enum
import random

import attrs

from toucanrudder import backoff
from toucanrudder.errors import codes
from toucanrudder.retries import budget as budgets

BASE_DELAY_S = 0.02
MAX_DELAY_S = 1.0


class Failure(enum.Enum):
    """How a try at an upstream failed.

    The first three prove that the upstream did not run the request.
    """

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    CLAIM_EXPIRED = "claim_expired"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CROSSED = "crossed"
    FAILED = "failed"

    @property
    def proves_not_run(self) -> bool:
        """Whether this failure proves that the upstream did not run it."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    (Failure.NOT_CONNECTED, Failure.REFUSED, Failure.CLAIM_EXPIRED)
)

CODES = {
    Failure.NOT_CONNECTED: codes.Code.UPSTREAM_NOT_REACHED,
    Failure.REFUSED: codes.Code.NO_UPSTREAM,
    Failure.CLAIM_EXPIRED: codes.Code.CLAIM_EXPIRED,
    Failure.BROKEN: codes.Code.UPSTREAM_FAILED,
    Failure.TIMEOUT: codes.Code.UPSTREAM_TIMEOUT,
    Failure.CROSSED: codes.Code.UPSTREAM_CROSSED_ANSWER,
    Failure.FAILED: codes.Code.UPSTREAM_FAILED,
}


@attrs.frozen
class AnswerState:
    """The state of the answer to the caller.

    Parameters
    ----------
    repeatable : bool
        Whether running the request twice is harmless.
    sent_events : int
        Events of the answer already sent to the caller.
    can_continue : bool
        Whether another upstream can continue after those events.
    may_have_run : bool
        Whether an earlier try of this request may have run.
    """

    repeatable: bool
    sent_events: int = 0
    can_continue: bool = False
    may_have_run: bool = False


@attrs.frozen
class Retry:
    """Run the request again after a delay."""

    delay_s: float


@attrs.frozen
class Continue:
    """Continue at another upstream after the events already sent."""

    delay_s: float


@attrs.frozen
class Refuse:
    """Refuse the request; the fields are those of the error."""

    code: codes.Code
    message: str
    ran: codes.Ran
    retry_after_s: float | None = None


def delay_s(tries: int, rng: random.Random) -> float:
    """Return an exponential backoff delay with full jitter.

    With full jitter, requests that failed together are not retried together.

    Parameters
    ----------
    tries : int
        Tries made so far; at least one.
    rng : random.Random
        Source of jitter.

    Returns
    -------
    float
        Seconds.
    """
    ceiling_s = backoff.exponential_s(tries, BASE_DELAY_S, MAX_DELAY_S)
    return rng.uniform(0.0, ceiling_s)


def decide(
    failure: Failure,
    answer: AnswerState,
    *,
    tries: int,
    max_tries: int,
    deadline_s: float,
    budget: budgets.RetryBudget,
    rng: random.Random,
    now_s: float,
) -> Retry | Continue | Refuse:
    """Return the next step after a failed try.

    Parameters
    ----------
    failure : Failure
        How the try failed.
    answer : AnswerState
        State of the answer; whether the request may be repeated.
    tries : int
        Tries made so far, the failed one included.
    max_tries : int
        Most tries for one request.
    deadline_s : float
        Monotonic time by which the next try must begin.
    budget : RetryBudget
        Budget of the upstream pool; spent only if there is another try.
    rng : random.Random
        Source of jitter.
    now_s : float
        Monotonic time.

    Returns
    -------
    Retry, Continue or Refuse
        The next step.
    """
    ran = _execution(failure, answer)
    if not answer.repeatable and ran is not codes.Ran.NOT_RUN:
        return Refuse(
            CODES[failure],
            "the upstream failed after the request was sent, and the "
            "request may not be repeated",
            ran,
        )
    if answer.sent_events and not answer.can_continue:
        return Refuse(
            codes.Code.STREAM_BROKEN,
            "the answer broke off and cannot be continued",
            ran,
        )
    wait_s = delay_s(tries, rng)
    refusal = _tries_spent(failure, ran, tries, max_tries)
    if refusal is None and now_s + wait_s >= deadline_s:
        refusal = Refuse(
            codes.Code.DEADLINE_UNMET,
            "no time is left for another try",
            ran,
            MAX_DELAY_S,
        )
    if refusal is None and not budget.try_spend(now_s):
        refusal = Refuse(
            codes.Code.RETRY_BUDGET_SPENT,
            "too many tries at this pool are failing",
            ran,
            MAX_DELAY_S,
        )
    if refusal is not None:
        return refusal
    if answer.sent_events:
        return Continue(wait_s)
    return Retry(wait_s)


def _execution(failure: Failure, answer: AnswerState) -> codes.Ran:
    if (
        failure.proves_not_run
        and not answer.may_have_run
        and not answer.sent_events
    ):
        return codes.Ran.NOT_RUN
    return codes.Ran.UNKNOWN


def _tries_spent(
    failure: Failure, ran: codes.Ran, tries: int, max_tries: int
) -> Refuse | None:
    if tries < max_tries and failure is not Failure.CLAIM_EXPIRED:
        return None
    return Refuse(
        CODES[failure],
        f"all {tries} tries at upstreams failed",
        ran,
        MAX_DELAY_S,
    )
