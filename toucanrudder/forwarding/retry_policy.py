"""What follows from the end of one try of a request.  No I/O."""

import enum

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import model

STEP = "forward"

#: Least time that must be left for another try to be worth starting: a
#: connection and the shortest answers take about as long.
MIN_ATTEMPT_TIME_S = 0.03


class FailureKind(enum.Enum):
    """How a try ended without a whole answer."""

    #: No connection: nothing was sent.
    NOT_REACHED = "not_reached"
    #: The upstream says that it has not run the request.
    FULL = "full"
    #: Another process has the address now.
    NOT_THERE = "not_there"
    #: The upstream has other weights than was believed.
    OTHER_WEIGHTS = "other_weights"
    #: The answer broke off, or none came on an open connection.
    BROKEN = "broken"
    #: The answer is not for this request, or is no answer.
    CROSSED = "crossed"
    #: Nothing came for too long.
    SILENT = "silent"
    #: The upstream answered with a failure of its own.
    FAILED = "failed"


#: Ends after which the request certainly has not run in this try.
PROVES_NOT_RUN = frozenset(
    {
        FailureKind.NOT_REACHED,
        FailureKind.FULL,
        FailureKind.NOT_THERE,
        FailureKind.OTHER_WEIGHTS,
    }
)

_CODES = {
    FailureKind.NOT_REACHED: errors.Code.UPSTREAM_NOT_REACHED,
    FailureKind.FULL: errors.Code.QUEUE_FULL,
    FailureKind.NOT_THERE: errors.Code.NO_UPSTREAM,
    FailureKind.OTHER_WEIGHTS: errors.Code.NO_UPSTREAM,
    FailureKind.BROKEN: errors.Code.UPSTREAM_FAILED,
    FailureKind.CROSSED: errors.Code.UPSTREAM_CROSSED_ANSWER,
    FailureKind.SILENT: errors.Code.UPSTREAM_TIMEOUT,
    FailureKind.FAILED: errors.Code.UPSTREAM_FAILED,
}


#: Seconds of a stream within which its engine sends the first copy of the
#: run.
COPY_TRANSFER_S = 0.25


@attrs.frozen
class Progress:
    """What has become of a request so far.

    Parameters
    ----------
    possible_runs : int
        Tries in which it can have run.
    attempts : int
        All tries.
    events : int
        Events of a stream that the caller has got.
    can_resume : bool
        Whether the last of them names a point to go on from.
    streamed_s : float
        Time since the caller got the first of them.
    is_copy_requested : bool
        Whether another engine was to hold a copy of the run's memory, and
        is still there.
    """

    possible_runs: int = 0
    attempts: int = 0
    events: int = 0
    can_resume: bool = True
    streamed_s: float = 0.0
    is_copy_requested: bool = False

    @property
    def can_continue_from_copy(self) -> bool:
        """Whether another engine can go on with the run.

        An engine that is asked to go on with a run of which it holds no
        copy may run it anew, so the copy must have had time to be sent,
        and there must be an event to go on from.
        """
        return (
            self.is_copy_requested
            and self.events > 0
            and self.can_resume
            and self.streamed_s >= COPY_TRANSFER_S
        )


class AnswerIdentity(enum.Enum):
    """Which request an upstream's answer named."""

    #: No head of an answer came.
    NO_ANSWER = "no_answer"
    #: The request that was sent.
    SENT = "sent"
    #: None.
    MISSING = "missing"
    #: Another request.
    OTHER = "other"


class SilenceFinding(enum.Enum):
    """What was last learned of a silent answer."""

    #: It was not silent, or not lost.
    NONE = ""
    #: The request may run again, so the engine was not asked.
    NOT_ASKED = "not_asked"
    #: The engine gave no report, which proves nothing.
    NO_REPORT = "no_report"
    #: The report does not list the request.
    NOT_LISTED = "not_listed"
    #: The report lists events that never came.
    EVENTS_MISSING = "events_missing"


@attrs.define
class Evidence:
    """What is known of a try beside how it ended.

    Parameters
    ----------
    carried_requests : int
        Requests that its connection had carried before.
    identity : AnswerIdentity
        Which request the answer named.
    silence : SilenceFinding
        What was last learned of its silence.
    """

    carried_requests: int = 0
    identity: AnswerIdentity = AnswerIdentity.NO_ANSWER
    silence: SilenceFinding = SilenceFinding.NONE


class Step(enum.Enum):
    """What is done next."""

    RETRY = "retry"
    #: Another engine has a copy of the run's memory and goes on with it.
    CONTINUE = "continue"
    GIVE_UP = "give_up"


#: Tries of one request, also such that prove nothing ran: a caller gets
#: his final_error early enough to come back.
MAX_ATTEMPTS = 4


def next_step(
    ended: FailureKind,
    progress: Progress,
    route: model.Route,
    *,
    remaining_s: float,
) -> Step:
    """Say whether a request may and should be sent again.

    The budget is asked by the caller of this function, last of all.

    Parameters
    ----------
    ended : FailureKind
        How the newest try ended; `progress` counts it already.
    progress : Progress
        All tries so far.
    route : model.Route
        What may be repeated, and how often.
    remaining_s : float
        Time left until the caller's deadline.

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
    broke = ended in (FailureKind.BROKEN, FailureKind.SILENT)
    if broke and progress.can_continue_from_copy:
        # It stays one run, so this holds for requests that may run once.
        return Step.CONTINUE
    if progress.possible_runs >= route.max_upstreams:
        return Step.GIVE_UP
    if progress.possible_runs and route.repetition is model.Repetition.ONCE:
        return Step.GIVE_UP
    if progress.events:
        # The caller holds a part of the answer; only a stream that can be
        # taken up again behind it may go on.
        resumable = route.repetition is model.Repetition.RESUMABLE
        if not resumable or not progress.can_resume:
            return Step.GIVE_UP
    return Step.RETRY


def final_error(
    ended: FailureKind, progress: Progress, peer: str, retry_after_s: float
) -> errors.RudderError:
    """Return the error for a request that has been given up.

    Only one that certainly has not run is told to come back; a status
    that promises "not run" after a try that may have run would make the
    caller book twice.
    """
    if progress.possible_runs:
        code = _CODES[ended]
        if ended in PROVES_NOT_RUN:
            code = errors.Code.UPSTREAM_FAILED
        return errors.RudderError(
            code,
            "the request may have run; its answer was lost",
            step=STEP,
            peer=peer,
            ran=errors.Ran.UNKNOWN,
        )
    return errors.RudderError(
        _CODES[ended] if ended in PROVES_NOT_RUN else errors.Code.QUEUE_FULL,
        "no upstream could take the request",
        step=STEP,
        peer=peer,
        retry_after_s=retry_after_s,
    )
