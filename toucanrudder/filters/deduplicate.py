"""Runs a call that may not be repeated at most once."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib

import aiohttp
from aiohttp import web
import attrs
import multidict

from toucanrudder import claims
from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.claims import decision
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.upstreams import service

STEP = "service"
REPLAYED = "X-Replayed"


@attrs.define(eq=False)
class Answer:
    """An instance's answer, read as far as it may be retained.

    Parameters
    ----------
    result : claims.Result
        Status, headers and what was read of the body.
    upstream : str
        Name of the instance.
    rest : aiohttp.ClientResponse or None
        The open answer when there is more.
    resources : contextlib.AsyncExitStack
        Closes the answer.
    """

    result: claims.Result
    upstream: str
    rest: aiohttp.ClientResponse | None
    resources: contextlib.AsyncExitStack = attrs.field(
        factory=contextlib.AsyncExitStack
    )


Send = Callable[[claims.Claim], Awaitable[Answer]]


def digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of all that makes a call.

    Parameters
    ----------
    method, path : str
        As the service gets them, the query included.
    body : bytes
        Whole body.

    Examples
    --------
    >>> digest("POST", "/a", b"") == digest("POST", "/b", b"")
    False
    """
    hashed = hashlib.sha256(f"{method}\0{path}\0".encode())
    hashed.update(body)
    return hashed.hexdigest()


async def run_once(
    exchange: exchanges.Exchange, key: str, body_sha256: str, send: Send
) -> claims.Result | Answer:
    """Claim the call, run it, and retain its answer.

    The run goes on when the caller leaves, as it may have changed the
    service's state by then: its answer waits for the caller's next try.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The call.
    key : str
        Its idempotency key.
    body_sha256 : str
        Its digest.
    send : callable
        Sends the call under a claim; raises `RudderError`, whose `ran`
        tells whether the claim may be given back.

    Returns
    -------
    claims.Result or Answer
        A retained answer, or a new one; the caller closes the latter.

    Raises
    ------
    RudderError
        As `claims.ClaimKeeper.acquire` and `send`.
    """
    state = exchange.state
    held = await state.claims.acquire(
        exchange.organisation.name, key, body_sha256, clock.now_s()
    )
    if isinstance(held, decision.Replay):
        return held.result
    task = state.background.spawn(_run(exchange, held, send))
    try:
        outcome = await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(lambda done: _discard(state, done))
        raise
    if isinstance(outcome, errors.RudderError):
        raise outcome
    return outcome


async def _run(
    exchange: exchanges.Exchange, claim: claims.Claim, send: Send
) -> Answer | errors.RudderError:
    # Counted by itself: a planned stop waits for it without its caller.
    with exchange.state.exchanges.counted():
        try:
            answer = await send(claim)
        except errors.RudderError as error:
            if error.ran is errors.Ran.NOT_RUN:
                await claim.release()
            return error
        kept = answer.result if answer.rest is None else None
        await claim.finish(kept)
        return answer


def _discard(state, done: asyncio.Task) -> None:
    if done.cancelled() or done.exception() is not None:
        return
    if isinstance(done.result(), Answer):
        state.spawn(done.result().resources.aclose())


async def read_answer(
    response: aiohttp.ClientResponse, upstream: str
) -> Answer:
    """Read an answer as far as it may be retained.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The open answer.
    upstream : str
        Name of the instance that gave it.

    Raises
    ------
    RudderError
        ``upstream_failed``: it broke off; whether the call ran to its end
        is unknown.
    """
    body = bytearray()
    more = False
    try:
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > claims.MAX_RESULT_BYTES:
                more = True
                break
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise errors.RudderError(
            errors.Code.UPSTREAM_FAILED,
            "the service's answer broke off",
            step=STEP,
            peer=upstream,
            ran=errors.Ran.UNKNOWN,
        ) from error
    result = claims.Result(
        response.status,
        tuple(service.forwarded_headers(response.headers).items()),
        bytes(body),
    )
    return Answer(result, upstream, response if more else None)


def replayed(
    exchange: exchanges.Exchange, result: claims.Result, again: bool
) -> web.Response:
    """Return a whole answer for the caller.

    Parameters
    ----------
    exchange : exchanges.Exchange
        The call.
    result : claims.Result
        The answer.
    again : bool
        Whether it is an earlier try's.
    """
    response = web.Response(
        status=result.status,
        body=result.body,
        headers=multidict.CIMultiDict(result.headers),
    )
    response.headers[headers.REQUEST_ID] = exchange.request_id
    if again:
        response.headers[REPLAYED] = "1"
    return response
