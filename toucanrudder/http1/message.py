"""Heads of requests and responses."""

from collections.abc import Iterable
import math

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

#: Header fields that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


@attrs.frozen
class RequestHead:
    """Request line and header fields of a request.

    Parameters
    ----------
    method, target : bytes
        As received; the target is never decoded or re-quoted.
    headers : tuple of (bytes, bytes)
        Names in the sender's letter case.
    """

    method: bytes
    target: bytes
    headers: Headers = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the field with this lower-case name."""
        return first_value(self.headers, name)


@attrs.frozen
class AnswerHead:
    """Status and header fields of a response."""

    status: int
    headers: Headers = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the field with this lower-case name."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the field with this lower-case name.

    Examples
    --------
    >>> first_value(((b"X-A", b"1"),), b"x-a")
    b'1'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def number(head: RequestHead | AnswerHead, name: bytes) -> float | None:
    """Return the number in a field; None without a finite one from zero.

    Examples
    --------
    >>> number(AnswerHead(200, ((b"A", b"1.5"), (b"B", b"-1"))), b"a")
    1.5
    """
    return parse_number(head.get(name) or b"")


def parse_number(text: bytes | str) -> float | None:
    """Return a finite number from zero; None for any other text.

    Examples
    --------
    >>> parse_number("1.5"), parse_number(b"-1"), parse_number("soon")
    (1.5, None, None)
    """
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def stated_number(head: RequestHead | AnswerHead, name: bytes) -> float | None:
    """Return the number in a field; None without the field.

    NaN if the field has no finite number from zero.

    Examples
    --------
    >>> head = AnswerHead(200, ((b"A", b"1.5"), (b"B", b"many")))
    >>> [stated_number(head, name) for name in (b"a", b"b", b"c")]
    [1.5, nan, None]
    """
    if head.get(name) is None:
        return None
    value = number(head, name)
    return math.nan if value is None else value


def end_to_end(headers: Headers, excluded: Iterable[bytes] = ()) -> Headers:
    """Return the header fields that a proxy passes on.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        Fields of the received message.
    excluded : iterable of bytes
        Further lower-case names to leave out.

    Examples
    --------
    >>> end_to_end(((b"Connection", b"x-b"), (b"X-A", b"1"), (b"X-B", b"")))
    ((b'X-A', b'1'),)
    """
    dropped = _HOP_BY_HOP.union(excluded)
    options = first_value(headers, b"connection")
    if options is not None:
        dropped = dropped.union(
            option.strip().lower() for option in options.split(b",")
        )
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def announces_close(headers: Headers) -> bool:
    """Whether the sender will close the connection after this message."""
    value = first_value(headers, b"connection")
    return value is not None and b"close" in value.lower()
