"""Assembly of the admin API's aiohttp application."""

from aiohttp import web

from toucanrudder.admin import handlers
from toucanrudder.admin import middleware
from toucanrudder.admin import openapi
from toucanrudder.admin import operations
from toucanrudder.admin import state
from toucanrudder.filters import connections


async def _openapi(request: web.Request) -> web.Response:
    return web.json_response(openapi.document())


def build(providers: state.State) -> web.Application:
    """Return the aiohttp application of the admin API.

    Parameters
    ----------
    providers : state.State
        Callables of the serving daemon.
    """
    application = web.Application(
        middlewares=[
            connections.track_request,
            middleware.handle_errors,
            middleware.authenticate,
        ],
        client_max_size=handlers.MAX_BODY_BYTES,
    )
    application[middleware.STATE] = providers
    for operation in operations.OPERATIONS:
        application.router.add_route(
            operation.method, operation.path, operation.handler
        )
    application.router.add_get("/openapi.json", _openapi)
    return application
