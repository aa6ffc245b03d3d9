"""Request handlers of the admin API, one per operation."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Sequence
import json

from aiohttp import web
import attrs

from toucanrudder import errors
from toucanrudder.admin import audit
from toucanrudder.admin import changes
from toucanrudder.admin import middleware
from toucanrudder.admin import status
from toucanrudder.document import difference
from toucanrudder.document import model
from toucanrudder.document import schema
from toucanrudder.document import serialisation
from toucanrudder.document import validation
from toucanrudder.filters import body_size
from toucanrudder.filters import bounded_body

# Twice the store's value size limit, so that validation, rather than the
# reading of the body, rejects an oversized document and reports the reason.
MAX_BODY_BYTES = 2 * 1024 * 1024

#: Seconds within which an operator must send a whole body.
BODY_TIMEOUT_S = 20.0

MAX_AUTHOR_CHARS = 128
STORE_TIMEOUT_S = 2.0


def _author(request: web.Request) -> str:
    name = request.headers.get("X-Operator", "")
    if not name:
        return f"address {request.remote}"
    if len(name) > MAX_AUTHOR_CHARS or not name.isprintable():
        raise errors.RudderError(
            errors.Code.BAD_HEADER,
            f"X-Operator must be at most {MAX_AUTHOR_CHARS} printable "
            "characters",
            step=middleware.STEP,
        )
    return name


async def _json_object(request: web.Request) -> dict:
    try:
        data = json.loads(
            await bounded_body.read(
                request,
                MAX_BODY_BYTES,
                BODY_TIMEOUT_S,
                need_of=body_size.need_of_json,
            )
        )
    except ValueError as error:
        raise errors.RudderError(
            errors.Code.MALFORMED_JSON, str(error), step=middleware.STEP
        ) from error
    if not isinstance(data, dict):
        raise errors.RudderError(
            errors.Code.INVALID_REQUEST,
            "the body must be a JSON object",
            step=middleware.STEP,
        )
    return data


def _require_current(request: web.Request) -> model.Accepted:
    accepted = request.app[middleware.STATE].current()
    if accepted is None:
        raise errors.RudderError(
            errors.Code.NOT_CONFIGURED,
            "no configuration has been accepted yet",
            step=middleware.STEP,
            retry_after_s=1.0,
        )
    return accepted


def _current_generation(request: web.Request) -> int:
    accepted = request.app[middleware.STATE].current()
    return accepted.generation if accepted else 0


async def healthz(request: web.Request) -> web.Response:
    """Report that the process is running."""
    return web.json_response({"ok": True})


async def get_schema(request: web.Request) -> web.Response:
    """Return the JSON Schema of the configuration document."""
    return web.json_response(schema.SCHEMA)


async def get_configuration(request: web.Request) -> web.Response:
    """Return the configuration document in force and its generation."""
    accepted = _require_current(request)
    return web.json_response(serialisation.accepted_to_json(accepted))


async def validate(request: web.Request) -> web.Response:
    """Validate a document and list every problem with its JSON path."""
    data = await _json_object(request)
    try:
        validation.parse(data)
    except validation.DocumentInvalid as error:
        problems = [attrs.asdict(problem) for problem in error.problems]
        return web.json_response({"valid": False, "problems": problems})
    return web.json_response({"valid": True, "problems": []})


async def diff(request: web.Request) -> web.Response:
    """Compare a document with the one in force."""
    proposed = validation.parse(await _json_object(request))
    accepted = request.app[middleware.STATE].current()
    old = accepted.document if accepted else model.Document()
    return web.json_response(
        {
            "generation": _current_generation(request),
            "changes": [
                attrs.asdict(change)
                for change in difference.compare(old, proposed)
            ],
        }
    )


async def apply(request: web.Request) -> web.Response:
    """Apply a document if the expected generation is still in force."""
    data = await _json_object(request)
    expected = data.get("expected_generation")
    document = data.get("document")
    if type(expected) is not int or not isinstance(document, dict):
        raise errors.RudderError(
            errors.Code.INVALID_REQUEST,
            "expected_generation (integer) and document (object) are required",
            step=middleware.STEP,
        )
    author = _author(request)
    providers = request.app[middleware.STATE]
    with changes.audited_change(providers, author, "apply"):
        accepted = await providers.apply(document, expected, author)
    return web.json_response(
        {
            "generation": accepted.generation,
            "apply_id": accepted.apply_id,
            "author": accepted.author,
        }
    )


async def _set_drained(request: web.Request, drained: bool) -> web.Response:
    name = request.match_info["name"]
    author = _author(request)
    _require_current(request)
    providers = request.app[middleware.STATE]
    change = f"{'drain' if drained else 'undrain'} {name}"
    with changes.audited_change(providers, author, change):
        accepted = await changes.set_drained(providers, name, drained, author)
    return web.json_response(
        {
            "upstream": name,
            "drained": drained,
            "generation": accepted.generation,
        }
    )


async def drain(request: web.Request) -> web.Response:
    """Mark an upstream as drained."""
    return await _set_drained(request, True)


async def undrain(request: web.Request) -> web.Response:
    """Remove the drained mark of an upstream."""
    return await _set_drained(request, False)


async def release(request: web.Request) -> web.Response:
    """Release a request from quarantine."""
    fingerprint = request.match_info["fingerprint"]
    author = _author(request)
    providers = request.app[middleware.STATE]
    if not await providers.release(fingerprint):
        raise errors.RudderError(
            errors.Code.NOT_FOUND,
            "no such quarantined request",
            step=middleware.STEP,
        )
    audit.log_change(
        author, f"release {fingerprint}", _current_generation(request), "done"
    )
    return web.json_response({"released": fingerprint})


async def _read_or_none(read: Awaitable[Sequence]) -> tuple | None:
    # During a store outage, when operators need the status page most, the
    # rest of it must still be returned promptly.
    try:
        async with asyncio.timeout(STORE_TIMEOUT_S):
            return tuple(await read)
    except (errors.RudderError, TimeoutError):
        return None


async def get_status(request: web.Request) -> web.Response:
    """Return this router's view of the fleet."""
    providers = request.app[middleware.STATE]
    leases, claims = await asyncio.gather(
        _read_or_none(providers.leases()),
        _read_or_none(providers.unknown_claims()),
    )
    stored = {"leases": leases, "unknown_claims": claims}
    page = status.Status(
        router=providers.router,
        generation=_current_generation(request),
        routers=tuple(providers.routers()),
        upstreams=tuple(providers.upstreams()),
        leases=leases or (),
        quarantined=tuple(providers.quarantined()),
        unknown_claims=claims or (),
        unavailable=tuple(
            name for name, values in stored.items() if values is None
        ),
    )
    return web.json_response(attrs.asdict(page))


async def get_metrics(request: web.Request) -> web.Response:
    """Return the metrics in the Prometheus text format."""
    page = request.app[middleware.STATE].metrics_page()
    return web.Response(
        body=page, headers={"Content-Type": "text/plain; version=0.0.4"}
    )
