"""Handler of calls to plain services: routing, retries and relay."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

from aiohttp import web
import attrs

from toucanrudder import claims
from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.document import routes
from toucanrudder.filters import bounded_body
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


@attrs.frozen
class ServiceCall:
    """A call to a service, parsed from the caller's request."""

    service: model.Service
    repeatable: bool
    method: str
    path: str
    idempotency_key: str | None
    body: bytes = attrs.field(repr=False)


def find_service(document: model.Document, name: str) -> model.Service:
    """Return the service with this name."""
    for candidate in document.services:
        if candidate.name == name:
            return candidate
    raise errors.RudderError(
        errors.Code.UNKNOWN_SERVICE, f"no service {name[:64]!r}", step=STEP
    )


def _check_path(path: str) -> None:
    # The service may resolve "/quotes/../bookings" to "/bookings", while
    # the routes here match it as a repeatable quote, so that a booking
    # could be made twice.  No client has a reason to send such a path.
    if routes.has_dot_segments(path):
        raise errors.RudderError(
            errors.Code.INVALID_REQUEST,
            "the path has . or .. segments",
            step=STEP,
        )


async def read_call(exchange: exchanges.Exchange) -> ServiceCall:
    """Read and validate the caller's request."""
    http = exchange.http
    target = find_service(exchange.document, http.match_info["name"])
    path = "/" + http.match_info["rest"]
    _check_path(path)
    may_repeat = routes.is_repeatable(target, http.method, path)
    key = headers.single_value(http, headers.IDEMPOTENCY_KEY)
    if not may_repeat and key is None:
        raise errors.RudderError(
            errors.Code.IDEMPOTENCY_KEY_REQUIRED,
            "this call is not repeatable and requires an Idempotency-Key",
            step=STEP,
        )
    raw = await bounded_body.read(
        http,
        target.max_body_bytes,
        exchange.state.conf.router.body_timeout_s,
        group=exchange.room_group(f"services/{target.name}"),
    )
    full_path = http.raw_path.split("/", 3)[3:]
    return ServiceCall(
        target,
        may_repeat,
        http.method,
        "/" + (full_path[0] if full_path else ""),
        key,
        raw,
    )


def choose_instance(
    exchange: exchanges.Exchange,
    call: ServiceCall,
    tried: frozenset[str],
    ran: errors.Ran,
) -> model.Upstream:
    """Return the untried instance of the service with the fewest calls."""
    state = exchange.state
    now_s = state.now_s()
    instances = [
        upstream
        for upstream in exchange.document.upstreams
        if upstream.kind == model.SERVICE
        and upstream.pool == call.service.name
    ]
    untried = [each for each in instances if each.name not in tried]
    usable = list(state.usable_upstreams(untried, now_s))
    if not usable:
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM,
            "no instance of the service is available",
            step=STEP,
            peer=call.service.name,
            ran=ran,
            retry_after_s=state.retry_after_s(instances, NO_UPSTREAM_RETRY_S),
        )
    state.rng.shuffle(usable)
    return min(
        usable,
        key=lambda upstream: state.in_flight.request_count(upstream.name),
    )


@contextlib.asynccontextmanager
async def open_call(
    exchange: exchanges.Exchange,
    upstream: model.Upstream,
    call: ServiceCall,
) -> AsyncIterator[service.ServiceAnswer]:
    """Send the call to one instance and yield its open response.

    Raises
    ------
    UpstreamFailure
        No response was received.
    """
    state = exchange.state
    forwarded = service.forwarded_headers(exchange.http.headers)
    forwarded[headers.REQUEST_ID] = exchange.request_id
    entry = in_flight.InFlightRequest("", 0)
    with state.in_flight.track(upstream.name, entry):
        async with state.services.call(
            upstream,
            call.method,
            call.path,
            headers=forwarded,
            body=call.body,
            timeout_s=call.service.timeout_s,
        ) as response:
            yield response


async def relay_call(
    exchange: exchanges.Exchange,
    upstream: model.Upstream,
    call: ServiceCall,
) -> web.StreamResponse:
    """Send the call to one instance and stream back its response.

    Raises
    ------
    UpstreamFailure
        Nothing has been sent to the caller.
    RudderError
        ``stream_broken``; the connection to the caller is closed, which
        is the only way in HTTP to mark a body as incomplete.
    """
    async with open_call(exchange, upstream, call) as answer:
        return await _relay_response(exchange, upstream.name, answer)


async def _relay_response(
    exchange: exchanges.Exchange,
    peer: str,
    answer: service.ServiceAnswer,
    already_read: bytes = b"",
) -> web.StreamResponse:
    response = web.StreamResponse(
        status=answer.status,
        headers=service.forwarded_headers(answer.headers),
    )
    response.headers[headers.REQUEST_ID] = exchange.request_id
    if answer.content_length is not None:
        response.content_length = answer.content_length
    await response.prepare(exchange.http)

    async def write(chunk: bytes) -> None:
        await sinks.await_write(
            exchange.http,
            response.write(chunk),
            exchange.state.conf.router.write_timeout_s,
        )

    try:
        if already_read:
            await write(already_read)
        async for chunk in answer.pieces():
            await write(chunk)
    except sinks.CallerGone:
        raise
    except Exception:
        metrics.count_refusal(errors.Code.STREAM_BROKEN.value, STEP)
        if exchange.http.transport is not None:
            exchange.http.transport.abort()
        raise sinks.CallerGone(f"{peer} cut off its response") from None
    await response.write_eof()
    return response


async def call_service(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Make a call to a service and return its response."""
    call = await read_call(exchange)
    if not call.repeatable:
        return await _call_at_most_once(exchange, call)

    async def send(upstream: model.Upstream) -> web.StreamResponse:
        return await relay_call(exchange, upstream, call)

    return await _send_with_retries(exchange, call, send)


async def _call_at_most_once(
    exchange: exchanges.Exchange, call: ServiceCall
) -> web.StreamResponse:
    async def send(claim: claims.Claim) -> deduplicate.Answer:
        async def send_to(upstream: model.Upstream) -> deduplicate.Answer:
            return await _send_claimed(exchange, upstream, call, claim)

        return await _send_with_retries(exchange, call, send_to)

    outcome = await deduplicate.run_once(
        exchange,
        call.idempotency_key,
        deduplicate.call_digest(call.method, call.path, call.body),
        send,
    )
    if isinstance(outcome, claims.Result):
        return deduplicate.response_from_result(
            exchange, outcome, is_replay=True
        )
    async with outcome.resources:
        if outcome.unread is None:
            return deduplicate.response_from_result(
                exchange, outcome.result, is_replay=False
            )
        return await _relay_response(
            exchange, outcome.upstream, outcome.unread, outcome.result.body
        )


async def _send_claimed(
    exchange: exchanges.Exchange,
    upstream: model.Upstream,
    call: ServiceCall,
    claim: claims.Claim,
) -> deduplicate.Answer:
    claim.check(clock.now_s())
    async with contextlib.AsyncExitStack() as stack:
        try:
            response = await stack.enter_async_context(
                open_call(exchange, upstream, call)
            )
        except failures.UpstreamFailure as failure:
            if failure.kind in failures.PROVES_NOT_RUN:
                claim.mark_not_dispatched()
            raise
        answer = await deduplicate.read_answer(response)
        answer.resources = stack.pop_all()
        return answer


async def _send_with_retries(
    exchange: exchanges.Exchange,
    call: ServiceCall,
    send: Callable[[model.Upstream], Awaitable[Any]],
) -> Any:
    """Send to one instance after another while a retry is safe."""
    state = exchange.state
    state.budget(call.service.name).record_request(state.now_s())
    tried: set[str] = set()
    ran = errors.Ran.NOT_RUN
    while True:
        upstream = choose_instance(exchange, call, frozenset(tried), ran)
        tried.add(upstream.name)
        try:
            return await send(upstream)
        except failures.UpstreamFailure as failure:
            state.record_failure(failure)
            # Once a try may have run the call, "not run" is wrong even if
            # later tries provably did not run it.
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
    not_run = failure.kind in failures.PROVES_NOT_RUN
    is_safe = not_run or call.repeatable
    if is_safe and state.budget(call.service.name).try_spend(state.now_s()):
        return
    raise errors.RudderError(
        errors.Code.UPSTREAM_NOT_REACHED
        if not_run
        else errors.Code.UPSTREAM_FAILED,
        "the service did not respond",
        step=STEP,
        peer=failure.upstream,
        ran=ran,
        retry_after_s=NO_UPSTREAM_RETRY_S,
    ) from failure
