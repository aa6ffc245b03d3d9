"""Prefix cache of the engine stand-in, and the events it publishes."""

import asyncio
import collections
from collections.abc import Iterable
import hashlib
import json

import attrs

BLOCK_TOKENS = 2000
TOKEN_BYTES = 4
BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
EVENTS_KEPT = 20000


def block_keys(
    salt: bytes, model: str, adapter: str, weights_version: str, text: bytes
) -> tuple[bytes, ...]:
    """Return the identities of the full blocks of a prompt.

    Examples
    --------
    >>> len(block_keys(bytes(16), "m", "", "w1", b"x" * 20000))
    2
    """
    head = f"{model}\n{adapter}\n{weights_version}".encode()
    parent = hashlib.blake2b(head, key=salt, digest_size=16).digest()
    keys = []
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        piece = text[start : start + BLOCK_BYTES]
        parent = hashlib.blake2b(
            parent + piece, key=salt, digest_size=16
        ).digest()
        keys.append(parent)
    return tuple(keys)


def token_count(text: bytes) -> int:
    """Return the number of tokens of a text."""
    return -(-len(text) // TOKEN_BYTES)


@attrs.define
class EventLog:
    """Cache events as they become visible to readers.

    Parameters
    ----------
    incarnation : str
        Identity of the engine's process.
    lag_s : float
        Age at which an event can first be read.
    gap_every : int
        Each event whose number this divides is never shown; 0 for none.
    """

    incarnation: str
    lag_s: float = 0.0
    gap_every: int = 0
    sequence: int = 0
    lines: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=EVENTS_KEPT)
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, kind: str, keys: Iterable[bytes], now_s: float) -> None:
        """Publish a change of the cache."""
        self.sequence += 1
        if self.gap_every and self.sequence % self.gap_every == 0:
            return
        line = self._line(self.sequence, kind, keys)
        self.lines.append((self.sequence, now_s + self.lag_s, line))
        self.changed.set()
        self.changed = asyncio.Event()

    def after(self, sequence: int, now_s: float) -> tuple[int, bytes]:
        """Return the readable lines after `sequence`, and the last number."""
        parts = []
        for number, visible_s, line in self.lines:
            if visible_s > now_s:
                break
            if number > sequence:
                parts.append(line)
                sequence = number
        return sequence, b"".join(parts)

    def heartbeat(self, now_s: float) -> bytes:
        """Return a heartbeat with the latest number that is readable."""
        hidden = [n for n, visible_s, _ in self.lines if visible_s > now_s]
        latest = min(hidden) - 1 if hidden else self.sequence
        return self._line(latest, "heartbeat", ())

    def _line(self, number: int, kind: str, keys: Iterable[bytes]) -> bytes:
        event = {
            "seq": number,
            "incarnation": self.incarnation,
            "kind": kind,
            "blocks": [key.hex() for key in keys],
        }
        return json.dumps(event).encode() + b"\n"


@attrs.define
class PrefixCache:
    """Blocks in limited memory, evicted least recently used first.

    Parameters
    ----------
    capacity_blocks : int
        Blocks that fit.
    events : EventLog
        Where changes are published.
    """

    capacity_blocks: int
    events: EventLog
    blocks: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    held_before: set[bytes] = attrs.field(factory=set)

    def leading(self, keys: Iterable[bytes]) -> int:
        """Return how many leading blocks are held, and mark them used."""
        held = 0
        for key in keys:
            if key not in self.blocks:
                break
            held += 1
        # The innermost block is marked first, so that it goes first when
        # memory runs out: a block is of no use without those before it.
        for key in reversed(list(keys)[:held]):
            self.blocks.move_to_end(key)
        return held

    def store(self, keys: Iterable[bytes], now_s: float) -> int:
        """Hold these blocks; return how many had been held before."""
        keys = list(keys)
        new = [key for key in keys if key not in self.blocks]
        again = sum(key in self.held_before for key in new)
        self.held_before.update(new)
        for key in reversed(keys):
            self.blocks[key] = None
            self.blocks.move_to_end(key)
        evicted = []
        while len(self.blocks) > self.capacity_blocks:
            evicted.append(self.blocks.popitem(last=False)[0])
        if new:
            self.events.add("stored", new, now_s)
        if evicted:
            self.events.add("evicted", evicted, now_s)
        return again

    def clear(self, now_s: float) -> None:
        """Drop all blocks, as a change of weights does."""
        self.blocks.clear()
        self.events.add("cleared", (), now_s)
