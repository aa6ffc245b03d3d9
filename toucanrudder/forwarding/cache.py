"""Which engine is believed to hold which parts of prompts.  No I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from toucanrudder.forwarding import model

#: Parts remembered for one engine under one salt: a few times what its
#: memory holds, at some hundred tokens a part.
MAX_PARTS = 4096


def make_salt(wall: str, weights_version: int | None) -> str:
    """Return the text under which an engine keeps parts.

    The version makes it impossible that cache moves between engines with
    different weights; the wall keeps an isolated organisation's apart.

    Examples
    --------
    >>> make_salt("", 3), make_salt("acme", 3)
    ('3', '3.acme')
    """
    version = str(weights_version or 0)
    return f"{version}.{wall}" if wall else version


def version_of(salt_: str) -> int | None:
    """Return the weights' version in a salt; None if it is not ours.

    Examples
    --------
    >>> version_of("3.acme"), version_of("x")
    (3, None)
    """
    number = salt_.partition(".")[0]
    return int(number) if number.isdecimal() else None


# Thousands come at once: making a frozen one takes three times as long.
@attrs.define
class Event:
    """A part that an engine has stored or dropped."""

    salt: str
    part: str
    tokens: int
    is_stored: bool


@attrs.define(eq=False)
class _Engine:
    """Tokens of the parts that an engine holds, by salt and part.

    Of each salt, the part that was noted last comes last.
    """

    epoch: int | None = None
    salts: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def note(self, salt_: str, part: str, tokens: int) -> None:
        """Note a part; forget the oldest one of too many."""
        parts = self.salts.get(salt_)
        if parts is None:
            parts = self.salts[salt_] = {}
        parts.pop(part, None)
        parts[part] = tokens
        if len(parts) > MAX_PARTS:
            del parts[next(iter(parts))]

    def forget_before(self, version: int) -> int:
        """Forget what belongs to earlier weights; return how many parts."""
        old = [
            salt_
            for salt_ in self.salts
            if (version_of(salt_) or version) < version
        ]
        return sum(len(self.salts.pop(salt_)) for salt_ in old)


class CacheIndex:
    """Beliefs by engine process.

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
        self._engines: dict[str, _Engine] = {}

    def _of(self, incarnation: str) -> _Engine:
        return self._engines.setdefault(incarnation, _Engine())

    def retain(self, oldest: Mapping[str, int]) -> int:
        """Forget engines that are gone, and what nobody can use any more.

        Failure: each version of the weights begins a table of its own.
        Symptom: a router's memory grows for as long as it lives.  No
        engine goes back to earlier weights, so their parts are dropped.

        Parameters
        ----------
        oldest : mapping of str to int
            The oldest weights that may still be used, by engine.

        Returns
        -------
        int
            Parts of engines that are there, forgotten with their weights.
        """
        for name in set(self._engines) - set(oldest):
            del self._engines[name]
        return sum(
            engine.forget_before(oldest[name])
            for name, engine in self._engines.items()
        )

    def apply_events(
        self, incarnation: str, epoch: int, events: Iterable[Event]
    ) -> None:
        """Take in what an engine told of its cache."""
        engine = self._of(incarnation)
        if engine.epoch != epoch:
            engine.salts.clear()
            engine.epoch = epoch
        for event in events:
            if event.is_stored:
                engine.note(event.salt, event.part, event.tokens)
            else:
                engine.salts.get(event.salt, {}).pop(event.part, None)

    def add_parts(
        self, incarnation: str, salt_: str, parts: Sequence[model.Part]
    ) -> None:
        """Note that an engine has read these parts of a prompt."""
        engine = self._of(incarnation)
        for part in parts:
            engine.note(salt_, part.identity, part.tokens)

    def cached_tokens(
        self, incarnation: str, salt_: str, parts: Sequence[model.Part]
    ) -> int:
        """Return the tokens at a prompt's beginning that are held there.

        A part is of use only if all before it are held too.
        """
        engine = self._engines.get(incarnation)
        if engine is None:
            return 0
        held = engine.salts.get(salt_)
        if not held:
            return 0
        tokens = 0
        for part in parts:
            if part.identity not in held:
                break
            tokens += part.tokens
        return tokens
