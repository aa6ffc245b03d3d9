"""What routers tell each other about crashes."""

import enum
import hashlib

import attrs


class Kind(enum.Enum):
    """What an entry says of its request."""

    CRASH = "crash"
    ALIVE = "alive"
    CLEARED = "cleared"
    RELEASED = "released"


@attrs.frozen
class Entry:
    """One fact about one request; facts are only ever added.

    Parameters
    ----------
    kind : Kind
        ``CRASH``: it was in flight at a crash.  ``ALIVE``: the process
        answered after the crash was presumed.  ``CLEARED``: it ran to
        its end as a suspect.  ``RELEASED``: an operator let it go.
    fingerprint : str
        Identity of the request, see :func:`fingerprint`.
    at_s : float
        Wall clock of the router that saw it.
    upstream, incarnation : str
        The engine process; empty for ``CLEARED`` and ``RELEASED``.
    isolated : bool
        Whether it was the only suspect in flight there.
    """

    kind: Kind
    fingerprint: str
    at_s: float
    upstream: str = ""
    incarnation: str = ""
    isolated: bool = False

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
        Whether it was sent there as a suspect on trial.
    """

    fingerprint: str
    isolated: bool = False


def fingerprint(organisation: str, body_sha256: str) -> str:
    """Return the identity by which resends of a request are recognised.

    Parameters
    ----------
    organisation : str
        Whose request it is; no organisation can block another's request.
    body_sha256 : str
        Digest of the caller's body.

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
