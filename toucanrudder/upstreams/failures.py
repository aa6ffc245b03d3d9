"""How a try at an upstream can fail, and what each failure proves."""

import enum

import attrs

from toucanrudder.errors import codes


class Kind(enum.Enum):
    """Kinds of failed tries; the values label the retry counters."""

    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    CRASHED = "crashed"
    BROKEN = "broken"
    LOST = "lost"
    SILENT = "silent"
    CROSSED = "crossed"
    ERROR = "error"
    REJECTED = "rejected"


#: Message of the failure after silence, as opposed to a broken connection.
NO_BYTES_IN_TIME = "no bytes arrived in time"

#: The engine process is dead, or looks so from here.
PRESUMES_CRASH = frozenset({Kind.CRASHED, Kind.BROKEN})

#: No byte of the request can have been executed after these.
PROVES_NOT_RUN = frozenset({Kind.NOT_REACHED, Kind.REFUSED})


@attrs.define(eq=False)
class UpstreamFailure(Exception):
    """A try at an upstream that gave no whole answer.

    Parameters
    ----------
    kind : Kind
        What happened.
    upstream : str
        Name of the upstream.
    message : str
        One sentence for a log line.
    status : int
        HTTP status that the upstream gave, or 0.
    body : bytes
        Body of a rejection, for the caller.
    connection_refused : bool
        Whether the upstream's host answered that nothing listens there.
    incarnation : str
        Incarnation that the refusing upstream gave, or empty.
    """

    kind: Kind
    upstream: str
    message: str
    status: int = 0
    body: bytes = b""
    connection_refused: bool = False
    incarnation: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value} at {self.upstream}: {self.message}"

    @property
    def ran(self) -> codes.Ran:
        """Whether the request can have been executed by this try."""
        if self.kind in PROVES_NOT_RUN:
            return codes.Ran.NOT_RUN
        return codes.Ran.UNKNOWN
