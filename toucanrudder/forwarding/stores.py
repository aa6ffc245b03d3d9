"""Which store of cached parts a prompt uses.  No I/O.

Load it answers: the shared half of prompts of some 12,000 tokens, wanted
by more engines than hold it, above all right after new weights have
emptied every cache.  A part that was read once is fetched by all others:
5,000 tokens take about 15 ms over a link of 490 Gbit/s, and 80 ms to read.
"""

from collections.abc import Iterable

import attrs

from toucanrudder.forwarding import model
from toucanrudder.placement import rendezvous

#: For how long a store that failed is not named to engines: an engine
#: loses some hundred milliseconds on one that is dead.  Whoever asks it
#: for its events tries again within a second and renews this.
DOWN_S = 2.0

#: Questions without an answer after which peers are told; one may be lost
#: on the way, and all routers would read again what the store holds.
FAILURES_TO_TELL = 2


@attrs.define
class StoreHealth:
    """Which stores answer, as this router and its peers have seen.

    Examples
    --------
    >>> health = StoreHealth()
    >>> store = model.CacheStore("10.0.0.1:80")
    >>> health.record_failure(store.address, 5.0)
    >>> health.usable([store], 6.0), health.usable([store], 8.0) == [store]
    ([], True)
    >>> health.remaining_down_s(6.0)
    {}
    >>> health.record_failure(store.address, 6.0)
    >>> health.remaining_down_s(6.5)
    {'10.0.0.1:80': 1.5}
    """

    _failures: dict[str, int] = attrs.field(factory=dict)
    _down_until_s: dict[str, float] = attrs.field(factory=dict)

    def record_answer(self, address: str) -> None:
        """Note that a store has answered."""
        self._failures.pop(address, None)
        self._down_until_s.pop(address, None)

    def record_failure(self, address: str, now_s: float) -> None:
        """Note a question without an answer."""
        self._failures[address] = self._failures.get(address, 0) + 1
        self.mark_down(address, now_s + DOWN_S)

    def is_failing(self, address: str) -> bool:
        """Whether the newest question had no answer."""
        return address in self._failures

    def mark_down(self, address: str, until_s: float) -> None:
        """Note until when a store is not to be used."""
        self._down_until_s[address] = until_s

    def remaining_down_s(self, now_s: float) -> dict[str, float]:
        """Return for how long stores that failed here are to be left."""
        return {
            address: until_s - now_s
            for address, until_s in self._down_until_s.items()
            if until_s > now_s
            and self._failures.get(address, 0) >= FAILURES_TO_TELL
        }

    def usable(
        self, stores: Iterable[model.CacheStore], now_s: float
    ) -> list[model.CacheStore]:
        """Return the stores that are not known to be down."""
        return [
            each
            for each in stores
            if self._down_until_s.get(each.address, now_s) <= now_s
        ]


def store_for(
    prompt: model.Prompt, wall: str, stores: Iterable[model.CacheStore]
) -> model.CacheStore | None:
    """Return the store that keeps a prompt's shared parts.

    All routers compute it alike, so that a part is kept once and found by
    all, whatever zone its reader is in.

    Examples
    --------
    >>> stores = [model.CacheStore(f"10.0.0.{n}:80") for n in range(3)]
    >>> prompt = model.Prompt("m", (model.Part("a", 5), model.Part("b", 9)))
    >>> store_for(prompt, "", stores) == store_for(prompt, "", stores[::-1])
    True
    >>> store_for(model.Prompt("m", (model.Part("own", 9),)), "", stores)
    """
    by_address = {each.address: each for each in stores}
    if not by_address or not prompt.shared_parts:
        return None
    ranked = rendezvous.ranked(
        rendezvous_key(prompt, wall), sorted(by_address)
    )
    return by_address[ranked[0]]


def rendezvous_key(prompt: model.Prompt, wall: str) -> bytes:
    """Return what decides on the home of a prompt's shared parts."""
    return f"{wall}/{prompt.shared_parts[-1].identity}".encode()[:64]
