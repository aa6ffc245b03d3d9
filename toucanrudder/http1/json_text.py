"""JSON of other programs, in which one value may be strange.

A strict parser rejects a whole list for one value in it, on every attempt,
and no change in the list is seen any more.
"""

import functools
import logging
import re

import orjson

LOG = logging.getLogger(__name__)

#: Depth from which on lists and objects are left out: several times that of
#: any known message, and below what parsers and encoders bear.
MAX_NESTING = 64

#: Magnitude from which on integers are not kept, and characters of the longest
#: one below.
MAX_INTEGER = 2**63
MAX_INTEGER_CHARACTERS = len(str(-MAX_INTEGER))

#: Marks of which each value outside of strings has one before it.
_MARKS = b",:[{"

#: Length of the pieces that are looked at one by one.
_PIECE_BYTES = 65_536

_BRACKETS_AND_STRINGS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class Unreadable(ValueError):
    """A body is too large or cannot be parsed."""


def parse(content: bytes) -> object:
    """Parse JSON, leniently if it is not strictly valid.

    Bytes that are not UTF-8 become characters that occur in no name, large
    integers become infinity, and what is nested too deeply becomes None, so
    only the objects that hold them are affected.  `encode` encodes the result
    as strict JSON again.

    Raises
    ------
    Unreadable
        The lenient parser fails too.

    Examples
    --------
    >>> parse(b'["a", "\\xff"]')[0], parse(b"[1, " + b"9" * 5000 + b"]")
    ('a', [1, inf])
    >>> parse(b'{"a": 1, "b": ' + b"[" * 2000 + b"]" * 2000 + b"}")["a"]
    1
    """
    if not content:
        return {}
    try:
        return orjson.loads(content)
    except ValueError:
        LOG.info("a body is not strict JSON; parsing it leniently")
    # Imported here because it is rarely needed and would slow down startup.
    import json

    try:
        text = _without_deep_values(content.decode(errors="replace"))
        value = json.loads(text, strict=False, parse_int=_parse_integer)
        return _to_strict(value)
    except (ValueError, RecursionError) as error:
        raise Unreadable(str(error)) from error


def encode(value: object) -> bytes:
    """Encode a parsed value, without what is nested too deeply.

    Examples
    --------
    >>> deep = parse(b"[" * 300 + b"]" * 300)
    >>> encode([1, deep]).startswith(b"[1,[[")
    True
    """
    try:
        return orjson.dumps(value)
    except orjson.JSONEncodeError:
        return orjson.dumps(_without_deep_items(value, MAX_NESTING))


def count_values(text: bytes) -> int:
    """Return how many values a JSON text has, or a few more.

    Examples
    --------
    >>> count_values(b'{"a": [1, {}, "x, y: \\\\"[z"]}')
    6
    """
    if b"\\" in text:
        text = text.replace(b"\\\\", b"").replace(b'\\"', b"")
    count, is_string = 0, False
    for start in range(0, len(text), _PIECE_BYTES):
        parts = text[start : start + _PIECE_BYTES].split(b'"')
        outside = b"".join(parts[is_string::2])
        count += len(outside) - len(outside.translate(None, _MARKS))
        is_string ^= len(parts) % 2 == 0
    return count


def _parse_integer(digits: str) -> int | float:
    if len(digits) <= MAX_INTEGER_CHARACTERS:
        value = int(digits)
        if abs(value) < MAX_INTEGER:
            return value
    return float("inf")


def _without_deep_values(text: str) -> str:
    """Return JSON text with null for what is nested too deeply."""
    depth, kept_until = 0, 0
    pieces = []
    for match in _BRACKETS_AND_STRINGS.finditer(text):
        if match[0] in ("[", "{"):
            depth += 1
            if depth == MAX_NESTING + 1:
                pieces.append(text[kept_until : match.start()])
        elif match[0] in ("]", "}"):
            if depth == MAX_NESTING + 1:
                pieces.append("null")
                kept_until = match.end()
            depth -= 1
    if depth > MAX_NESTING:
        raise ValueError("a nested value has no end")
    return "".join([*pieces, text[kept_until:]])


def _without_deep_items(value: object, levels: int) -> object:
    """Return a value with None for what is nested too deeply."""
    if not isinstance(value, list | dict):
        return value
    if not levels:
        return None
    if isinstance(value, list):
        return [_without_deep_items(item, levels - 1) for item in value]
    return {
        key: _without_deep_items(item, levels - 1)
        for key, item in value.items()
    }


@functools.singledispatch
def _to_strict(value: object) -> object:
    """Convert a leniently parsed value to one that strict JSON can encode."""
    return value


@_to_strict.register
def _(value: str) -> str:
    # JSON can escape a lone surrogate, but UTF-8 cannot encode it.
    return value.encode(errors="replace").decode()


@_to_strict.register
def _(value: list) -> list:
    return [_to_strict(item) for item in value]


@_to_strict.register
def _(value: dict) -> dict:
    return {_to_strict(key): _to_strict(item) for key, item in value.items()}
