"""Puts the admin API together."""

from aiohttp import web

from toucanrudder.admin import middleware
from toucanrudder.admin import openapi
from toucanrudder.admin import operations
from toucanrudder.admin import state

# Twice the store's limit of a value, so that a document that is too large
# is refused by validation, with a message that says so.
MAX_BODY_BYTES = 2 * 1024 * 1024


async def _openapi(request: web.Request) -> web.Response:
    return web.json_response(openapi.document())


def build(known: state.State) -> web.Application:
    """Return the aiohttp application of the admin API.

    Parameters
    ----------
    known : state.State
        Providers of the daemon that serves it.
    """
    application = web.Application(
        middlewares=[middleware.answer_errors, middleware.authenticate],
        client_max_size=MAX_BODY_BYTES,
    )
    application[middleware.STATE] = known
    for operation in operations.OPERATIONS:
        application.router.add_route(
            operation.method, operation.path, operation.handler
        )
    application.router.add_get("/openapi.json", _openapi)
    return application
