"""Table of operations that the routes and the OpenAPI document come from."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import attrs

from toucanrudder.admin import handlers
from toucanrudder.admin import schemas
from toucanrudder.errors import codes

_CHANGE_ERRORS = (
    codes.Code.NOT_CONFIGURED,
    codes.Code.CONFIG_INVALID,
    codes.Code.CONFIG_CONFLICT,
    codes.Code.STORE_UNAVAILABLE,
    codes.Code.OUTCOME_UNKNOWN,
)
_BODY_ERRORS = (
    codes.Code.MALFORMED_JSON,
    codes.Code.INVALID_REQUEST,
    codes.Code.BODY_TOO_LARGE,
)


@attrs.frozen
class Operation:
    """An operation of the admin API.

    Parameters
    ----------
    method, path : str
        As in the route, with path parameters in braces.
    handler : callable
        Coroutine function that handles the request.
    response_schema : dict
        JSON Schema of a 200 response, or empty for plain text.
    body_schema : dict
        JSON Schema of the request body, or empty.
    error_codes : tuple of codes.Code
        Possible errors other than ``unauthorized`` and ``internal``.
    """

    method: str
    path: str
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    response_schema: dict = attrs.field(factory=dict)
    body_schema: dict = attrs.field(factory=dict)
    error_codes: tuple[codes.Code, ...] = ()


OPERATIONS = (
    Operation("GET", "/healthz", handlers.healthz, schemas.HEALTH),
    Operation("GET", "/metrics", handlers.get_metrics),
    Operation("GET", "/schema", handlers.get_schema, schemas.ANY_OBJECT),
    Operation("GET", "/status", handlers.get_status, schemas.STATUS),
    Operation(
        "GET",
        "/configuration",
        handlers.get_configuration,
        schemas.ACCEPTED,
        error_codes=(codes.Code.NOT_CONFIGURED,),
    ),
    Operation(
        "POST",
        "/validate",
        handlers.validate,
        schemas.VALIDATION_RESULT,
        schemas.DOCUMENT,
        _BODY_ERRORS,
    ),
    Operation(
        "POST",
        "/diff",
        handlers.diff,
        schemas.DIFF_RESULT,
        schemas.DOCUMENT,
        (*_BODY_ERRORS, codes.Code.CONFIG_INVALID),
    ),
    Operation(
        "POST",
        "/apply",
        handlers.apply,
        schemas.APPLY_RESULT,
        schemas.APPLY_REQUEST,
        (*_BODY_ERRORS, codes.Code.BAD_HEADER, *_CHANGE_ERRORS),
    ),
    Operation(
        "POST",
        "/upstreams/{name}/drain",
        handlers.drain,
        schemas.DRAIN_RESULT,
        error_codes=(
            codes.Code.NOT_FOUND,
            codes.Code.BAD_HEADER,
            *_CHANGE_ERRORS,
        ),
    ),
    Operation(
        "POST",
        "/upstreams/{name}/undrain",
        handlers.undrain,
        schemas.DRAIN_RESULT,
        error_codes=(
            codes.Code.NOT_FOUND,
            codes.Code.BAD_HEADER,
            *_CHANGE_ERRORS,
        ),
    ),
    Operation(
        "DELETE",
        "/quarantine/{fingerprint}",
        handlers.release,
        schemas.RELEASE_RESULT,
        error_codes=(codes.Code.NOT_FOUND, codes.Code.BAD_HEADER),
    ),
)
