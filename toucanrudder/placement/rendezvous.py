"""Highest-random-weight hashing of prefix keys to engines.

All routers with the same list of engines rank them alike without talking
to each other, and the loss of one engine moves only its own prefixes.
"""

from collections.abc import Iterable
import hashlib

_DIGEST_BYTES = 8


def ranked(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the names in the order in which they own the key.

    Parameters
    ----------
    key : bytes
        A prefix key.
    names : iterable of str
        Engines' names; their order is of no account.

    Returns
    -------
    list of str
        All names, the owner first.

    Examples
    --------
    >>> ranked(b"k", ["a", "b", "c"]) == ranked(b"k", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: _score(key, name))


def _score(key: bytes, name: str) -> bytes:
    return hashlib.blake2b(
        name.encode(), key=key, digest_size=_DIGEST_BYTES
    ).digest()
