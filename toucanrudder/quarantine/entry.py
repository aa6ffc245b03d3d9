"""Entries about crashes, exchanged between routers."""

import enum
import functools
import hashlib

import attrs


class Kind(enum.Enum):
    """The kind of an entry."""

    CRASH = "crash"
    ALIVE = "alive"
    CLEARED = "cleared"
    RELEASED = "released"


@attrs.frozen
class Entry:
    """One observation about a request; observations are never changed.

    Parameters
    ----------
    kind : Kind
        ``CRASH``: the request was in flight at a crash.  ``ALIVE``: the
        process answered after its crash had been presumed.  ``CLEARED``:
        the request ran to its end as a suspect.  ``RELEASED``: an operator
        released the request.
    fingerprint : str
        Identity of the request, see :func:`fingerprint`.
    at_s : float
        Unix time of the router that observed it.
    upstream, incarnation : str
        The engine process; empty for ``CLEARED`` and ``RELEASED``.
    isolated : bool
        Whether the request was the only suspect in flight there.
    sequence : int
        0 for a request.  For a part of prompts, how many crashes with it,
        each sent after the one before was known, this one is; of ``CLEARED``
        and ``RELEASED``, the sequence up to which it is cleared.
    is_vouched : bool
        Whether a request with the part was answered a short time before.
    """

    kind: Kind
    fingerprint: str
    at_s: float
    upstream: str = ""
    incarnation: str = ""
    isolated: bool = False
    sequence: int = 0
    is_vouched: bool = False

    @property
    def crash(self) -> tuple[str, str]:
        """Identity of the crash."""
        return (self.upstream, self.incarnation)

    @property
    def key(self) -> tuple:
        """Identity under which entries of several routers merge."""
        return (self.kind, self.fingerprint, self.upstream, self.incarnation)


@attrs.frozen
class InFlight:
    """A request that was in flight at a crash.

    Parameters
    ----------
    fingerprint : str
        Identity of the request.
    isolated : bool
        Whether it was sent there as a suspect for a trial.
    sent_parts : tuple of tuple
        The parts that its prompt may share with others, each with its
        sequence when the request was sent.
    """

    fingerprint: str
    isolated: bool = False
    sent_parts: tuple[tuple[str, int], ...] = ()


def fingerprint(organisation: str, body_sha256: str) -> str:
    """Return the identity that a request and its resends share.

    Parameters
    ----------
    organisation : str
        Organisation of the request; none can block another's requests.
    body_sha256 : str
        SHA-256 of the request body, in hex.

    Returns
    -------
    str
        32 hex digits.

    Examples
    --------
    >>> fingerprint("acme", "00") == fingerprint("other", "00")
    False
    """
    text = f"{organisation}\0{body_sha256}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


@functools.lru_cache(maxsize=4096)
def part_fingerprint(organisation: str, model: str, identity: str) -> str:
    """Return the identity of a part of prompts in one organisation.

    Its first half is the same for all organisations, see `content_of`.

    Parameters
    ----------
    organisation : str
        Organisation of the requests; none can block another's prompts.
    model : str
        Name of the model.
    identity : str
        Identity of the part, as callers state it.

    Returns
    -------
    str
        32 hex digits.

    Examples
    --------
    >>> ours = part_fingerprint("acme", "m", "5c1e")
    >>> theirs = part_fingerprint("other", "m", "5c1e")
    >>> ours == theirs, content_of(ours) == content_of(theirs)
    (False, True)
    """
    content = f"{model}\0{identity}".encode()
    owned = f"{organisation}\0".encode() + content
    return _short_digest(content) + _short_digest(owned)


def _short_digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=8).hexdigest()


def content_of(part: str) -> str:
    """Return what the fingerprint of a part has in all organisations."""
    return part[:16]
