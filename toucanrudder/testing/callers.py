"""A caller that keeps what it got, and how its answer ended."""

import enum
import json

import aiohttp
import attrs

from toucanrudder.testing import fleet

DONE = "[DONE]"


class End(enum.Enum):
    """How a streamed answer ended."""

    DONE = "done"
    ERROR = "error"
    SHORT = "short"
    BROKEN = "broken"


@attrs.define
class Streamed:
    """A streamed answer as a caller saw it.

    Parameters
    ----------
    status : int
        HTTP status, 0 when no answer came.
    headers : dict
        Headers by lower-case name.
    numbers : list of int
        Numbers of the events, in order of arrival.
    text : str
        Concatenated text.
    finish_reasons : list of str
        Reasons that came.
    error : dict or None
        Body of the error, be it the answer or its last event.
    end : End
        How it ended.  ``SHORT`` is a clean end without ``[DONE]``.
    token : str
        Latest resume token.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    numbers: list[int] = attrs.field(factory=list)
    text: str = ""
    finish_reasons: list[str] = attrs.field(factory=list)
    error: dict | None = None
    end: End = End.BROKEN
    token: str = ""

    def take(self, event: str) -> None:
        """Take one event."""
        fields = {}
        for line in event.splitlines():
            name, _, value = line.partition(": ")
            fields[name] = value
            if line.startswith(": resume-token "):
                self.token = line.removeprefix(": resume-token ")
        if "id" in fields:
            self.numbers.append(int(fields["id"]))
        if fields.get("event") == "error":
            self.error = json.loads(fields["data"])["error"]
            self.end = End.ERROR
        elif fields.get("data") == DONE:
            self.end = End.DONE
        elif "data" in fields:
            self._take_chunk(json.loads(fields["data"]))

    def _take_chunk(self, chunk: dict) -> None:
        for choice in chunk["choices"]:
            delta = choice.get("delta") or {}
            self.text += choice.get("text") or delta.get("content") or ""
            if choice.get("finish_reason"):
                self.finish_reasons.append(choice["finish_reason"])


async def stream(
    session: aiohttp.ClientSession,
    url: str,
    body: dict,
    *,
    path: str = "/v1/completions",
    organisation: str = fleet.ORGANISATIONS[0],
    headers: dict[str, str] | None = None,
    stop_after: int | None = None,
) -> Streamed:
    """Ask for a streamed answer and read it to its end.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Client.
    url : str
        Base URL of a router.
    body : dict
        Body; ``stream`` is set.
    path : str
        Path of the call.
    organisation : str
        Whose call it is.
    headers : dict, optional
        More headers.
    stop_after : int, optional
        Leave after this event.

    Returns
    -------
    Streamed
        What came; failures are part of it.
    """
    call = session.post(
        url + path,
        json=body | {"stream": True},
        headers=fleet.authorization(organisation) | (headers or {}),
    )
    return await _read(call, stop_after)


async def whole(
    session: aiohttp.ClientSession,
    url: str,
    body: dict,
    *,
    path: str = "/v1/completions",
    organisation: str = fleet.ORGANISATIONS[0],
    headers: dict[str, str] | None = None,
) -> tuple[int, dict]:
    """Ask for an answer in one piece; return its status and its body."""
    async with session.post(
        url + path,
        json=body,
        headers=fleet.authorization(organisation) | (headers or {}),
    ) as response:
        return response.status, await response.json()


async def resume(
    session: aiohttp.ClientSession,
    url: str,
    before: Streamed,
    organisation: str = fleet.ORGANISATIONS[0],
) -> Streamed:
    """Go on with a broken stream at a router.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Client.
    url : str
        Base URL of the router.
    before : Streamed
        What came so far.
    organisation : str
        Whose call it is.

    Returns
    -------
    Streamed
        What came after that.
    """
    last = before.numbers[-1] if before.numbers else 0
    call = session.get(
        f"{url}/v1/streams/{before.token}",
        headers=fleet.authorization(organisation)
        | {"Last-Event-ID": str(last)},
    )
    return await _read(call, None)


async def _read(call, stop_after: int | None) -> Streamed:
    streamed = Streamed()
    try:
        async with call as response:
            streamed.status = response.status
            streamed.headers = {
                name.lower(): value for name, value in response.headers.items()
            }
            streamed.token = streamed.headers.get("x-resume-token", "")
            if response.status != 200:
                streamed.error = (await response.json())["error"]
                streamed.end = End.ERROR
                return streamed
            await _read_events(response, streamed, stop_after)
    except (aiohttp.ClientError, ConnectionError):
        return streamed
    if streamed.end is End.BROKEN:
        streamed.end = End.SHORT
    return streamed


async def _read_events(
    response: aiohttp.ClientResponse,
    streamed: Streamed,
    stop_after: int | None,
) -> None:
    rest = b""
    async for part in response.content.iter_any():
        *events, rest = (rest + part).split(b"\n\n")
        for event in events:
            streamed.take(event.decode())
            if streamed.numbers and streamed.numbers[-1] == stop_after:
                response.close()
                raise ConnectionError("left")
