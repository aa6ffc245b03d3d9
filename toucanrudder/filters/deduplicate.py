"""At-most-once execution of calls that may not be repeated."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib

from aiohttp import web
import attrs
import multidict

from toucanrudder import claims
from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.claims import decision
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import service

STEP = "service"
REPLAYED = "X-Replayed"


@attrs.define(eq=False)
class Answer:
    """A service instance's response, read up to the retention limit.

    Parameters
    ----------
    result : claims.Result
        Status, headers and the part of the body that was read.
    upstream : str
        Name of the instance.
    unread : service.ServiceAnswer or None
        The open response if part of its body is still unread.
    resources : contextlib.AsyncExitStack
        Closes the open response.
    """

    result: claims.Result
    upstream: str
    unread: service.ServiceAnswer | None
    resources: contextlib.AsyncExitStack = attrs.field(
        factory=contextlib.AsyncExitStack
    )


Send = Callable[[claims.Claim], Awaitable[Answer]]


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 digest that identifies a call's content.

    Parameters
    ----------
    method, path : str
        As sent to the service, including the query.
    body : bytes
        The whole body.

    Examples
    --------
    >>> call_digest("POST", "/a", b"") == call_digest("POST", "/b", b"")
    False
    """
    hashed = hashlib.sha256(f"{method}\0{path}\0".encode())
    hashed.update(body)
    return hashed.hexdigest()


async def run_once(
    exchange: exchanges.Exchange, key: str, body_sha256: str, send: Send
) -> claims.Result | Answer:
    """Claim the call, run it, and retain its response.

    The call continues if the caller disconnects, because it may already
    have changed the service's state.  Its response is retained for the
    caller's next request with the same key.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The caller's request.
    key : str
        Its idempotency key.
    body_sha256 : str
        Digest from `call_digest`.
    send : callable
        Sends the call under a claim; raises `RudderError`, whose `ran`
        determines whether the claim may be released.

    Returns
    -------
    claims.Result or Answer
        A retained response, or a new one, which must be closed.

    Raises
    ------
    RudderError
        Raised by `claims.ClaimKeeper.acquire` or `send`.
    """
    state = exchange.state
    claim = await state.claims.acquire(
        exchange.organisation.name, key, body_sha256, clock.now_s()
    )
    if isinstance(claim, decision.Replay):
        return claim.result
    task = state.background.spawn(_run(exchange, claim, send))
    try:
        outcome = await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(lambda task: _close_answer(state, task))
        raise
    if isinstance(outcome, errors.RudderError):
        raise outcome
    return outcome


async def _run(
    exchange: exchanges.Exchange, claim: claims.Claim, send: Send
) -> Answer | errors.RudderError:
    # Counted separately, so that a graceful shutdown waits for this call
    # even if its caller has disconnected.
    with exchange.state.exchanges.track():
        try:
            answer = await send(claim)
        except errors.RudderError as error:
            if error.ran is errors.Ran.NOT_RUN:
                await claim.release()
            return error
        result = answer.result if answer.unread is None else None
        await claim.finish(result)
        return answer


def _close_answer(state, task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    if isinstance(task.result(), Answer):
        state.spawn(task.result().resources.aclose())


async def read_answer(response: service.ServiceAnswer) -> Answer:
    """Read a response up to the retention limit.

    Parameters
    ----------
    response : service.ServiceAnswer
        The open response.

    Raises
    ------
    RudderError
        ``upstream_failed``: the response was cut off; whether the call
        ran to its end is unknown.
    """
    body = bytearray()
    is_truncated = False
    try:
        async for chunk in response.pieces():
            body += chunk
            if len(body) > claims.MAX_RESULT_BYTES:
                is_truncated = True
                break
    except failures.UpstreamFailure as error:
        raise errors.RudderError(
            errors.Code.UPSTREAM_FAILED,
            "the service's response was cut off",
            step=STEP,
            peer=response.upstream,
            ran=errors.Ran.UNKNOWN,
        ) from error
    result = claims.Result(
        response.status,
        tuple(service.forwarded_headers(response.headers).items()),
        bytes(body),
    )
    return Answer(
        result, response.upstream, response if is_truncated else None
    )


def response_from_result(
    exchange: exchanges.Exchange, result: claims.Result, is_replay: bool
) -> web.Response:
    """Return a complete response for the caller.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The caller's request.
    result : claims.Result
        Status, headers and body.
    is_replay : bool
        Whether the result was retained from an earlier request.
    """
    response = web.Response(
        status=result.status,
        body=result.body,
        headers=multidict.CIMultiDict(result.headers),
    )
    response.headers[headers.REQUEST_ID] = exchange.request_id
    if is_replay:
        response.headers[REPLAYED] = "1"
    return response
