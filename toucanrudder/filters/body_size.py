"""Memory that the JSON of a request needs once it is parsed."""

from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import json_text

#: How often a text of narrow characters stands in memory: as its bytes, and in
#: its values.
COPIES = 2

#: Memory of a value beside its characters: the entry of its list or object,
#: the value itself, and its key.
VALUE_BYTES = 128

#: Bytes of UTF-8 that no character beyond Latin-1, and none beyond the Basic
#: Multilingual Plane, has.
_NOT_BEYOND_LATIN_1 = bytes(range(0xC4))
_NOT_BEYOND_BASIC_PLANE = bytes(range(0xF0))

#: Escape of a character, and of one beyond the Basic Multilingual Plane.
_ESCAPE = b"\\u"
_WIDE_ESCAPES = tuple(
    _ESCAPE + first + second
    for first in (b"d", b"D")
    for second in (b"8", b"9", b"a", b"b", b"A", b"B")
)


def need_of_json(text: bytes) -> accounts.Need:
    """Return about how much memory a JSON text and its values need.

    Examples
    --------
    >>> need_of_json(b'{"prompt": "a, b, c"}').held_bytes
    298
    """
    strings_bytes = _character_bytes(text) * len(text)
    values_bytes = VALUE_BYTES * json_text.count_values(text)
    # The text is decoded before it is parsed.
    return accounts.Need(
        len(text) + strings_bytes + values_bytes, strings_bytes
    )


def _character_bytes(text: bytes) -> int:
    """Return how many bytes the widest string needs for each character."""
    has_escapes = _ESCAPE in text
    if text.isascii() and not has_escapes:
        return 1
    if text.translate(None, _NOT_BEYOND_BASIC_PLANE):
        return 4
    if has_escapes:
        return 4 if any(escape in text for escape in _WIDE_ESCAPES) else 2
    return 2 if text.translate(None, _NOT_BEYOND_LATIN_1) else 1
