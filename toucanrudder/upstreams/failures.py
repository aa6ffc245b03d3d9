"""Failures of tries at upstreams, and what each proves on execution."""

import enum

import attrs

from toucanrudder.errors import codes


class Kind(enum.Enum):
    """Kinds of failed tries; the values are labels of the retry counters."""

    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    CRASHED = "crashed"
    BROKEN = "broken"
    LOST = "lost"
    SILENT = "silent"
    CROSSED = "crossed"
    ERROR = "error"
    REJECTED = "rejected"


#: Message of a failure by timeout, as opposed to a broken connection.
NO_PROGRESS_IN_TIME = "no progress in time"

#: After these, the engine process is presumed to have crashed.
PRESUMES_CRASH = frozenset({Kind.CRASHED, Kind.BROKEN})

#: These prove that the request was not executed.
PROVES_NOT_RUN = frozenset({Kind.NOT_REACHED, Kind.REFUSED})


@attrs.define(eq=False)
class UpstreamFailure(Exception):
    """A try at an upstream without a complete answer.

    Parameters
    ----------
    kind : Kind
        Kind of the failure.
    upstream : str
        Name of the upstream.
    message : str
        Message for the log.
    status : int
        HTTP status of the upstream's response, or 0.
    body : bytes
        Body of a rejection, which is passed to the caller.
    connection_refused : bool
        Whether the upstream's host refused the connection.
    incarnation : str
        Incarnation in the upstream's response, or empty.
    rest_s : float
        Seconds for which a refusing upstream wants no request of this router.
    """

    kind: Kind
    upstream: str
    message: str
    status: int = 0
    body: bytes = b""
    connection_refused: bool = False
    incarnation: str = ""
    rest_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.kind.value} at {self.upstream}: {self.message}"

    @property
    def ran(self) -> codes.Ran:
        """Whether this try may have executed the request."""
        if self.kind in PROVES_NOT_RUN:
            return codes.Ran.NOT_RUN
        return codes.Ran.UNKNOWN
