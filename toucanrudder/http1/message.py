"""Heads of requests and answers."""

from collections.abc import Iterable

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

#: Fields that concern one connection only (RFC 9110, section 7.6.1).
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
    """First part of a request.

    Parameters
    ----------
    method, target : bytes
        As they came; the target is never decoded or quoted again.
    headers : tuple of (bytes, bytes)
        Names in the sender's spelling.
    """

    method: bytes
    target: bytes
    headers: Headers = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, by its lower-case name."""
        return first_value(self.headers, name)


@attrs.frozen
class AnswerHead:
    """First part of an answer."""

    status: int
    headers: Headers = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, by its lower-case name."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field, by its lower-case name.

    Examples
    --------
    >>> first_value(((b"X-A", b"1"),), b"x-a")
    b'1'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, without: Iterable[bytes] = ()) -> Headers:
    """Return the fields that are passed on.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        What came.
    without : iterable of bytes
        Further lower-case names to leave out.

    Examples
    --------
    >>> end_to_end(((b"Connection", b"x-b"), (b"X-A", b"1"), (b"X-B", b"")))
    ((b'X-A', b'1'),)
    """
    dropped = _HOP_BY_HOP.union(without)
    named = first_value(headers, b"connection")
    if named is not None:
        dropped = dropped.union(
            each.strip().lower() for each in named.split(b",")
        )
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def closes(headers: Headers) -> bool:
    """Whether the sender will close the connection after this message."""
    value = first_value(headers, b"connection")
    return value is not None and b"close" in value.lower()
