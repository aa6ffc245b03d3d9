"""The stored form of a claim."""

import base64
import enum
import hashlib

import attrs

KIND = "claims"


class State(enum.Enum):
    """Execution state of a claimed request.

    ``STARTED`` covers everything from the claim's creation to its result;
    a reader must assume that the request may have run.
    """

    STARTED = "started"
    NOT_RUN = "not_run"
    DONE = "done"


@attrs.frozen
class Result:
    """An upstream's response, retained for retries of the request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that the caller received.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = attrs.field(default=b"", repr=False)


@attrs.frozen
class Record:
    """The value of a claim object.

    Parameters
    ----------
    attempt : str
        Identity of the attempt that holds the claim.
    body_sha256 : str
        Digest of the request.
    state : State
        Execution state of the request.
    router : str
        Name of the router that holds the claim.
    created_unix_s : float
        Wall clock of that router at the creation of the claim.
    result : Result or None
        Retained response of a ``DONE`` claim; None if it was too large.
    """

    attempt: str
    body_sha256: str
    state: State
    router: str
    created_unix_s: float
    result: Result | None = None

    def to_value(self) -> dict:
        """Return the JSON value to store."""
        value = {
            "attempt": self.attempt,
            "body_sha256": self.body_sha256,
            "state": self.state.value,
            "router": self.router,
            "created_unix_s": self.created_unix_s,
        }
        if self.result is not None:
            value["result"] = {
                "status": self.result.status,
                "headers": [list(pair) for pair in self.result.headers],
                "body_base64": base64.b64encode(self.result.body).decode(),
            }
        return value

    @classmethod
    def from_value(cls, value: dict) -> "Record":
        """Read a stored value.

        Raises
        ------
        ValueError, KeyError, TypeError
            This version cannot read the value.
        """
        result = value.get("result")
        if result is not None:
            result = Result(
                int(result["status"]),
                tuple((name, text) for name, text in result["headers"]),
                base64.b64decode(result["body_base64"]),
            )
        return cls(
            attempt=str(value["attempt"]),
            body_sha256=str(value["body_sha256"]),
            state=State(value["state"]),
            router=str(value["router"]),
            created_unix_s=float(value["created_unix_s"]),
            result=result,
        )


@attrs.frozen
class StoredClaim:
    """A claim as read from the store.

    `record` is None when this version cannot read the value.
    """

    version: int
    record: Record | None


def object_name(organisation: str, key: str) -> str:
    """Return the name of a claim object.

    Parameters
    ----------
    organisation : str
        Organisation that owns the idempotency key.
    key : str
        Idempotency key; only its digest leaves the router, since callers
        put personal data into keys.

    Returns
    -------
    str
        ``organisation.digest``.  The digest has a fixed length, so names
        of different organisations cannot collide.

    Examples
    --------
    >>> object_name("acme", "booking-7")[:12]
    'acme.587263d'
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{organisation}.{digest}"
