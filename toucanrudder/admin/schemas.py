"""JSON Schemas of what the admin API takes and answers."""

import types
import typing

import attrs

from toucanrudder.admin import status

_SIMPLE = {
    str: {"type": "string"},
    int: {"type": "integer"},
    float: {"type": "number"},
    bool: {"type": "boolean"},
    type(None): {"type": "null"},
}


def of(kind: object) -> dict:
    """Return the JSON Schema of a type used by an attrs class.

    Examples
    --------
    >>> of(tuple[int, ...])
    {'type': 'array', 'items': {'type': 'integer'}}
    """
    if kind in _SIMPLE:
        return dict(_SIMPLE[kind])
    if attrs.has(kind):
        return _of_class(kind)
    arguments = typing.get_args(kind)
    if isinstance(kind, types.UnionType):
        return {"anyOf": [of(argument) for argument in arguments]}
    if typing.get_origin(kind) is tuple:
        return {"type": "array", "items": of(arguments[0])}
    raise TypeError(f"no JSON Schema for {kind}")


def _of_class(kind: type) -> dict:
    fields = attrs.fields(kind)
    return {
        "type": "object",
        "properties": {field.name: of(field.type) for field in fields},
        "required": [field.name for field in fields],
        "additionalProperties": False,
    }


def _object(**properties: dict) -> dict:
    return {
        "type": "object",
        "properties": properties,
        "required": list(properties),
    }


_STRING = {"type": "string"}
_GENERATION = {"type": "integer", "minimum": 0}
ANY_OBJECT = {"type": "object"}
DOCUMENT = {
    "type": "object",
    "description": "A configuration document; its schema is at /schema.",
}
PROBLEM = _object(path=_STRING, message=_STRING)
HEALTH = _object(ok={"type": "boolean"})
STATUS = of(status.Status)
ACCEPTED = _object(
    generation=_GENERATION,
    apply_id=_STRING,
    author=_STRING,
    document=DOCUMENT,
)
VALIDATED = _object(
    valid={"type": "boolean"}, problems={"type": "array", "items": PROBLEM}
)
DIFFERENCE = _object(
    generation=_GENERATION, changes={"type": "array", "items": ANY_OBJECT}
)
APPLY = _object(expected_generation=_GENERATION, document=DOCUMENT)
APPLIED = _object(generation=_GENERATION, apply_id=_STRING, author=_STRING)
DRAINED = _object(
    upstream=_STRING, drained={"type": "boolean"}, generation=_GENERATION
)
RELEASED = _object(released=_STRING)
ERROR = _object(
    error={
        "type": "object",
        "properties": {
            "message": _STRING,
            "code": _STRING,
            "step": _STRING,
            "peer": _STRING,
            "ran": _STRING,
            "retry_after_s": {"type": ["number", "null"]},
            "problems": {"type": "array", "items": PROBLEM},
        },
        "required": ["message", "code", "step", "peer", "ran"],
    }
)
