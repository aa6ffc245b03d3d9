"""Reading of answers to calls that a router of the own interface makes."""

import aiohttp

from toucanrudder.http1 import answer_room


async def read_json(
    response: aiohttp.ClientResponse, room: answer_room.AnswerRoom
) -> object:
    """Return the value of an answer's JSON body.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The open answer.
    room : answer_room.AnswerRoom
        Room for the answers to such calls.

    Raises
    ------
    Unreadable
        The body is too large, or cannot be parsed.
    """
    with room.reading() as partial:
        partial.expect(response.content_length)
        async for piece in response.content.iter_any():
            partial.add(piece)
        return partial.parse()
