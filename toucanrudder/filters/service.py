"""Plain services: which one, which route, and the call itself."""

from aiohttp import web
import attrs

from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.filters import body as bodies
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
        if route.method in ("*", method) and path.startswith(
            route.path_prefix
        ):
            return route.repeatable
    return method in _SAFE_METHODS


async def read_call(exchange: exchanges.Exchange) -> ServiceCall:
    """Read and check the caller's request."""
    http = exchange.http
    found = find(exchange.document, http.match_info["name"])
    path = "/" + http.match_info["rest"]
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
    exchange: exchanges.Exchange, call: ServiceCall, tried: frozenset[str]
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
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )
    state.rng.shuffle(usable)
    return min(usable, key=lambda each: state.in_flight.requests(each.name))


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
    state = exchange.state
    passed = service.passed_headers(exchange.http.headers)
    passed[headers.REQUEST_ID] = exchange.request_id
    entry = in_flight.Entry("", 0)
    with state.in_flight.entry(upstream.name, entry):
        async with state.services.call(
            upstream,
            call.method,
            call.path,
            headers=passed,
            body=call.body,
            timeout_s=call.service.timeout_s,
        ) as answer:
            return await _pass_on(exchange, upstream, answer)


async def _pass_on(exchange, upstream, answer) -> web.StreamResponse:
    response = web.StreamResponse(
        status=answer.status,
        reason=answer.reason,
        headers=service.passed_headers(answer.headers),
    )
    response.headers[headers.REQUEST_ID] = exchange.request_id
    if answer.content_length is not None:
        response.content_length = answer.content_length
    await response.prepare(exchange.http)
    try:
        async for chunk in answer.content.iter_any():
            await sinks.guarded(
                exchange.http,
                response.write(chunk),
                exchange.state.conf.router.write_timeout_s,
            )
    except sinks.CallerGone:
        raise
    except Exception:
        metrics.refused(errors.Code.STREAM_BROKEN.value, STEP)
        if exchange.http.transport is not None:
            exchange.http.transport.abort()
        raise sinks.CallerGone(f"{upstream.name} broke off") from None
    await response.write_eof()
    return response


async def call_service(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Answer a call to a service whose calls may be repeated."""
    call = await read_call(exchange)
    tried: set[str] = set()
    while True:
        upstream = choose(exchange, call, frozenset(tried))
        tried.add(upstream.name)
        try:
            return await relay(exchange, upstream, call)
        except failures.UpstreamFailure as failure:
            exchange.state.unreachable(failure)
            _check_may_retry(exchange, call, failure, upstream)
            metrics.retried(failure.kind.value)


def _check_may_retry(exchange, call, failure, upstream) -> None:
    state = exchange.state
    proved = failure.kind in failures.PROVES_NOT_RUN
    safe = proved or call.repeatable
    if safe and state.budget(upstream.pool).spend(state.now_s()):
        return
    raise errors.RudderError(
        errors.Code.UPSTREAM_NOT_REACHED
        if proved
        else errors.Code.UPSTREAM_FAILED,
        "the service gave no answer",
        step=STEP,
        peer=upstream.name,
        ran=failure.ran,
        retry_after_s=NO_UPSTREAM_RETRY_S,
    ) from failure
