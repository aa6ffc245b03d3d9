"""HTTP application that serves the callers."""

from collections.abc import Awaitable
from collections.abc import Callable
import uuid

from aiohttp import web

from toucanrudder import errors
from toucanrudder import filters
from toucanrudder.filters import admit
from toucanrudder.filters import body
from toucanrudder.filters import chain
from toucanrudder.filters import connections
from toucanrudder.filters import dispatch
from toucanrudder.filters import guard
from toucanrudder.filters import headers
from toucanrudder.filters import identify
from toucanrudder.filters import models
from toucanrudder.filters import quarantine
from toucanrudder.filters import rate_limit
from toucanrudder.filters import resume
from toucanrudder.filters import service
from toucanrudder.filters import stop
from toucanrudder.router import state as states

#: Default bounds of aiohttp on the head of a request.
MAX_LINE_BYTES = 8190
MAX_FIELD_BYTES = 8190

MODEL_FILTERS = (
    guard.guard,
    stop.end_with_the_router,
    identify.identify,
    body.read_body,
    body.parse,
    rate_limit.check_rate_limit,
    quarantine.quarantine,
    admit.admit,
)
PLAIN_FILTERS = (guard.guard, identify.identify)
SERVICE_FILTERS = (
    guard.guard,
    stop.end_with_the_router,
    identify.identify,
    rate_limit.check_rate_limit,
)


def _handler(
    state: states.RouterState, handle: chain.Handler
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    async def handler(request: web.Request) -> web.StreamResponse:
        try:
            request_id = headers.single_value(request, headers.REQUEST_ID)
        except errors.RudderError as error:
            return guard.error_response(error, "")
        exchange = filters.Exchange(
            http=request,
            state=state,
            request_id=request_id or uuid.uuid4().hex,
            arrived_s=state.now_s(),
        )
        response = await handle(exchange)
        if state.stopping and not response.prepared:
            # The caller then opens its next connection to a router that is
            # not stopping.
            response.force_close()
        return response

    return handler


def build(state: states.RouterState) -> web.Application:
    """Return the application that serves the callers.

    Parameters
    ----------
    state : states.RouterState
        Shared by all filters.
    """

    def handler(request_filters, last):
        return _handler(state, chain.compose(request_filters, last))

    async def healthy(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(request: web.Request) -> web.Response:
        if not state.is_ready(state.now_s()):
            return web.Response(status=503, text="not ready\n")
        return web.Response(text="ok\n")

    # The filters read the bodies and enforce their size limits.
    app = web.Application(
        client_max_size=0, middlewares=[connections.track_request]
    )
    app.on_response_prepare.append(stop.keep_begun_answer)
    run_model = handler(MODEL_FILTERS, dispatch.dispatch)
    app.router.add_post("/v1/chat/completions", run_model)
    app.router.add_post("/v1/completions", run_model)
    app.router.add_get(
        "/v1/models", handler(PLAIN_FILTERS, models.list_models)
    )
    app.router.add_get(
        "/v1/streams/{token}", handler(PLAIN_FILTERS, resume.resume)
    )
    app.router.add_route(
        "*",
        "/services/{name}/{rest:.*}",
        handler(SERVICE_FILTERS, service.call_service),
    )
    app.router.add_get("/healthz", healthy)
    app.router.add_get("/readyz", ready)
    return app
