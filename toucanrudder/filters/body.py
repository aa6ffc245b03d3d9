"""Reads a bounded body in bounded time, and parses a model request."""

import asyncio
import hashlib
import json

from aiohttp import web

from toucanrudder import errors
from toucanrudder import messages
from toucanrudder.document import model
from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.prefix import identity

STEP = "body"


def _refusal(code: errors.Code, message: str) -> errors.RudderError:
    return errors.RudderError(code, message, step=STEP)


async def read(
    request: web.Request, max_bytes: int, timeout_s: float
) -> bytes:
    """Return the whole body.

    Raises
    ------
    RudderError
        ``body_too_large`` or ``body_too_slow``.
    """
    too_large = _refusal(
        errors.Code.BODY_TOO_LARGE, f"body exceeds {max_bytes} bytes"
    )
    if (request.content_length or 0) > max_bytes:
        raise too_large
    parts = bytearray()
    try:
        # One deadline for the whole body: a caller that sends a byte a
        # second would pass any limit on the pauses between bytes.
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                parts += chunk
                if len(parts) > max_bytes:
                    raise too_large
    except TimeoutError:
        raise _refusal(
            errors.Code.BODY_TOO_SLOW, f"body not sent within {timeout_s} s"
        ) from None
    return bytes(parts)


async def read_body(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Read the body of a model request."""
    exchange.raw = await read(
        exchange.http,
        exchange.document.policy.max_body_bytes,
        exchange.state.conf.router.body_timeout_s,
    )
    return await call_next(exchange)


def _decoded(raw: bytes) -> dict:
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError):
        raise _refusal(
            errors.Code.MALFORMED_JSON, "body is not valid JSON"
        ) from None
    if not isinstance(body, dict):
        raise _refusal(
            errors.Code.INVALID_REQUEST, "body must be a JSON object"
        )
    return body


def _check_types(body: dict, path: str) -> None:
    checks = [
        ("model", isinstance(body.get("model"), str), "a string"),
        (
            "stream",
            isinstance(body.get("stream", False), bool | None),
            "true or false",
        ),
        (
            "max_tokens",
            _positive_or_absent(body.get("max_tokens")),
            "a positive whole number",
        ),
        ("n", _positive_or_absent(body.get("n")), "a positive whole number"),
    ]
    if path.endswith("/chat/completions"):
        checks.append(
            ("messages", _messages_ok(body.get("messages")), "messages")
        )
    else:
        checks.append(("prompt", _prompt_ok(body.get("prompt")), "a string"))
    for name, good, wanted in checks:
        if not good:
            raise _refusal(
                errors.Code.INVALID_REQUEST, f"{name} must be {wanted}"
            )
    if "continue_from" in body:
        raise _refusal(
            errors.Code.INVALID_REQUEST, "continue_from is not for callers"
        )


def _positive_or_absent(value) -> bool:
    if value is None:
        return True
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _messages_ok(value) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(
            isinstance(message, dict)
            and isinstance(message.get("role"), str)
            and isinstance(message.get("content"), str | list | None)
            for message in value
        )
    )


def _prompt_ok(value) -> bool:
    return isinstance(value, str)


def model_of(
    name: str, organisation: model.Organisation, document: model.Document
) -> model.Model:
    """Return the model of this name if the organisation may use it."""
    allowed = not organisation.models or name in organisation.models
    for candidate in document.models:
        if allowed and candidate.name == name:
            return candidate
    raise _refusal(errors.Code.UNKNOWN_MODEL, f"no model {name[:64]!r}")


async def parse(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Check the body and set the model request."""
    body = _decoded(exchange.raw)
    path = exchange.http.path
    _check_types(body, path)
    document = exchange.document
    organisation = exchange.organisation
    chosen = model_of(body["model"], organisation, document)
    text = identity.canonical_text(path, body)
    wait_s = headers.deadline_s(
        exchange.http, document.policy.first_token_deadline_s
    )
    exchange.request = messages.ModelRequest(
        request_id=exchange.request_id,
        organisation=organisation.name,
        priority=exchange.priority,
        path=path,
        model=chosen.name,
        stream=bool(body.get("stream")),
        prompt_tokens=identity.estimate_prompt_tokens(text),
        prefix_keys=identity.block_keys(
            exchange.state.salt(organisation.name),
            chosen.name,
            chosen.adapter,
            chosen.weights_version,
            text,
        ),
        body=body,
        body_sha256=hashlib.sha256(exchange.raw).hexdigest(),
        first_token_by_s=exchange.arrived_s + wait_s,
    )
    return await call_next(exchange)
