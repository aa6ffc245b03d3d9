"""Retry decisions after a failed attempt at a request.  No I/O."""

import enum

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import model

STEP = "forward"

#: Least remaining time for another attempt: opening a connection and
#: getting the shortest answer take about as long.
MIN_ATTEMPT_TIME_S = 0.03


class FailureKind(enum.Enum):
    """How an attempt ended without a complete answer."""

    #: No connection; nothing was sent.
    NOT_REACHED = "not_reached"
    #: The upstream states that it has not run the request.
    FULL = "full"
    #: The upstream has said that it takes no request of this router now;
    #: nothing was sent.
    NO_ROOM = "no_room"
    #: Another process serves the address now.
    NOT_THERE = "not_there"
    #: The upstream has other weights than the router expected.
    OTHER_WEIGHTS = "other_weights"
    #: The connection broke before or within the answer.
    BROKEN = "broken"
    #: The answer belongs to another request, or is not valid.
    CROSSED = "crossed"
    #: Nothing was received within the time limit.
    SILENT = "silent"
    #: The upstream answered with a server error.
    FAILED = "failed"


#: Failures that prove that the attempt did not run the request.
PROVES_NOT_RUN = frozenset(
    {
        FailureKind.NOT_REACHED,
        FailureKind.FULL,
        FailureKind.NO_ROOM,
        FailureKind.NOT_THERE,
        FailureKind.OTHER_WEIGHTS,
    }
)

_CODES = {
    FailureKind.NOT_REACHED: errors.Code.UPSTREAM_NOT_REACHED,
    FailureKind.FULL: errors.Code.QUEUE_FULL,
    FailureKind.NO_ROOM: errors.Code.QUEUE_FULL,
    FailureKind.NOT_THERE: errors.Code.NO_UPSTREAM,
    FailureKind.OTHER_WEIGHTS: errors.Code.NO_UPSTREAM,
    FailureKind.BROKEN: errors.Code.UPSTREAM_FAILED,
    FailureKind.CROSSED: errors.Code.UPSTREAM_CROSSED_ANSWER,
    FailureKind.SILENT: errors.Code.UPSTREAM_TIMEOUT,
    FailureKind.FAILED: errors.Code.UPSTREAM_FAILED,
}


#: Seconds after the first event within which an engine has sent the first
#: copy of its run to the backup.
COPY_TRANSFER_S = 0.25


@attrs.frozen
class Progress:
    """Progress of a request over all its attempts.

    Parameters
    ----------
    possible_runs : int
        Attempts that may have run the request.
    attempts : int
        All attempts.
    events : int
        Stream events that were delivered to the caller.
    can_resume : bool
        Whether the last of them has an ID to resume from.
    streamed_s : float
        Time since the first of them was delivered.
    is_copy_requested : bool
        Whether another engine was asked to hold a copy of the run's KV
        cache, and is still available.
    """

    possible_runs: int = 0
    attempts: int = 0
    events: int = 0
    can_resume: bool = True
    streamed_s: float = 0.0
    is_copy_requested: bool = False

    @property
    def can_continue_from_copy(self) -> bool:
        """Whether another engine can continue the run from its copy.

        An engine that is asked to continue a run without holding its copy
        may run it again, so the copy must have had time to arrive, and
        there must be an event to resume from.
        """
        return (
            self.is_copy_requested
            and self.events > 0
            and self.can_resume
            and self.streamed_s >= COPY_TRANSFER_S
        )


class AnswerIdentity(enum.Enum):
    """Which request ID an upstream's answer carried."""

    #: No answer head was received.
    NO_ANSWER = "no_answer"
    #: That of the request that was sent.
    SENT = "sent"
    #: No request ID.
    MISSING = "missing"
    #: That of another request.
    OTHER = "other"


class SilenceFinding(enum.Enum):
    """Result of the last check of an answer that made no progress."""

    #: The answer made progress, or is not lost.
    NONE = ""
    #: The request may be repeated, so the upstream was not asked.
    NOT_ASKED = "not_asked"
    #: The engine sent no report; the run may still be in progress.
    NO_REPORT = "no_report"
    #: The report does not list the request.
    NOT_LISTED = "not_listed"
    #: The report counts events that were never received.
    EVENTS_MISSING = "events_missing"


@attrs.define
class Evidence:
    """Details of a failed attempt besides its failure kind.

    Parameters
    ----------
    carried_requests : int
        Requests that its connection had carried before.
    identity : AnswerIdentity
        Which request ID the answer carried.
    silence : SilenceFinding
        Result of the last check of a stalled answer.
    unsent : str
        Why the request could not be sent, as a `client.Fault`; empty if it
        was sent.
    fault : str
        How its connection ended, as a `client.Fault`; empty if it did not.
    silent_s : float
        Time since something arrived, or since the request was sent.
    stalled_s : float
        Part of that time in which this router did not run.
    """

    carried_requests: int = 0
    identity: AnswerIdentity = AnswerIdentity.NO_ANSWER
    silence: SilenceFinding = SilenceFinding.NONE
    unsent: str = ""
    fault: str = ""
    silent_s: float = 0.0
    stalled_s: float = 0.0


class Step(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    #: Another engine holds a copy of the run's KV cache and continues it.
    CONTINUE = "continue"
    #: Another attempt goes on.
    WAIT = "wait"
    GIVE_UP = "give_up"


#: Attempts of one request, including those that certainly did not run it,
#: so that callers get a refusal early enough to retry.
MAX_ATTEMPTS = 4


def next_step(
    failure: FailureKind,
    progress: Progress,
    route: model.Route,
    *,
    remaining_s: float,
) -> Step:
    """Decide whether a request may and should be sent again.

    The caller of this function applies the retry budget afterwards.

    Parameters
    ----------
    failure : FailureKind
        How the last attempt failed; `progress` includes it already.
    progress : Progress
        All attempts so far.
    route : model.Route
        Whether and how often a request may be repeated.
    remaining_s : float
        Time until the caller's deadline.

    Examples
    --------
    >>> from toucanrudder.forwarding import model
    >>> once = model.Route("r", "h", "/", ())
    >>> next_step(FailureKind.BROKEN, Progress(1, 1), once, remaining_s=1.0)
    <Step.GIVE_UP: 'give_up'>
    >>> next_step(FailureKind.FULL, Progress(0, 1), once, remaining_s=1.0)
    <Step.RETRY: 'retry'>
    """
    if progress.attempts >= MAX_ATTEMPTS or remaining_s < MIN_ATTEMPT_TIME_S:
        return Step.GIVE_UP
    is_broken = failure in (FailureKind.BROKEN, FailureKind.SILENT)
    if is_broken and progress.can_continue_from_copy:
        # This is still the same run, so at-most-once requests qualify too.
        return Step.CONTINUE
    if progress.possible_runs >= route.max_upstreams:
        return Step.GIVE_UP
    if progress.possible_runs and route.repetition is model.Repetition.ONCE:
        return Step.GIVE_UP
    if progress.events:
        # The caller has part of the answer, so only a stream that can
        # resume after that part may be sent again.
        resumable = route.repetition is model.Repetition.RESUMABLE
        if not resumable or not progress.can_resume:
            return Step.GIVE_UP
    return Step.RETRY


def final_error(
    failure: FailureKind, progress: Progress, peer: str, retry_after_s: float
) -> errors.RudderError:
    """Return the error for a request that is not retried any more.

    Only a request that certainly has not run gets a status that invites a
    retry: after a possible run, the caller would execute it twice.
    """
    if progress.possible_runs:
        code = _CODES[failure]
        if failure in PROVES_NOT_RUN:
            code = errors.Code.UPSTREAM_FAILED
        return errors.RudderError(
            code,
            "the request may have run, but its answer was lost",
            step=STEP,
            peer=peer,
            ran=errors.Ran.UNKNOWN,
        )
    return errors.RudderError(
        _CODES[failure]
        if failure in PROVES_NOT_RUN
        else errors.Code.QUEUE_FULL,
        "no upstream could take the request",
        step=STEP,
        peer=peer,
        retry_after_s=retry_after_s,
    )
