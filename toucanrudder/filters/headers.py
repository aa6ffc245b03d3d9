"""Reads the request's headers strictly."""

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


def _bad(name: str, why: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.BAD_HEADER, f"{name} {why}", step=STEP
    )


def single(request: web.Request, name: str) -> str | None:
    """Return the header's value, or None when it is absent.

    Raises
    ------
    RudderError
        ``bad_header``: sent twice, empty, too long, or with characters
        that may not stand in a log line or in another header.
    """
    values = request.headers.getall(name, [])
    if not values:
        return None
    # Two keys in one request would let two parties each see "their" key.
    if len(values) > 1:
        raise _bad(name, "is given more than once")
    value = values[0]
    if not 0 < len(value) <= MAX_VALUE_CHARACTERS:
        raise _bad(name, f"must have 1 to {MAX_VALUE_CHARACTERS} characters")
    if not _PRINTABLE.issuperset(value):
        raise _bad(name, "has characters that are not allowed")
    return value


def bearer(request: web.Request) -> str:
    """Return the API key; the empty string when there is none."""
    values = request.headers.getall(AUTHORIZATION, [])
    if len(values) > 1:
        raise _bad(AUTHORIZATION, "is given more than once")
    scheme, _, key = (values[0] if values else "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def priority(request: web.Request, default: str) -> messages.Priority:
    """Return the priority class that the request asks for."""
    label = single(request, PRIORITY) or default
    try:
        return messages.Priority[label.upper()]
    except KeyError:
        known = ", ".join(p.label for p in messages.Priority)
        raise _bad(PRIORITY, f"must be one of {known}") from None


def deadline_s(request: web.Request, default_s: float) -> float:
    """Return the seconds that the caller waits for the first token."""
    value = single(request, DEADLINE_S)
    if value is None:
        return default_s
    try:
        seconds = float(value)
    except ValueError:
        raise _bad(DEADLINE_S, "must be a number of seconds") from None
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise _bad(DEADLINE_S, f"must be above 0, at most {MAX_DEADLINE_S}")
    return seconds


def event_number(request: web.Request) -> int:
    """Return the number of the last event that the caller has."""
    value = single(request, LAST_EVENT_ID) or "0"
    if not value.isdigit() or len(value) > 18:
        raise _bad(LAST_EVENT_ID, "must be a whole number")
    return int(value)
