"""Calls with small JSON bodies on pooled connections."""

from collections.abc import Callable
import contextlib
import enum
import functools
import logging

import attrs
import orjson

from toucanrudder import stalls
from toucanrudder.http1 import answer_room
from toucanrudder.http1 import client
from toucanrudder.http1 import json_text
from toucanrudder.http1 import message
from toucanrudder.http1 import pool

LOG = logging.getLogger(__name__)

#: Longest part of a call's time in which a connection is opened, so that a
#: peer that is not reached is told apart from one that does not answer.
CONNECT_SHARE = 0.75

_JSON = (b"Content-Type", b"application/json")


class MismatchedAnswer(json_text.Unreadable):
    """The response belongs to another request."""


class Failure(enum.Enum):
    """Why there is no response."""

    #: A new connection was refused, and no earlier one is open.
    REFUSED = "refused"
    #: No connection could be opened, or not in time.
    NOT_REACHED = "not_reached"
    NO_ANSWER = "no_answer"


@attrs.frozen
class Answer:
    """A complete response, or why there is none.

    Parameters
    ----------
    status : int
        HTTP status code; 0 without a response.
    body : object
        Parsed JSON body; an empty dict if there was no body.
    headers : message.Headers
        Header fields.
    failure : Failure or None
        Set without a response.
    """

    status: int
    body: object
    headers: message.Headers = ()
    failure: Failure | None = None


async def call(
    connections: pool.ConnectionPool,
    address: str,
    method: bytes,
    path: str,
    *,
    body: object = None,
    headers: message.Headers = (),
    timeout_s: float,
    connect_timeout_s: float,
    clock: Callable[[], float],
    foreign_header: bytes | None = None,
) -> Answer:
    """Send one request and return its complete response.

    A ``GET`` whose response belongs to another request is sent once more.

    Parameters
    ----------
    connections : pool.ConnectionPool
        Pool that provides the connection.
    address : str
        ``IP:port``.
    method, path : bytes, str
        Method and target of the request.
    body : object
        Value that is sent as JSON; None for no body.
    headers : message.Headers
        Further header fields; ``Host`` and those that describe the body are
        added.
    timeout_s, connect_timeout_s : float
        Timeout of the whole call, and of opening a new connection.
    clock : callable
        Monotonic time in seconds.
    foreign_header : bytes or None
        Lower-case name of a header field that only responses to other
        users of the pooled connections carry.

    Raises
    ------
    ExchangeError, TimeoutError, Unreadable
        No complete, readable response was received.
    """
    content = b"" if body is None else orjson.dumps(body)
    sent_headers = [*headers, (b"Host", address.encode())]
    if body is not None:
        length = (b"Content-Length", str(len(content)).encode())
        sent_headers += [_JSON, length]
    head = message.RequestHead(method, path.encode(), tuple(sent_headers))
    attempt = functools.partial(
        _exchange,
        lambda: connections.connection(
            address,
            connect_timeout_s=min(connect_timeout_s, timeout_s),
            clock=clock,
        ),
        head,
        content,
        foreign_header,
        connections.answers,
    )
    async with stalls.timeout(timeout_s):
        try:
            return await attempt()
        except MismatchedAnswer:
            if method != b"GET":
                # The request may have been executed already.
                raise
            return await attempt()


async def try_call(
    connections: pool.ConnectionPool,
    address: str,
    *args,
    timeout_s: float,
    connect_timeout_s: float,
    **kwargs,
) -> Answer:
    """Return the response as `call`, or an answer that names the failure."""
    try:
        return await call(
            connections,
            address,
            *args,
            timeout_s=timeout_s,
            connect_timeout_s=min(
                connect_timeout_s, CONNECT_SHARE * timeout_s
            ),
            **kwargs,
        )
    except (
        client.ExchangeError,
        TimeoutError,
        json_text.Unreadable,
    ) as error:
        LOG.info("no answer of %s to %s: %r", address, args, error)
        is_connected = connections.is_connected(address)
        return Answer(0, {}, failure=_failure(error, is_connected))


@functools.singledispatch
def _failure(error: Exception, is_connected: bool) -> Failure:
    """Return what an error of a call says of its peer."""
    return Failure.NO_ANSWER


@_failure.register
def _(error: client.ExchangeError, is_connected: bool) -> Failure:
    if error.is_refused:
        # A process that is alive may refuse connections beyond a limit.
        return Failure.NO_ANSWER if is_connected else Failure.REFUSED
    return Failure.NO_ANSWER if error.has_reached else Failure.NOT_REACHED


async def _exchange(
    open_connection: Callable[
        [], contextlib.AbstractAsyncContextManager[client.UpstreamConnection]
    ],
    head: message.RequestHead,
    content: bytes,
    foreign_header: bytes | None,
    room: answer_room.AnswerRoom,
) -> Answer:
    async with open_connection() as connection:
        connection.send(head, content)
        answer = await connection.next_event()
        if foreign_header is not None and answer.get(foreign_header):
            raise MismatchedAnswer("the response belongs to another request")
        connection.keep_for_s = pool.keep_for_s(answer.headers)
        body = await _read_body(connection, answer, room)
    return Answer(answer.status, body, answer.headers)


async def _read_body(
    connection: client.UpstreamConnection,
    answer: message.AnswerHead,
    room: answer_room.AnswerRoom,
) -> object:
    with room.reading() as partial:
        partial.expect(message.number(answer, b"content-length"))
        while not isinstance(
            event := await connection.next_event(), client.End
        ):
            partial.add(event.content)
        return partial.parse()
