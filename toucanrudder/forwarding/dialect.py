"""What the forwarding path needs said and read on the wire."""

import abc

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.http1 import message


@attrs.frozen
class Instructions:
    """What the router adds to a request for an upstream.

    Parameters
    ----------
    upstream : model.Upstream
        Only this process may run it.
    remaining_s : float
        Time until the caller's deadline.
    salt : str
        What its cache is kept under.
    weights_version : int or None
        Only this version of the weights may run it.
    resume_after : str or None
        Event after which a stream goes on.
    copy_to : str
        ``IP:port`` of the engine that is to hold a copy of the run's
        memory, or empty.
    continue_at : str
        ``IP:port`` at which such a copy lies from which the run goes on,
        or empty.
    fetch_from, save_to : str
        ``IP:port`` of where cached parts are got from and kept, or empty.
    """

    upstream: model.Upstream
    remaining_s: float
    salt: str = ""
    weights_version: int | None = None
    resume_after: str | None = None
    copy_to: str = ""
    continue_at: str = ""
    fetch_from: str = ""
    save_to: str = ""


@attrs.frozen
class AnswerFacts:
    """What the head of an upstream's answer says.

    Parameters
    ----------
    is_for_request : bool
        Whether it bears the identity of the request that was sent.
    names_no_request : bool
        Whether it bears no request's identity.
    has_not_run : bool
        Whether the upstream proves that it has not run the request.
    is_other_process : bool
        Whether another process answered.
    has_other_weights : bool
        Whether the upstream has not run it for having other weights.
    is_sealed : bool
        Whether the upstream vouches for the answer.
    load : model.Load or None
        Its load.
    weights_version : int or None
        Version of the weights that the answer is made on.
    """

    is_for_request: bool
    names_no_request: bool = False
    has_not_run: bool = False
    is_other_process: bool = False
    has_other_weights: bool = False
    is_sealed: bool = False
    load: model.Load | None = None
    weights_version: int | None = None


class Dialect(abc.ABC):
    """How callers and upstreams speak."""

    @abc.abstractmethod
    def read_call(self, head: message.RequestHead) -> model.Call:
        """Read a caller's request.

        Raises
        ------
        RudderError
            ``bad_header``.
        """

    @abc.abstractmethod
    def upstream_request(
        self,
        head: message.RequestHead,
        body: bytes,
        matched: routing.RouteMatch,
        instructions: Instructions,
    ) -> message.RequestHead:
        """Return the head of the request for an upstream."""

    @abc.abstractmethod
    def answer_facts(
        self, call: model.Call, answer: message.AnswerHead
    ) -> AnswerFacts:
        """Read the head of an upstream's answer."""

    @abc.abstractmethod
    def error_answer(
        self, error: errors.RudderError, request_id: str
    ) -> tuple[message.Headers, bytes]:
        """Return fields and body of a refusal."""

    @abc.abstractmethod
    def event_id(self, event: bytes) -> str | None:
        """Return the identity of one whole event of a stream."""
