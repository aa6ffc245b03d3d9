"""Which engine is believed to hold which parts of prompts.  No I/O."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs
import cachetools

from toucanrudder.forwarding import model

#: Parts remembered for one engine: a few times what its memory holds, at
#: some hundred tokens a part.
MAX_PARTS = 4096


def salt(wall: str, weights_version: int | None) -> str:
    """Return the text under which an engine keeps parts.

    The version makes it impossible that cache moves between engines with
    different weights; the wall keeps an isolated organisation's apart.

    Examples
    --------
    >>> salt("", 3), salt("acme", 3)
    ('3', '3.acme')
    """
    version = str(weights_version or 0)
    return f"{version}.{wall}" if wall else version


@attrs.frozen
class Event:
    """A part that an engine has stored or dropped."""

    salt: str
    part: str
    tokens: int
    is_stored: bool


@attrs.define
class _Engine:
    epoch: int | None = None
    parts: cachetools.LRUCache = attrs.field(
        factory=lambda: cachetools.LRUCache(MAX_PARTS)
    )


class CacheIndex:
    """Beliefs by engine process.

    Examples
    --------
    >>> index = CacheIndex()
    >>> parts = (model.Part("a", 500), model.Part("b", 4000))
    >>> index.read("i1", "1", parts)
    >>> index.cached_tokens("i1", "1", parts)
    4500
    >>> index.cached_tokens("i1", "2", parts)
    0
    """

    def __init__(self):
        self._engines: dict[str, _Engine] = {}

    def _of(self, incarnation: str) -> _Engine:
        return self._engines.setdefault(incarnation, _Engine())

    def keep(self, incarnations: set[str]) -> None:
        """Forget engines that are gone."""
        for name in set(self._engines) - incarnations:
            del self._engines[name]

    def told(
        self, incarnation: str, epoch: int, events: Iterable[Event]
    ) -> None:
        """Take in what an engine told of its cache."""
        engine = self._of(incarnation)
        if engine.epoch != epoch:
            engine.parts.clear()
            engine.epoch = epoch
        for event in events:
            key = (event.salt, event.part)
            if event.is_stored:
                engine.parts[key] = event.tokens
            else:
                engine.parts.pop(key, None)

    def read(
        self, incarnation: str, salt_: str, parts: Sequence[model.Part]
    ) -> None:
        """Note that an engine has read these parts of a prompt."""
        engine = self._of(incarnation)
        for part in parts:
            engine.parts[salt_, part.identity] = part.tokens

    def cached_tokens(
        self, incarnation: str, salt_: str, parts: Sequence[model.Part]
    ) -> int:
        """Return the tokens at a prompt's beginning that are held there.

        A part is of use only if all before it are held too.
        """
        engine = self._engines.get(incarnation)
        if engine is None:
            return 0
        tokens = 0
        for part in parts:
            if (salt_, part.identity) not in engine.parts:
                break
            tokens += part.tokens
        return tokens
