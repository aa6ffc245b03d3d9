"""Receivers of an answer: streamed to the caller, or collected."""

from collections.abc import Awaitable
from collections.abc import Callable
import json

from aiohttp import web

from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder.relay import assembly
from toucanrudder.relay import sequencer
from toucanrudder.relay import transcript

#: Bytes kept of a stream's end, enough for the chunk with its usage.
TAIL_BYTES = 4096

RESUME_TOKEN = "X-Resume-Token"


class CallerGone(Exception):
    """The caller disconnected or no longer reads."""


class Sink:
    """Receiver of the new events of one answer, in order.

    `started` is true once bytes were sent to the caller.  Until then, the
    request can still be refused with an error status.
    """

    started = False

    def set_source(self, upstream: str, engine_id: str) -> None:
        """Set the engine and stream that the next events come from."""

    async def write(self, events: bytes) -> None:
        """Add events."""
        raise NotImplementedError

    def text_so_far(self) -> str | None:
        """Return the text to continue from, or None if that is impossible."""
        raise NotImplementedError

    def usage(self) -> dict | None:
        """Return the usage reported by the engine with a complete answer."""
        raise NotImplementedError


class StreamSink(Sink):
    """Sink that sends server-sent events to the caller.

    Parameters
    ----------
    http_request : aiohttp.web.Request
        The caller's request.
    headers : dict
        Response headers.
    write_timeout_s : float
        Time limit for the caller to read a chunk, in seconds.
    token_for : callable
        Returns the resume token for an upstream and an engine ID.
    """

    def __init__(
        self,
        http_request: web.Request,
        headers: dict[str, str],
        write_timeout_s: float,
        token_for: Callable[[str, str], str],
    ):
        self._token_for = token_for
        self._resume_comment = b""
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

    def set_source(self, upstream: str, engine_id: str) -> None:
        """Send the caller the token to resume the stream.

        The token is sent as a header, or as a comment once the headers
        are sent and the stream continues at another engine.  Event parsers
        skip comments; a caller that resumes uses the latest token.
        """
        token = self._token_for(upstream, engine_id)
        if self.started:
            self._resume_comment = (
                b": resume-token " + token.encode() + b"\n\n"
            )
        else:
            self.response.headers[RESUME_TOKEN] = token

    async def write(self, events: bytes) -> None:
        """Send the events; raise `CallerGone` if the caller is gone."""
        if not self.started:
            self.started = True
            await self._await_write(self.response.prepare(self._http))
        self._transcript.add(events)
        self._tail = events[-TAIL_BYTES:]
        data = self._resume_comment + events
        self._resume_comment = b""
        await self._await_write(self.response.write(data))

    def usage(self) -> dict | None:
        """Return the last usage among the stream's final chunks, if any."""
        last = None
        _, _, whole = self._tail.partition(sequencer.SEPARATOR)
        for chunk in assembly.chunks_of(whole):
            last = chunk.get("usage") or last
        return last

    async def fail(self, error: errors.RudderError, request_id: str) -> None:
        """End the stream with an explicit error and without ``[DONE]``."""
        body = json.dumps(error.as_body(request_id)).encode()
        event = b"event: error\ndata: " + body + b"\n\n"
        await self._await_write(self.response.write(event))

    def text_so_far(self) -> str | None:
        """Return the text sent to the caller."""
        return self._transcript.text()

    async def _await_write(self, awaitable) -> None:
        await await_write(self._http, awaitable, self._write_timeout_s)


async def await_write(
    http_request: web.Request, awaitable: Awaitable, timeout_s: float
) -> None:
    """Await a write to the caller; raise `CallerGone` if it does not read.

    A caller that never reads would keep its buffers, an engine slot and
    this task forever.  aiohttp's write blocks once the connection's bounded
    buffer is full, so a deadline on the write bounds all three.
    """
    try:
        async with stalls.timeout(timeout_s):
            await awaitable
    except TimeoutError as error:
        if http_request.transport is not None:
            http_request.transport.abort()
        raise CallerGone("caller does not read") from error
    except (ConnectionError, RuntimeError) as error:
        raise CallerGone("caller disconnected") from error


class WholeSink(Sink):
    """Sink that collects the events of an unstreamed answer."""

    def __init__(self):
        self._assembly = assembly.Assembly()

    async def write(self, events: bytes) -> None:
        """Add events; nothing is sent before the answer is complete."""
        self._assembly.add(events)

    def answer(self) -> dict:
        """Return the complete answer."""
        return self._assembly.answer()

    def usage(self) -> dict | None:
        """Return the usage reported by the engine."""
        return self._assembly.usage()

    def text_so_far(self) -> str | None:
        """Return the text collected so far."""
        return self._assembly.plain_text()
