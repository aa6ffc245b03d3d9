"""Reading of answers to calls that a router of the own interface makes."""

import http

import aiohttp
from aiohttp import hdrs

from toucanrudder.http1 import answer_room
from toucanrudder.http1 import json_text


def check_success(response: aiohttp.ClientResponse) -> None:
    """Raise Unreadable unless an answer's status is one of success.

    The HTTP library accepts any number as a status, also one below 100.
    """
    if not 200 <= response.status < 300:
        raise json_text.Unreadable(f"HTTP status {response.status}")


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether the end of an answer shows that it is whole.

    The HTTP library takes a reset for the end of any other body.
    """
    return (
        response.status == http.HTTPStatus.NO_CONTENT
        or hdrs.CONTENT_LENGTH in response.headers
        or hdrs.TRANSFER_ENCODING in response.headers
    )


async def read_rejection(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Return the body of an answer that rejects a request.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The open answer.
    max_bytes : int
        Largest body.

    Raises
    ------
    Unreadable
        The body is too large, or may not be whole.
    """
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > max_bytes:
            raise json_text.Unreadable("the answer is too large")
    if not _is_framed(response):
        json_text.parse(bytes(body))
    return bytes(body)


async def read_json(
    response: aiohttp.ClientResponse, room: answer_room.AnswerRoom
) -> object:
    """Return the value of an answer's JSON body.

    A body whose end shows nothing must hold a whole value.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The open answer.
    room : answer_room.AnswerRoom
        Room for the answers to such calls.

    Raises
    ------
    Unreadable
        The status is none of success, or the body is too large, is not
        whole, or cannot be parsed.
    """
    check_success(response)
    with room.reading() as partial:
        partial.expect(response.content_length)
        async for piece in response.content.iter_any():
            partial.add(piece)
        if partial.is_empty and not _is_framed(response):
            raise json_text.Unreadable("the answer may have broken off")
        return partial.parse()
