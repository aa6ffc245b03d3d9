"""The table of calls, from which routes and OpenAPI are made."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import attrs

from toucanrudder.admin import handlers
from toucanrudder.admin import schemas
from toucanrudder.errors import codes

_CHANGE = (
    codes.Code.NOT_CONFIGURED,
    codes.Code.CONFIG_INVALID,
    codes.Code.CONFIG_CONFLICT,
    codes.Code.STORE_UNAVAILABLE,
    codes.Code.OUTCOME_UNKNOWN,
)
_BODY = (
    codes.Code.MALFORMED_JSON,
    codes.Code.INVALID_REQUEST,
    codes.Code.BODY_TOO_LARGE,
)


@attrs.frozen
class Operation:
    """A call of the admin API.

    Parameters
    ----------
    method, path : str
        As in the route; path parameters in braces.
    handler : callable
        Coroutine function that answers.
    answer : dict
        JSON Schema of a 200 answer, or empty for plain text.
    body : dict
        JSON Schema of the request body, or empty.
    failures : tuple of codes.Code
        Errors beside ``unauthorized`` and ``internal``.
    """

    method: str
    path: str
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    answer: dict = attrs.field(factory=dict)
    body: dict = attrs.field(factory=dict)
    failures: tuple[codes.Code, ...] = ()


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
        failures=(codes.Code.NOT_CONFIGURED,),
    ),
    Operation(
        "POST",
        "/validate",
        handlers.validate,
        schemas.VALIDATED,
        schemas.DOCUMENT,
        _BODY,
    ),
    Operation(
        "POST",
        "/diff",
        handlers.diff,
        schemas.DIFFERENCE,
        schemas.DOCUMENT,
        (*_BODY, codes.Code.CONFIG_INVALID),
    ),
    Operation(
        "POST",
        "/apply",
        handlers.apply,
        schemas.APPLIED,
        schemas.APPLY,
        (*_BODY, codes.Code.BAD_HEADER, *_CHANGE),
    ),
    Operation(
        "POST",
        "/upstreams/{name}/drain",
        handlers.drain,
        schemas.DRAINED,
        failures=(codes.Code.NOT_FOUND, codes.Code.BAD_HEADER, *_CHANGE),
    ),
    Operation(
        "POST",
        "/upstreams/{name}/undrain",
        handlers.undrain,
        schemas.DRAINED,
        failures=(codes.Code.NOT_FOUND, codes.Code.BAD_HEADER, *_CHANGE),
    ),
    Operation(
        "DELETE",
        "/quarantine/{fingerprint}",
        handlers.release,
        schemas.RELEASED,
        failures=(codes.Code.NOT_FOUND, codes.Code.BAD_HEADER),
    ),
)
