"""Client of one model engine: start, resume and cancel streams."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import aiohttp
import attrs

from toucanrudder.document import model
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import sending

#: Cancelling is a courtesy to the engine; nobody waits longer for it.
CANCEL_TIMEOUT_S = 2.0

#: A rejection's body is shown to the caller up to this size.
MAX_ERROR_BYTES = 16_384


@attrs.frozen
class EngineCall:
    """A request as an engine is asked.

    Parameters
    ----------
    engine_id : str
        Identity of the request at the engine; the engine repeats it in
        its answer and in each chunk.
    path : str
        Path of the API.
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
class Answer:
    """An engine's open answer, its headers checked."""

    incarnation: str
    weights_version: str
    content: aiohttp.StreamReader = attrs.field(repr=False)


class EngineClient:
    """Calls engines over a shared session.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the daemon.
    fresh_session : aiohttp.ClientSession
        The same with a connector that uses each connection once.
    connect_timeout_s : float
        Seconds for opening a connection.
    headers_timeout_s : float
        Seconds until the headers of an answer must have come.
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
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        )

    @contextlib.asynccontextmanager
    async def start(
        self, upstream: model.Upstream, call: EngineCall, fresh: bool = False
    ) -> AsyncIterator[Answer]:
        """Send the request and yield the open answer.

        Parameters
        ----------
        upstream : model.Upstream
            The engine.
        call : EngineCall
            The request.
        fresh : bool
            Whether to use a connection of its own.

        Raises
        ------
        UpstreamFailure
            Of kind ``not_reached``, ``refused``, ``rejected``, ``error``,
            ``crossed``; or ``silent`` when the connection broke after the
            request may have been sent, so that resuming will tell.
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
            middlewares=(sending.once(upstream.name),),
        )
        async with self._answer(request, upstream, call.engine_id) as answer:
            yield answer

    @contextlib.asynccontextmanager
    async def resume(
        self, upstream: model.Upstream, engine_id: str, after: int
    ) -> AsyncIterator[Answer]:
        """Open the stream again, on a connection of its own, after an event.

        A new connection matters: the pool's idle ones may run over the
        same path that lost track of the first.

        Raises
        ------
        UpstreamFailure
            As `start`; ``lost`` when the engine does not know the stream.
        """
        request = self._fresh.get(
            f"http://{upstream.address}/v1/streams/{engine_id}",
            params={"after": str(after)},
            timeout=self._timeout,
            allow_redirects=False,
            middlewares=(sending.once(upstream.name),),
        )
        async with self._answer(request, upstream, engine_id) as answer:
            yield answer

    async def cancel(self, upstream: model.Upstream, engine_id: str) -> bool:
        """Stop the work; return whether the engine confirmed."""
        try:
            async with self._fresh.post(
                f"http://{upstream.address}/v1/requests/{engine_id}/cancel",
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            ) as response:
                return response.status < 300
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    @contextlib.asynccontextmanager
    async def _answer(self, request, upstream, engine_id):
        name = upstream.name
        # A request written into a pooled connection whose path is lost
        # vanishes without an error; only the deadline tells.
        with sending.mapped(name):
            async with asyncio.timeout(self._headers_timeout_s):
                response = await request
        try:
            _check_identity(response, name, engine_id)
            if response.status != 200:
                body = await _error_body(response, self._headers_timeout_s)
                raise _refusal(response, name, body)
            yield Answer(
                incarnation=response.headers.get("X-Incarnation", ""),
                weights_version=response.headers.get("X-Weights-Version", ""),
                content=response.content,
            )
        finally:
            # An answer that was left half read must not go back to the
            # pool: the next request on it would read this one's bytes.
            if not response.content.at_eof():
                response.close()
            response.release()


def _check_identity(response, name: str, engine_id: str) -> None:
    # A proxy or an engine that mixes up pipelined answers, or answers late,
    # hands us another request's.  The identity it repeats is the only
    # witness.  A refusal needs it as well: somebody else's "not run" proves
    # nothing about our request.
    if response.headers.get("X-Request-Id") != engine_id:
        response.close()
        raise failures.UpstreamFailure(
            failures.Kind.CROSSED, name, "answer to another request"
        )


async def _error_body(response, timeout_s: float) -> bytes:
    try:
        async with asyncio.timeout(timeout_s):
            return await response.content.read(MAX_ERROR_BYTES)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return b""


def _refusal(response, name: str, body: bytes) -> failures.UpstreamFailure:
    status = response.status
    if status == 503 and response.headers.get("X-Not-Run") == "1":
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
    )
