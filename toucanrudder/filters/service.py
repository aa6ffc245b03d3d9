"""Plain services: which one, which route, and the call itself."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import aiohttp
from aiohttp import web
import attrs

from toucanrudder import claims
from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.filters import body as bodies
from toucanrudder.filters import deduplicate
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.observability import metrics
from toucanrudder.relay import sinks
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import in_flight
from toucanrudder.upstreams import service

STEP = "service"
NO_UPSTREAM_RETRY_S = 1.0
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@attrs.frozen
class ServiceCall:
    """A call to a service, read from the caller's request."""

    service: model.Service
    repeatable: bool
    method: str
    path: str
    idempotency_key: str | None
    body: bytes = attrs.field(repr=False)


def find(document: model.Document, name: str) -> model.Service:
    """Return the service of this name."""
    for candidate in document.services:
        if candidate.name == name:
            return candidate
    raise errors.RudderError(
        errors.Code.UNKNOWN_SERVICE, f"no service {name[:64]!r}", step=STEP
    )


def repeatable(found: model.Service, method: str, path: str) -> bool:
    """Whether a call may be run twice; the first matching route decides.

    Without a matching route only the methods that HTTP calls safe may be
    repeated: a forgotten route must not double a booking.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> from toucanrudder.filters import service
    >>> found = model.Service(
    ...     "booking", (model.Route("POST", "/quotes", True),))
    >>> service.repeatable(found, "POST", "/quotes/7")
    True
    >>> service.repeatable(found, "POST", "/bookings")
    False
    """
    for route in found.routes:
        if route.method in ("*", method) and _below(route.path_prefix, path):
            return route.repeatable
    return method in _SAFE_METHODS


def _below(prefix: str, path: str) -> bool:
    """Whether the path is the prefix or lies below it, by segments."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _check_path(path: str) -> None:
    # The service may resolve "/quotes/../bookings" to "/bookings", while
    # the routes here took it for a quote that may be repeated: a booking
    # would be made twice.  No client has reason to send such a path.
    if not {".", ".."}.isdisjoint(path.split("/")):
        raise errors.RudderError(
            errors.Code.INVALID_REQUEST,
            "the path has segments that are dots only",
            step=STEP,
        )


async def read_call(exchange: exchanges.Exchange) -> ServiceCall:
    """Read and check the caller's request."""
    http = exchange.http
    found = find(exchange.document, http.match_info["name"])
    path = "/" + http.match_info["rest"]
    _check_path(path)
    may_repeat = repeatable(found, http.method, path)
    key = headers.single(http, headers.IDEMPOTENCY_KEY)
    if not may_repeat and key is None:
        raise errors.RudderError(
            errors.Code.IDEMPOTENCY_KEY_REQUIRED,
            "this call may not be repeated; give it an Idempotency-Key",
            step=STEP,
        )
    raw = await bodies.read(
        http,
        found.max_body_bytes,
        exchange.state.conf.router.body_timeout_s,
    )
    full_path = http.raw_path.split("/", 3)[3:]
    return ServiceCall(
        found,
        may_repeat,
        http.method,
        "/" + (full_path[0] if full_path else ""),
        key,
        raw,
    )


def choose(
    exchange: exchanges.Exchange,
    call: ServiceCall,
    tried: frozenset[str],
    ran: errors.Ran,
) -> model.Upstream:
    """Return the least busy instance of the service that was not tried."""
    state = exchange.state
    now_s = state.now_s()
    usable = list(
        state.usable(
            (
                upstream
                for upstream in exchange.document.upstreams
                if upstream.kind == model.SERVICE
                and upstream.pool == call.service.name
                and upstream.name not in tried
            ),
            now_s,
        )
    )
    if not usable:
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM,
            "no instance of the service can take the call now",
            step=STEP,
            peer=call.service.name,
            ran=ran,
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )
    state.rng.shuffle(usable)
    return min(
        usable, key=lambda each: state.in_flight.request_count(each.name)
    )


@contextlib.asynccontextmanager
async def opened(
    exchange: exchanges.Exchange,
    upstream: model.Upstream,
    call: ServiceCall,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Make the call at one instance and yield its open answer.

    Raises
    ------
    UpstreamFailure
        No answer came.
    """
    state = exchange.state
    passed = service.forwarded_headers(exchange.http.headers)
    passed[headers.REQUEST_ID] = exchange.request_id
    entry = in_flight.InFlightRequest("", 0)
    with state.in_flight.track(upstream.name, entry):
        async with state.services.call(
            upstream,
            call.method,
            call.path,
            headers=passed,
            body=call.body,
            timeout_s=call.service.timeout_s,
        ) as answer:
            yield answer


async def relay(
    exchange: exchanges.Exchange,
    upstream: model.Upstream,
    call: ServiceCall,
) -> web.StreamResponse:
    """Make the call at one instance and stream its answer to the caller.

    Raises
    ------
    UpstreamFailure
        Nothing has been sent to the caller.
    RudderError
        ``stream_broken``; the connection to the caller is cut, which is
        the only way to say in HTTP that a body is not whole.
    """
    async with opened(exchange, upstream, call) as answer:
        return await _pass_on(exchange, upstream.name, answer)


async def _pass_on(
    exchange: exchanges.Exchange,
    peer: str,
    answer: aiohttp.ClientResponse,
    read: bytes = b"",
) -> web.StreamResponse:
    response = web.StreamResponse(
        status=answer.status,
        reason=answer.reason,
        headers=service.forwarded_headers(answer.headers),
    )
    response.headers[headers.REQUEST_ID] = exchange.request_id
    if answer.content_length is not None:
        response.content_length = answer.content_length
    await response.prepare(exchange.http)

    async def write(chunk: bytes) -> None:
        await sinks.guarded(
            exchange.http,
            response.write(chunk),
            exchange.state.conf.router.write_timeout_s,
        )

    try:
        if read:
            await write(read)
        async for chunk in answer.content.iter_any():
            await write(chunk)
    except sinks.CallerGone:
        raise
    except Exception:
        metrics.count_refusal(errors.Code.STREAM_BROKEN.value, STEP)
        if exchange.http.transport is not None:
            exchange.http.transport.abort()
        raise sinks.CallerGone(f"{peer} broke off") from None
    await response.write_eof()
    return response


async def call_service(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Answer a call to a service."""
    call = await read_call(exchange)
    if not call.repeatable:
        return await _call_once(exchange, call)

    async def send(upstream: model.Upstream) -> web.StreamResponse:
        return await relay(exchange, upstream, call)

    return await _tried(exchange, call, send)


async def _call_once(
    exchange: exchanges.Exchange, call: ServiceCall
) -> web.StreamResponse:
    async def send(claim: claims.Claim) -> deduplicate.Answer:
        async def send_to(upstream: model.Upstream) -> deduplicate.Answer:
            return await _claimed(exchange, upstream, call, claim)

        return await _tried(exchange, call, send_to)

    outcome = await deduplicate.run_once(
        exchange,
        call.idempotency_key,
        deduplicate.digest(call.method, call.path, call.body),
        send,
    )
    if isinstance(outcome, claims.Result):
        return deduplicate.replayed(exchange, outcome, again=True)
    async with outcome.resources:
        if outcome.rest is None:
            return deduplicate.replayed(exchange, outcome.result, again=False)
        return await _pass_on(
            exchange, outcome.upstream, outcome.rest, outcome.result.body
        )


async def _claimed(
    exchange: exchanges.Exchange,
    upstream: model.Upstream,
    call: ServiceCall,
    claim: claims.Claim,
) -> deduplicate.Answer:
    claim.check(clock.now_s())
    async with contextlib.AsyncExitStack() as stack:
        try:
            answer = await stack.enter_async_context(
                opened(exchange, upstream, call)
            )
        except failures.UpstreamFailure as failure:
            if failure.kind in failures.PROVES_NOT_RUN:
                claim.mark_not_dispatched()
            raise
        read = await deduplicate.read_answer(answer, upstream.name)
        read.resources = stack.pop_all()
        return read


async def _tried(
    exchange: exchanges.Exchange,
    call: ServiceCall,
    send: Callable[[model.Upstream], Awaitable[Any]],
) -> Any:
    """Send to one instance after the other while that is safe."""
    state = exchange.state
    state.budget(call.service.name).record_request(state.now_s())
    tried: set[str] = set()
    ran = errors.Ran.NOT_RUN
    while True:
        upstream = choose(exchange, call, frozenset(tried), ran)
        tried.add(upstream.name)
        try:
            return await send(upstream)
        except failures.UpstreamFailure as failure:
            state.unreachable(failure)
            # One try that may have run makes "not run" untrue for all
            # that follow, also when those prove that they did not.
            if failure.kind not in failures.PROVES_NOT_RUN:
                ran = errors.Ran.UNKNOWN
            _check_may_retry(exchange, call, failure, ran)
            metrics.count_retry(failure.kind.value)


def _check_may_retry(
    exchange: exchanges.Exchange,
    call: ServiceCall,
    failure: failures.UpstreamFailure,
    ran: errors.Ran,
) -> None:
    state = exchange.state
    proved = failure.kind in failures.PROVES_NOT_RUN
    safe = proved or call.repeatable
    if safe and state.budget(call.service.name).try_spend(state.now_s()):
        return
    raise errors.RudderError(
        errors.Code.UPSTREAM_NOT_REACHED
        if proved
        else errors.Code.UPSTREAM_FAILED,
        "the service gave no answer",
        step=STEP,
        peer=failure.upstream,
        ran=ran,
        retry_after_s=NO_UPSTREAM_RETRY_S,
    ) from failure
