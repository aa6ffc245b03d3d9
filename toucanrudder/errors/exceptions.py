"""Base exception of the router and its JSON form on the wire."""

import attrs

from toucanrudder.errors import codes


@attrs.define(eq=False)
class RudderError(Exception):
    """Error with a code, and the step and peer at which it arose.

    Parameters
    ----------
    code : codes.Code
        Error code.
    message : str
        One human-readable sentence; never holds a prompt or a secret.
    step : str
        Processing step of the request or the controller, for example
        ``"claim"`` or ``"dispatch"``.
    peer : str
        Name of the other party (an upstream, a router, the store), or
        the empty string.
    ran : codes.Ran
        Whether the request may have been executed.
    retry_after_s : float or None
        Delay before a retry is worthwhile, in seconds; None if it never is.

    Examples
    --------
    >>> from toucanrudder import errors
    >>> error = errors.RudderError(
    ...     errors.Code.QUEUE_FULL, "queue is full", step="admit",
    ...     retry_after_s=2.0)
    >>> error.status
    503
    >>> error.as_body()["error"]["ran"]
    'not_run'
    """

    code: codes.Code
    message: str
    step: str = attrs.field(kw_only=True)
    peer: str = attrs.field(default="", kw_only=True)
    ran: codes.Ran = attrs.field(default=codes.Ran.NOT_RUN, kw_only=True)
    retry_after_s: float | None = attrs.field(default=None, kw_only=True)

    def __str__(self) -> str:
        where = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{self.code.value} at {where}: {self.message}"

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return int(codes.TRAITS[self.code].status)

    def as_body(self, request_id: str = "") -> dict:
        """Return the JSON body in the form of an OpenAI error object.

        Parameters
        ----------
        request_id : str
            ID of the request that failed.

        Returns
        -------
        dict
            ``{"error": {...}}`` with the router's fields beside OpenAI's.
        """
        return {
            "error": {
                "message": self.message,
                "type": codes.TRAITS[self.code].kind,
                "param": None,
                "code": self.code.value,
                "step": self.step,
                "peer": self.peer,
                "ran": self.ran.value,
                "retry_after_s": self.retry_after_s,
                "request_id": request_id,
            }
        }
