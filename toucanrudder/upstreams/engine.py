"""Client of model engines: start, resume and cancel streams."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp
import attrs

from toucanrudder import stalls
from toucanrudder.document import model
from toucanrudder.http1 import answer_room
from toucanrudder.http1 import json_text
from toucanrudder.upstreams import call_answers
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import sending

#: Cancelling only saves the engine work; no caller waits longer for it.
CANCEL_TIMEOUT_S = 2.0

#: What the unfinished events of all streams may occupy together.
MAX_PARTIAL_EVENTS_BYTES = 8_388_608

#: Largest body of a rejection that is passed to the caller.
MAX_ERROR_BYTES = 16_384


@attrs.frozen
class EngineCall:
    """A request to an engine.

    Parameters
    ----------
    engine_id : str
        Identity of the request at the engine, which repeats it in its
        answer and in each chunk.
    path : str
        URL path.
    body : dict
        JSON body.
    priority : int
        0 urgent, 1 normal, 2 background.
    salt_hex : str
        Cache salt of the organisation, 32 hex digits.
    """

    engine_id: str
    path: str
    body: dict = attrs.field(repr=False)
    priority: int
    salt_hex: str = attrs.field(repr=False)


@attrs.frozen
class EngineResponse:
    """An engine's open response, after a check of its headers."""

    incarnation: str
    weights_version: str
    content: aiohttp.StreamReader = attrs.field(repr=False)


class EngineClient:
    """Calls engines over a shared session.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session owned by the daemon.
    fresh_session : aiohttp.ClientSession
        The same, with a connector that uses each connection once.
    connect_timeout_s : float
        Timeout of opening a connection.
    headers_timeout_s : float
        Timeout of receiving the response headers.

    Attributes
    ----------
    partial_events : answer_room.AnswerRoom
        Room for the unfinished events of all streams.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        connect_timeout_s: float,
        headers_timeout_s: float,
    ):
        self._session = session
        self._fresh = fresh_session
        self._headers_timeout_s = headers_timeout_s
        self.partial_events = answer_room.AnswerRoom(
            MAX_PARTIAL_EVENTS_BYTES, MAX_PARTIAL_EVENTS_BYTES
        )
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        )

    @contextlib.asynccontextmanager
    async def start(
        self, upstream: model.Upstream, call: EngineCall, fresh: bool = False
    ) -> AsyncIterator[EngineResponse]:
        """Send the request and yield the open response.

        Parameters
        ----------
        upstream : model.Upstream
            The engine.
        call : EngineCall
            The request.
        fresh : bool
            Whether to use a new connection.

        Raises
        ------
        UpstreamFailure
            Of kind ``not_reached``, ``refused``, ``rejected``, ``error`` or
            ``crossed``; or ``silent`` if the connection broke after the
            request may have been sent, so that only resuming shows the
            outcome.
        """
        session = self._fresh if fresh else self._session
        request = session.post(
            f"http://{upstream.address}{call.path}",
            json=call.body,
            headers={
                "X-Request-Id": call.engine_id,
                "X-Priority": str(call.priority),
                "X-Cache-Salt": call.salt_hex,
            },
            timeout=self._timeout,
            allow_redirects=False,
            middlewares=(sending.without_resend(upstream.name),),
        )
        async with self._open(request, upstream, call.engine_id) as response:
            yield response

    @contextlib.asynccontextmanager
    async def resume(
        self, upstream: model.Upstream, engine_id: str, after: int
    ) -> AsyncIterator[EngineResponse]:
        """Resume the stream after an event, on a new connection.

        The pool's idle connections may use the same network path that lost
        the first one.

        Raises
        ------
        UpstreamFailure
            As in `start`; ``lost`` if the engine does not know the stream.
        """
        request = self._fresh.get(
            f"http://{upstream.address}/v1/streams/{engine_id}",
            params={"after": str(after)},
            timeout=self._timeout,
            allow_redirects=False,
            middlewares=(sending.without_resend(upstream.name),),
        )
        async with self._open(request, upstream, engine_id) as response:
            yield response

    async def cancel(self, upstream: model.Upstream, engine_id: str) -> bool:
        """Cancel the request; return whether the engine confirmed it."""
        try:
            async with self._fresh.post(
                f"http://{upstream.address}/v1/requests/{engine_id}/cancel",
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ) as response:
                return 200 <= response.status < 300
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    @contextlib.asynccontextmanager
    async def _open(self, request, upstream, engine_id):
        name = upstream.name
        # A request written to a pooled connection whose network path is lost
        # raises no error; only the timeout detects it.
        with sending.translated_errors(name):
            async with stalls.timeout(self._headers_timeout_s):
                response = await request
        try:
            _check_identity(response, name, engine_id)
            if response.status != 200:
                body = b""
                if not _is_refusal(response):
                    body = await _error_body(response, self._headers_timeout_s)
                raise _failure_of(response, name, body)
            yield EngineResponse(
                incarnation=response.headers.get("X-Incarnation", ""),
                weights_version=response.headers.get("X-Weights-Version", ""),
                content=response.content,
            )
        finally:
            # The connection of a partly read response must not go back to
            # the pool: the next request would read the remaining bytes.
            if not response.content.at_eof():
                response.close()
            response.release()


def _check_identity(response, name: str, engine_id: str) -> None:
    # A proxy or an engine that confuses pipelined responses, or responds
    # late, may send the response to another request.  Only the repeated
    # identity shows it.  Refusals are checked as well: the "not run" of
    # another request proves nothing about this one.
    if response.headers.get("X-Request-Id") != engine_id:
        response.close()
        raise failures.UpstreamFailure(
            failures.Kind.CROSSED, name, "response to another request"
        )


def _is_refusal(response) -> bool:
    """Whether the head proves that the request has not run."""
    return response.status == 503 and response.headers.get("X-Not-Run") == "1"


async def _error_body(response, timeout_s: float) -> bytes:
    """Return the body of a rejection; nothing of one that is not whole."""
    try:
        async with stalls.timeout(timeout_s):
            return await call_answers.read_rejection(response, MAX_ERROR_BYTES)
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        json_text.Unreadable,
    ):
        return b""


def _failure_of(response, name: str, body: bytes) -> failures.UpstreamFailure:
    status = response.status
    if _is_refusal(response):
        kind = failures.Kind.REFUSED
    elif status == 404 and response.method == "GET":
        kind = failures.Kind.LOST
    elif 400 <= status < 500 and status != 429:
        kind = failures.Kind.REJECTED
    else:
        kind = failures.Kind.ERROR
    return failures.UpstreamFailure(
        kind,
        name,
        f"status {status}",
        status=status,
        body=body,
        incarnation=response.headers.get("X-Incarnation", ""),
        rest_s=sending.rest_s(response.headers) if status == 503 else 0.0,
    )
