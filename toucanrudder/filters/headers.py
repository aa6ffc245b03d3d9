"""Strict parsing of request headers."""

import string

from aiohttp import web

from toucanrudder import errors
from toucanrudder import messages

AUTHORIZATION = "Authorization"
PRIORITY = "X-Priority"
IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_S = "X-Deadline-S"
REQUEST_ID = "X-Request-Id"
LAST_EVENT_ID = "Last-Event-ID"

MAX_VALUE_CHARACTERS = 128
MAX_DEADLINE_S = 3600.0
_PRINTABLE = frozenset(
    string.digits + string.ascii_letters + "!#$%&'*+-./:=?@^_`|~"
)

STEP = "headers"


def _header_error(name: str, problem: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.BAD_HEADER, f"{name} {problem}", step=STEP
    )


def single_value(request: web.Request, name: str) -> str | None:
    """Return the header's value, or None when it is absent.

    Raises
    ------
    RudderError
        ``bad_header``: sent more than once, empty, too long, or with
        characters that are unsafe in a log line or another header.
    """
    values = request.headers.getall(name, [])
    if not values:
        return None
    # With two values, two components could each use a different one.
    if len(values) > 1:
        raise _header_error(name, "is given more than once")
    value = values[0]
    if not 0 < len(value) <= MAX_VALUE_CHARACTERS:
        raise _header_error(
            name, f"must have 1 to {MAX_VALUE_CHARACTERS} characters"
        )
    if not _PRINTABLE.issuperset(value):
        raise _header_error(name, "has characters that are not allowed")
    return value


def bearer_token(request: web.Request) -> str:
    """Return the API key, or an empty string if there is none."""
    values = request.headers.getall(AUTHORIZATION, [])
    if len(values) > 1:
        raise _header_error(AUTHORIZATION, "is given more than once")
    scheme, _, key = (values[0] if values else "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def priority(request: web.Request, default: str) -> messages.Priority:
    """Return the requested priority class."""
    label = single_value(request, PRIORITY) or default
    try:
        return messages.Priority[label.upper()]
    except KeyError:
        allowed = ", ".join(p.label for p in messages.Priority)
        raise _header_error(PRIORITY, f"must be one of {allowed}") from None


def deadline_s(request: web.Request, default_s: float) -> float:
    """Return how long the caller waits for the first token, in seconds."""
    value = single_value(request, DEADLINE_S)
    if value is None:
        return default_s
    try:
        seconds = float(value)
    except ValueError:
        raise _header_error(
            DEADLINE_S, "must be a number of seconds"
        ) from None
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise _header_error(
            DEADLINE_S, f"must be above 0, at most {MAX_DEADLINE_S}"
        )
    return seconds


def last_event_number(request: web.Request) -> int:
    """Return the number of the last event that the caller received."""
    value = single_value(request, LAST_EVENT_ID) or "0"
    if not value.isdigit() or len(value) > 18:
        raise _header_error(LAST_EVENT_ID, "must be a whole number")
    return int(value)
