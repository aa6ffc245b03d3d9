"""Filters that read a request body and parse it."""

import hashlib
import json

from aiohttp import web

from toucanrudder import errors
from toucanrudder import messages
from toucanrudder.document import model
from toucanrudder.filters import body_size
from toucanrudder.filters import bounded_body
from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges
from toucanrudder.filters import headers
from toucanrudder.prefix import identity

STEP = "body"


def _body_error(code: errors.Code, message: str) -> errors.RudderError:
    return errors.RudderError(code, message, step=STEP)


async def read_body(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Read the body of a model request."""
    exchange.raw = await bounded_body.read(
        exchange.http,
        exchange.document.policy.max_body_bytes,
        exchange.state.conf.router.body_timeout_s,
        need_of=body_size.need_of_json,
        group=exchange.room_group("models"),
    )
    return await call_next(exchange)


def _decode_object(raw: bytes) -> dict:
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError):
        raise _body_error(
            errors.Code.MALFORMED_JSON, "body is not valid JSON"
        ) from None
    if not isinstance(body, dict):
        raise _body_error(
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
            _is_positive_or_absent(body.get("max_tokens")),
            "a positive whole number",
        ),
        (
            "n",
            _is_positive_or_absent(body.get("n")),
            "a positive whole number",
        ),
    ]
    if path.endswith("/chat/completions"):
        checks.append(
            (
                "messages",
                _is_message_list(body.get("messages")),
                "a non-empty list of messages",
            )
        )
    else:
        checks.append(("prompt", _is_string(body.get("prompt")), "a string"))
    for name, is_valid, expected in checks:
        if not is_valid:
            raise _body_error(
                errors.Code.INVALID_REQUEST, f"{name} must be {expected}"
            )
    if "continue_from" in body:
        raise _body_error(
            errors.Code.INVALID_REQUEST,
            "continue_from is reserved for the router",
        )


def _is_positive_or_absent(value) -> bool:
    if value is None:
        return True
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _is_message_list(value) -> bool:
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


def _is_string(value) -> bool:
    return isinstance(value, str)


def find_model(
    name: str, organisation: model.Organisation, document: model.Document
) -> model.Model:
    """Return the named model if the organisation may use it."""
    is_allowed = not organisation.models or name in organisation.models
    for candidate in document.models:
        if is_allowed and candidate.name == name:
            return candidate
    raise _body_error(errors.Code.UNKNOWN_MODEL, f"no model {name[:64]!r}")


async def parse(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Validate the body and set the exchange's model request."""
    body = _decode_object(exchange.raw)
    path = exchange.http.path
    _check_types(body, path)
    document = exchange.document
    organisation = exchange.organisation
    requested_model = find_model(body["model"], organisation, document)
    text = identity.canonical_text(path, body)
    wait_s = headers.deadline_s(
        exchange.http, document.policy.first_token_deadline_s
    )
    exchange.request = messages.ModelRequest(
        request_id=exchange.request_id,
        organisation=organisation.name,
        priority=exchange.priority,
        path=path,
        model=requested_model.name,
        stream=bool(body.get("stream")),
        prompt_tokens=identity.estimate_prompt_tokens(text),
        prefix_keys=identity.block_keys(
            exchange.state.salt(organisation.name),
            requested_model.name,
            requested_model.adapter,
            requested_model.weights_version,
            text,
        ),
        body=body,
        body_sha256=hashlib.sha256(exchange.raw).hexdigest(),
        first_token_by_s=exchange.arrived_s + wait_s,
    )
    exchange.raw = b""
    return await call_next(exchange)
