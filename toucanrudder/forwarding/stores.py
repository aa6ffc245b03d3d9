"""Choice and health of the stores of cached prompt parts.  No I/O.

Expected load: the shared half of prompts of about 12,000 tokens, needed by
more engines than hold it, above all right after new weights have emptied
every cache.  A part that one engine has prefilled is fetched by all others:
5,000 tokens take about 15 ms over a link of 490 Gbit/s, and 80 ms to prefill.
"""

from collections.abc import Iterable

import attrs

from toucanrudder.forwarding import model
from toucanrudder.placement import rendezvous

#: Time for which a store that failed is not named to engines: an engine
#: loses some hundred milliseconds on one that is down.  Routers that poll it
#: for its events retry within a second and extend this time.
DOWN_S = 2.0

#: Consecutive unanswered polls after which peers are told.  A single one may
#: be a lost packet, and all routers would have stored parts prefilled again.
MIN_FAILURES_TO_REPORT = 2


@attrs.define
class StoreHealth:
    """Availability of stores as seen by this router and its peers.

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
        """Record that a store has answered."""
        self._failures.pop(address, None)
        self._down_until_s.pop(address, None)

    def record_failure(self, address: str, now_s: float) -> None:
        """Record an unanswered poll."""
        self._failures[address] = self._failures.get(address, 0) + 1
        self.mark_down(address, now_s + DOWN_S)

    def is_failing(self, address: str) -> bool:
        """Whether the newest poll had no answer."""
        return address in self._failures

    def mark_down(self, address: str, until_s: float) -> None:
        """Leave a store unused until then."""
        self._down_until_s[address] = until_s

    def remaining_down_s(self, now_s: float) -> dict[str, float]:
        """Return the seconds for which stores that failed here stay unused."""
        return {
            address: until_s - now_s
            for address, until_s in self._down_until_s.items()
            if until_s > now_s
            and self._failures.get(address, 0) >= MIN_FAILURES_TO_REPORT
        }

    def usable(
        self, stores: Iterable[model.CacheStore], now_s: float
    ) -> list[model.CacheStore]:
        """Return the stores that are not known to be down."""
        return [
            store
            for store in stores
            if self._down_until_s.get(store.address, now_s) <= now_s
        ]


def store_for(
    prompt: model.Prompt, cache_scope: str, stores: Iterable[model.CacheStore]
) -> model.CacheStore | None:
    """Return the store that keeps a prompt's shared parts.

    All routers compute the same store, so that a part is kept once and found
    by all, whatever the engine's zone.

    Examples
    --------
    >>> stores = [model.CacheStore(f"10.0.0.{n}:80") for n in range(3)]
    >>> prompt = model.Prompt("m", (model.Part("a", 5), model.Part("b", 9)))
    >>> store_for(prompt, "", stores) == store_for(prompt, "", stores[::-1])
    True
    >>> store_for(model.Prompt("m", (model.Part("own", 9),)), "", stores)
    """
    by_address = {store.address: store for store in stores}
    if not by_address or not prompt.shared_parts:
        return None
    ranked = rendezvous.ranked(
        rendezvous_key(prompt, cache_scope), sorted(by_address)
    )
    return by_address[ranked[0]]


def rendezvous_key(prompt: model.Prompt, cache_scope: str) -> bytes:
    """Return the rendezvous hashing key of a prompt's shared parts."""
    return f"{cache_scope}/{prompt.shared_parts[-1].identity}".encode()[:64]
