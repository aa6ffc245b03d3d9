"""Small calls whose whole answer is wanted, on kept connections."""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import logging

import attrs
import orjson

from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool

LOG = logging.getLogger(__name__)

#: Largest answer that is held: a page of a list is a megabyte at most.
MAX_ANSWER_BYTES = 8_388_608

_JSON = (b"Content-Type", b"application/json")


class Unreadable(ValueError):
    """The answer is too large, or says nothing that can be parsed."""


class Crossed(Unreadable):
    """The answer is to something else that was asked."""


@attrs.frozen
class Answer:
    """A whole answer.

    Parameters
    ----------
    status : int
        Of HTTP.
    body : object
        What was parsed from its body; an empty table for none.
    headers : message.Headers
        Its fields.
    """

    status: int
    body: object
    headers: message.Headers = ()


def parse_json(content: bytes) -> object:
    """Return what JSON says, also if it holds bytes that are no text.

    Failure: one object of a list holds such bytes.  Symptom: a strict
    parser refuses the whole list, on each try, and nothing in it is
    followed any more.  Read leniently, that object alone holds characters
    that no name has; all of it can be written as strict JSON again, for
    peers that are told of it.

    Examples
    --------
    >>> parse_json(b'["a", "\\xff"]')[0]
    'a'
    """
    if not content:
        return {}
    try:
        return orjson.loads(content)
    except ValueError:
        LOG.info("an answer is no strict JSON")
    # Rarely needed, so a start does not pay for it.
    import json

    try:
        found = json.loads(content.decode(errors="replace"), strict=False)
        return _writable(found)
    except (ValueError, RecursionError) as error:
        raise Unreadable(str(error)) from error


@functools.singledispatch
def _writable(value: object) -> object:
    """Return a leniently read value as strict JSON can hold it."""
    return value


@_writable.register
def _(value: str) -> str:
    # Half of a surrogate pair can be escaped, but not encoded.
    return value.encode(errors="replace").decode()


@_writable.register
def _(value: int) -> int | float:
    return value if abs(value) < 2**63 else float("inf")


@_writable.register
def _(value: list) -> list:
    return [_writable(each) for each in value]


@_writable.register
def _(value: dict) -> dict:
    return {_writable(key): _writable(each) for key, each in value.items()}


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
    """Return the whole answer to one request.

    Parameters
    ----------
    connections : pool.ConnectionPool
        Where a connection is taken from.
    address : str
        ``IP:port``.
    method, path : bytes, str
        What is asked.
    body : object
        Sent as JSON, unless it is None.
    headers : message.Headers
        Beside those that say what the body is.
    timeout_s, connect_timeout_s : float
        For all, and for a new connection.
    clock : callable
        Monotonic time in seconds.
    foreign_header : bytes or None
        Lower-case name of a field that is borne only by answers to what
        shares the connections.

    Raises
    ------
    ExchangeError, TimeoutError, Unreadable
        There is no whole answer.
    """
    content = b"" if body is None else orjson.dumps(body)
    sent_headers = [*headers, (b"Host", address.encode())]
    if body is not None:
        length = (b"Content-Length", str(len(content)).encode())
        sent_headers += [_JSON, length]
    head = message.RequestHead(method, path.encode(), tuple(sent_headers))
    exchange = functools.partial(
        _exchanged,
        lambda: connections.connection(
            address,
            connect_timeout_s=min(connect_timeout_s, timeout_s),
            clock=clock,
        ),
        head,
        content,
        foreign_header,
    )
    async with asyncio.timeout(timeout_s):
        try:
            return await exchange()
        except Crossed:
            if method != b"GET":
                # What it asks for may be under way.
                raise
            return await exchange()


async def _exchanged(
    lent: Callable[
        [], contextlib.AbstractAsyncContextManager[client.UpstreamConnection]
    ],
    head: message.RequestHead,
    content: bytes,
    foreign_header: bytes | None,
) -> Answer:
    async with lent() as connection:
        connection.send(head, content)
        answer = await connection.next_event()
        if foreign_header is not None and answer.get(foreign_header):
            raise Crossed("the answer is to something else")
        connection.keep_for_s = pool.keep_for_s(answer.headers)
        received = await _received(connection)
    return Answer(answer.status, parse_json(received), answer.headers)


async def _received(connection: client.UpstreamConnection) -> bytes:
    received = bytearray()
    while not isinstance(event := await connection.next_event(), client.End):
        received += event.content
        if len(received) > MAX_ANSWER_BYTES:
            raise Unreadable("the answer is too large")
    return bytes(received)
