"""Division of keys among the live routers by rendezvous hashing.  No I/O.

Routers with the same view of the fleet name the same owners without
communication, and a router that joins or leaves changes only the owners of
its own keys.
"""

from collections.abc import Iterable

import attrs

from toucanrudder.placement import rendezvous

#: Bytes of a key that are hashed.
MAX_KEY_BYTES = 64


@attrs.define(eq=False)
class Ownership:
    """Owners of keys; rankings are kept until the live routers change.

    Parameters
    ----------
    owners_per_key : int or None
        Owners of each key, the first being preferred; None ranks all routers.

    Examples
    --------
    >>> ownership = Ownership(owners_per_key=2)
    >>> ownership.update(["r1", "r2", "r3"]), ownership.update(["r1", "r2"])
    (True, True)
    >>> sorted(ownership.owners("key"))
    ['r1', 'r2']
    """

    owners_per_key: int | None = None
    _names: tuple[str, ...] = ()
    _rankings: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def update(self, names: Iterable[str]) -> bool:
        """Set the names of the live routers; return whether they changed."""
        names = tuple(names)
        if names == self._names:
            return False
        self._names = names
        self._rankings.clear()
        return True

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the live routers."""
        return self._names

    def owners(self, key: str) -> tuple[str, ...]:
        """Return the names of a key's owners, in order of rank."""
        ranking = self._rankings.get(key)
        if ranking is None:
            ranked = rendezvous.ranked(
                key.encode()[:MAX_KEY_BYTES], self._names
            )
            ranking = tuple(ranked[: self.owners_per_key])
            self._rankings[key] = ranking
        return ranking
