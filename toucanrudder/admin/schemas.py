"""JSON Schemas of the request and response bodies of the admin API."""

import types
import typing

import attrs

from toucanrudder.admin import status

_SCALAR_SCHEMAS = {
    str: {"type": "string"},
    int: {"type": "integer"},
    float: {"type": "number"},
    bool: {"type": "boolean"},
    type(None): {"type": "null"},
}


def schema_of(annotation: object) -> dict:
    """Return the JSON Schema of a field type of an attrs class.

    Examples
    --------
    >>> schema_of(tuple[int, ...])
    {'type': 'array', 'items': {'type': 'integer'}}
    """
    if annotation in _SCALAR_SCHEMAS:
        return dict(_SCALAR_SCHEMAS[annotation])
    if attrs.has(annotation):
        return _schema_of_class(annotation)
    arguments = typing.get_args(annotation)
    if isinstance(annotation, types.UnionType):
        return {"anyOf": [schema_of(argument) for argument in arguments]}
    if typing.get_origin(annotation) is tuple:
        return {"type": "array", "items": schema_of(arguments[0])}
    raise TypeError(f"no JSON Schema for {annotation}")


def _schema_of_class(attrs_class: type) -> dict:
    fields = attrs.fields(attrs_class)
    return {
        "type": "object",
        "properties": {field.name: schema_of(field.type) for field in fields},
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
STATUS = schema_of(status.Status)
ACCEPTED = _object(
    generation=_GENERATION,
    apply_id=_STRING,
    author=_STRING,
    document=DOCUMENT,
)
VALIDATION_RESULT = _object(
    valid={"type": "boolean"}, problems={"type": "array", "items": PROBLEM}
)
DIFF_RESULT = _object(
    generation=_GENERATION, changes={"type": "array", "items": ANY_OBJECT}
)
APPLY_REQUEST = _object(expected_generation=_GENERATION, document=DOCUMENT)
APPLY_RESULT = _object(
    generation=_GENERATION, apply_id=_STRING, author=_STRING
)
DRAIN_RESULT = _object(
    upstream=_STRING, drained={"type": "boolean"}, generation=_GENERATION
)
RELEASE_RESULT = _object(released=_STRING)
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
