"""Middlewares for operator authentication and JSON error responses."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
import logging

from aiohttp import web

from toucanrudder import errors
from toucanrudder.admin import state

STEP = "admin"
STATE = web.AppKey("state", state.State)
PUBLIC = frozenset({"/healthz", "/metrics", "/openapi.json", "/schema"})

LOG = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _authorised(request: web.Request, token: str) -> bool:
    scheme, _, credentials = request.headers.get(
        "Authorization", ""
    ).partition(" ")
    # Constant-time comparison, so that response times do not reveal how
    # many leading characters of the token are right.
    matches = hmac.compare_digest(credentials.encode(), token.encode())
    return bool(token) and scheme.lower() == "bearer" and matches


def error_response(error: errors.RudderError) -> web.Response:
    """Return the error as a JSON response.

    For an invalid document, `as_body` includes the list of problems.
    """
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    return web.json_response(
        error.as_body(), status=error.status, headers=headers
    )


def _from_http_exception(error: web.HTTPException) -> errors.RudderError:
    code = errors.Code.INVALID_REQUEST
    if isinstance(error, web.HTTPNotFound):
        code = errors.Code.NOT_FOUND
    elif isinstance(error, web.HTTPRequestEntityTooLarge):
        code = errors.Code.BODY_TOO_LARGE
    return errors.RudderError(code, str(error.reason), step=STEP)


@web.middleware
async def handle_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Convert every exception to a JSON response with an error code."""
    try:
        return await handler(request)
    except errors.RudderError as error:
        return error_response(error)
    except web.HTTPException as error:
        return error_response(_from_http_exception(error))
    except Exception:
        LOG.exception("unhandled exception in an admin request")
        return error_response(
            errors.RudderError(
                errors.Code.INTERNAL, "see the router's log", step=STEP
            )
        )


@web.middleware
async def authenticate(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Reject requests without the token, except for public pages."""
    providers = request.app[STATE]
    if request.path not in PUBLIC and not _authorised(
        request, providers.token
    ):
        raise errors.RudderError(
            errors.Code.UNAUTHORIZED, "wrong or missing token", step=STEP
        )
    return await handler(request)
