"""Index of the prompt parts that engines are believed to cache.  No I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from toucanrudder.forwarding import model

#: Most parts indexed per engine and salt: a few times what its memory holds,
#: at some hundred tokens per part.
MAX_PARTS = 4096


def make_salt(cache_scope: str, weights_version: int | None) -> str:
    """Return the salt of an engine's cache keys.

    The version prevents copies between engines with different weights; the
    scope separates organisations that share no cache.

    Examples
    --------
    >>> make_salt("", 3), make_salt("acme", 3)
    ('3', '3.acme')
    """
    version = str(weights_version or 0)
    return f"{version}.{cache_scope}" if cache_scope else version


def weights_version_of(salt: str) -> int | None:
    """Return the weights version in a salt; None for a foreign salt.

    Examples
    --------
    >>> weights_version_of("3.acme"), weights_version_of("x")
    (3, None)
    """
    number = salt.partition(".")[0]
    return int(number) if number.isdecimal() else None


# Not frozen: thousands are created at once, and a frozen instance takes
# three times as long.
@attrs.define
class Event:
    """Storage or eviction of one part by an engine."""

    salt: str
    part: str
    tokens: int
    is_stored: bool


@attrs.define(eq=False)
class _EngineCache:
    """Tokens of the parts that an engine holds, by salt and part.

    The parts of each salt are in order of their last update.
    """

    epoch: int | None = None
    salts: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def add(self, salt: str, part: str, tokens: int) -> None:
        """Add a part; drop the oldest one beyond `MAX_PARTS`."""
        parts = self.salts.get(salt)
        if parts is None:
            parts = self.salts[salt] = {}
        parts.pop(part, None)
        parts[part] = tokens
        if len(parts) > MAX_PARTS:
            del parts[next(iter(parts))]

    def drop_before(self, version: int) -> int:
        """Drop parts of earlier weights; return how many."""
        old = [
            salt
            for salt in self.salts
            if (weights_version_of(salt) or version) < version
        ]
        return sum(len(self.salts.pop(salt)) for salt in old)


class CacheIndex:
    """Parts believed to be cached, by engine process or store.

    Examples
    --------
    >>> index = CacheIndex()
    >>> parts = (model.Part("a", 500), model.Part("b", 4000))
    >>> index.add_parts("i1", "1", parts)
    >>> index.cached_tokens("i1", "1", parts)
    4500
    >>> index.cached_tokens("i1", "2", parts)
    0
    """

    def __init__(self):
        self._engines: dict[str, _EngineCache] = {}

    def _of(self, incarnation: str) -> _EngineCache:
        return self._engines.setdefault(incarnation, _EngineCache())

    def retain(self, oldest: Mapping[str, int]) -> int:
        """Drop other engines, and parts of weights out of use.

        Each version of the weights has a table of its own, so a router's
        memory would grow without bound.  No engine goes back to earlier
        weights, so their parts can be dropped.

        Parameters
        ----------
        oldest : mapping of str to int
            The oldest weights that may still be used, by engine.

        Returns
        -------
        int
            Number of parts of remaining engines that were dropped.
        """
        for name in set(self._engines) - set(oldest):
            del self._engines[name]
        return sum(
            engine.drop_before(oldest[name])
            for name, engine in self._engines.items()
        )

    def apply_events(
        self, incarnation: str, epoch: int, events: Iterable[Event]
    ) -> None:
        """Apply an engine's cache events; a new epoch clears its parts."""
        engine = self._of(incarnation)
        if engine.epoch != epoch:
            engine.salts.clear()
            engine.epoch = epoch
        for event in events:
            if event.is_stored:
                engine.add(event.salt, event.part, event.tokens)
            else:
                engine.salts.get(event.salt, {}).pop(event.part, None)

    def add_parts(
        self, incarnation: str, salt: str, parts: Sequence[model.Part]
    ) -> None:
        """Add parts of a prompt that an engine has prefilled."""
        engine = self._of(incarnation)
        for part in parts:
            engine.add(salt, part.identity, part.tokens)

    def cached_tokens(
        self, incarnation: str, salt: str, parts: Sequence[model.Part]
    ) -> int:
        """Return the length in tokens of a prompt's cached prefix.

        A part is of use only if all parts before it are cached too.
        """
        engine = self._engines.get(incarnation)
        if engine is None:
            return 0
        held = engine.salts.get(salt)
        if not held:
            return 0
        tokens = 0
        for part in parts:
            if part.identity not in held:
                break
            tokens += part.tokens
        return tokens
