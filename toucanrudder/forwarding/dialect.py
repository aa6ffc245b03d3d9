"""Interface to the heads and events that callers and upstreams exchange."""

import abc

import attrs

from toucanrudder import errors
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.http1 import message


@attrs.frozen
class Instructions:
    """Headers that the router adds to a request for an upstream.

    Parameters
    ----------
    upstream : model.Upstream
        The only process that may run the request.
    remaining_s : float
        Time until the caller's deadline.
    salt : str
        Cache salt.
    weights_version : int or None
        The only weights version that may run the request.
    resume_after : str or None
        ID of the event after which a stream resumes.
    copy_to : str
        ``IP:port`` of the engine that is to hold a copy of the run's KV
        cache, or empty.
    continue_at : str
        ``IP:port`` of the engine that holds such a copy and continues the
        run from it, or empty.
    fetch_from, save_to : str
        ``IP:port`` from which cached parts are fetched, and to which they
        are saved, or empty.
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
    """Information in the head of an upstream's answer.

    Parameters
    ----------
    is_for_request : bool
        Whether it carries the ID of the request that was sent.
    names_no_request : bool
        Whether it carries no request ID.
    has_not_run : bool
        Whether the upstream proves that it has not run the request.
    is_other_process : bool
        Whether another process answered.
    names_other_process : bool
        Whether it carries the name of another process.
    has_other_weights : bool
        Whether the upstream did not run it because its weights differ.
    is_sealed : bool
        Whether it carries the seal that upstreams put on their answers.
    load : model.Load or None
        The upstream's load.
    refusals_per_s : float or None
        Refusals for want of room per second from which the upstream fails;
        None if it does not say so.
    weights_version : int or None
        Weights version that produced the answer.
    rate_limit_per_s : float or None
        Requests per second that the upstream takes from all routers together;
        None if it does not say so, NaN if that cannot be read.
    is_leaving : bool
        Whether the upstream announces to leave.
    retry_after_s : float or None
        Seconds after which a refused request may be sent again; None if it
        does not say so.
    """

    is_for_request: bool
    names_no_request: bool = False
    has_not_run: bool = False
    is_other_process: bool = False
    names_other_process: bool = False
    has_other_weights: bool = False
    is_sealed: bool = False
    load: model.Load | None = None
    weights_version: int | None = None
    refusals_per_s: float | None = None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None


class Dialect(abc.ABC):
    """Wire format of callers and upstreams."""

    @abc.abstractmethod
    def read_call(self, head: message.RequestHead) -> model.Call:
        """Parse the head of a caller's request.

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
        """Parse the head of an upstream's answer."""

    @abc.abstractmethod
    def error_answer(
        self, error: errors.RudderError, request_id: str
    ) -> tuple[message.Headers, bytes]:
        """Return headers and body of an error answer."""

    @abc.abstractmethod
    def event_id(self, event: bytes) -> str | None:
        """Return the ID of one complete event of a stream, or None."""

    @abc.abstractmethod
    def event_weights(self, event: bytes) -> int | None:
        """Return the weights version that an event states, or None."""
