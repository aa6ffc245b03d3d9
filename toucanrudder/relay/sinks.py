"""Where an answer goes: to the caller as it comes, or as a whole."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

from aiohttp import web

from toucanrudder import errors
from toucanrudder.relay import assembly
from toucanrudder.relay import sequencer
from toucanrudder.relay import transcript

#: Enough of a stream's end to hold the chunk with its usage.
TAIL_BYTES = 4096

RESUME_TOKEN = "X-Resume-Token"


class CallerGone(Exception):
    """The caller left or no longer reads."""


class Sink:
    """Takes the fresh events of one answer, in order.

    `started` says whether the caller has been sent a byte: until then the
    request may be refused or run elsewhere as if nothing had happened.
    """

    started = False

    def at(self, upstream: str, engine_id: str) -> None:
        """Note the engine, and the stream there, that gives what follows."""

    async def write(self, events: bytes) -> None:
        """Take events."""
        raise NotImplementedError

    def text_so_far(self) -> str | None:
        """Return the text to continue from, or None if there is no way."""
        raise NotImplementedError

    def usage(self) -> dict | None:
        """Return the usage that the engine gave, once the answer is whole."""
        raise NotImplementedError


class StreamSink(Sink):
    """Server-sent events to the caller.

    Parameters
    ----------
    http_request : aiohttp.web.Request
        The caller's request.
    headers : dict
        Headers of the answer.
    write_timeout_s : float
        Seconds a chunk may stay unread.
    token_for : callable
        Gives the resume token of a stream at an engine.
    """

    def __init__(
        self,
        http_request: web.Request,
        headers: dict[str, str],
        write_timeout_s: float,
        token_for: Callable[[str, str], str],
    ):
        self._token_for = token_for
        self._moved = b""
        self._http = http_request
        self._write_timeout_s = write_timeout_s
        self._transcript = transcript.Transcript()
        self.response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream; charset=utf-8",
                "Cache-Control": "no-cache",
                **headers,
            }
        )
        self._tail = b""

    def at(self, upstream: str, engine_id: str) -> None:
        """Tell the caller where to resume.

        The token stands in a header until that is sent, and in a comment
        once the stream goes on at another engine; readers of events skip
        comments, and those who resume look for the latest.
        """
        token = self._token_for(upstream, engine_id)
        if self.started:
            self._moved = b": resume-token " + token.encode() + b"\n\n"
        else:
            self.response.headers[RESUME_TOKEN] = token

    async def write(self, events: bytes) -> None:
        """Send the events; raise `CallerGone` if nobody takes them."""
        if not self.started:
            self.started = True
            await self._guarded(self.response.prepare(self._http))
        self._transcript.add(events)
        self._tail = events[-TAIL_BYTES:]
        data = self._moved + events
        self._moved = b""
        await self._guarded(self.response.write(data))

    def usage(self) -> dict | None:
        """Return the usage in the last chunk, if it had one."""
        last = None
        _, _, whole = self._tail.partition(sequencer.SEPARATOR)
        for chunk in assembly.chunks_of(whole):
            last = chunk.get("usage") or last
        return last

    async def fail(self, error: errors.RudderError, request_id: str) -> None:
        """End the stream with an explicit error and without ``[DONE]``."""
        body = json.dumps(error.as_body(request_id)).encode()
        event = b"event: error\ndata: " + body + b"\n\n"
        await self._guarded(self.response.write(event))

    def text_so_far(self) -> str | None:
        """Return the text that the caller has."""
        return self._transcript.text()

    async def _guarded(self, awaitable) -> None:
        await guarded(self._http, awaitable, self._write_timeout_s)


async def guarded(
    http_request: web.Request, awaitable: Awaitable, timeout_s: float
) -> None:
    """Await a write to the caller; raise `CallerGone` if it does not read.

    A caller that never reads would hold its buffers, a slot in the engine
    and this task for ever.  aiohttp's write waits once the connection's
    bounded buffer is full, so a deadline on it bounds all three.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await awaitable
    except TimeoutError as error:
        if http_request.transport is not None:
            http_request.transport.abort()
        raise CallerGone("caller does not read") from error
    except (ConnectionError, RuntimeError) as error:
        raise CallerGone("caller left") from error


class WholeSink(Sink):
    """Collects the events of an answer that the caller wants whole."""

    def __init__(self):
        self._assembly = assembly.Assembly()

    async def write(self, events: bytes) -> None:
        """Take events; nothing is sent before the answer is whole."""
        self._assembly.add(events)

    def answer(self) -> dict:
        """Return the whole answer."""
        return self._assembly.answer()

    def usage(self) -> dict | None:
        """Return the usage that the engine gave."""
        return self._assembly.usage()

    def text_so_far(self) -> str | None:
        """Return the text gathered so far."""
        return self._assembly.plain_text()
