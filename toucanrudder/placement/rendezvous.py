"""Rendezvous (highest-random-weight) hashing of keys to names.

Routers with the same list of engines rank them alike without
communication, and the loss of one engine moves only its own prefixes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib

_DIGEST_BYTES = 8


def ranked(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the names ranked for a key.

    Parameters
    ----------
    key : bytes
        Key to hash, for example of a prefix; at most 64 bytes.
    names : iterable of str
        Names to rank, in any order.

    Returns
    -------
    list of str
        All names; the first is the owner of the key.

    Examples
    --------
    >>> ranked(b"k", ["a", "b", "c"]) == ranked(b"k", ["c", "a", "b"])
    True
    """
    return sorted(names, key=_scores(key))


def _scores(key: bytes) -> Callable[[str], bytes]:
    """Return the function that scores names; it hashes the key only once."""
    key_hash = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)

    def score(name: str) -> bytes:
        digest = key_hash.copy()
        digest.update(name.encode())
        return digest.digest()

    return score
