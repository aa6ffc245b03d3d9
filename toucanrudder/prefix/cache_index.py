"""Index of the blocks expected in each engine's prefix cache.

Blocks are indexed by engine process, that is by upstream and incarnation,
and the block keys depend on the organisation and the weights
(`toucanrudder.prefix.identity`).  A lookup therefore never returns blocks of
an earlier process, of another organisation or of older weights, even before
any clean-up.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from toucanrudder.prefix import identity

#: Smoothing factor of the share of prompt tokens that an engine computes.
SHARE_SMOOTHING = 0.05


@attrs.define
class Accuracy:
    """Comparison of expected and actual cache hits.

    Parameters
    ----------
    expected_tokens : int
        Tokens expected to be cached when requests were sent.
    false_hit_tokens : int
        Expected tokens that the engine had to compute.
    missed_hit_tokens : int
        Tokens that were cached but not expected.
    """

    expected_tokens: int = 0
    false_hit_tokens: int = 0
    missed_hit_tokens: int = 0

    @property
    def false_hit_rate(self) -> float:
        """Fraction of the expected tokens that were not cached."""
        if not self.expected_tokens:
            return 0.0
        return self.false_hit_tokens / self.expected_tokens


@attrs.define
class _EngineIndex:
    # Time at which each block was last known to be used, least recently
    # used first.
    used_at_s: collections.OrderedDict[bytes, float] = attrs.field(
        factory=collections.OrderedDict
    )
    sequence: int | None = None
    computed_share: float = 1.0
    ignored_before_s: float = float("-inf")


class PrefixCacheIndex:
    """Blocks expected in the prefix caches of all engines.

    Parameters
    ----------
    max_blocks_per_engine : int
        Blocks kept for one engine; the least recently used is dropped.
    max_engines : int
        Engine processes kept; the least recently used is dropped.
    max_age_s : float
        Seconds since its last known use after which a block is ignored.
    gap_max_age_s : float
        The same for blocks last used before a gap in the cache events.

    Examples
    --------
    >>> index = PrefixCacheIndex()
    >>> index.record_dispatch("hal-1", "a", (b"k1", b"k2"), now_s=1.0)
    >>> index.expected_cached_tokens("hal-1", "a", (b"k1", b"k2"), now_s=2.0)
    4000
    >>> index.expected_cached_tokens("hal-1", "b", (b"k1", b"k2"), now_s=2.0)
    0
    """

    def __init__(
        self,
        max_blocks_per_engine: int = 16384,
        max_engines: int = 64,
        max_age_s: float = 120.0,
        gap_max_age_s: float = 10.0,
    ) -> None:
        self._max_blocks = max_blocks_per_engine
        self._max_engines = max_engines
        self._max_age_s = max_age_s
        self._gap_max_age_s = gap_max_age_s
        self._engines: collections.OrderedDict[
            tuple[str, str], _EngineIndex
        ] = collections.OrderedDict()
        self.accuracy = Accuracy()

    def __len__(self) -> int:
        return sum(len(engine.used_at_s) for engine in self._engines.values())

    def expected_cached_tokens(
        self,
        upstream: str,
        incarnation: str,
        keys: Sequence[bytes],
        now_s: float,
    ) -> int:
        """Return how many leading prompt tokens are expected in the cache.

        Parameters
        ----------
        upstream, incarnation : str
            The engine process.
        keys : sequence of bytes
            Identities of the prompt's blocks, outermost first.
        now_s : float
            Current monotonic time.

        Returns
        -------
        int
            Tokens of the leading blocks up to the first one not expected.
        """
        engine = self._engines.get((upstream, incarnation))
        if engine is None:
            return 0
        oldest_s = self._oldest_s(engine, now_s)
        blocks = 0
        for key in keys:
            if engine.used_at_s.get(key, float("-inf")) < oldest_s:
                break
            blocks += 1
        return blocks * identity.BLOCK_TOKENS

    def record_dispatch(
        self,
        upstream: str,
        incarnation: str,
        keys: Sequence[bytes],
        now_s: float,
    ) -> None:
        """Record that a prompt was sent, so that its blocks will be cached."""
        self._mark_used(self._engine(upstream, incarnation), keys, now_s)

    def record_answer(
        self,
        upstream: str,
        incarnation: str,
        keys: Sequence[bytes],
        *,
        expected_tokens: int,
        cached_tokens: int,
        now_s: float,
        prompt_tokens: int = 0,
    ) -> None:
        """Record from an answer how much of the prompt was cached.

        Parameters
        ----------
        upstream, incarnation : str
            The engine process that answered; the incarnation may differ
            from the one to which the request was sent.
        keys : sequence of bytes
            Identities of the prompt's blocks.
        expected_tokens : int
            `Decision.expected_hit_tokens`.
        cached_tokens : int
            ``usage.prompt_tokens_details.cached_tokens`` of the answer.
        now_s : float
            Current monotonic time.
        prompt_tokens : int
            Length of the prompt; 0 if unknown.
        """
        accuracy = self.accuracy
        accuracy.expected_tokens += expected_tokens
        accuracy.false_hit_tokens += max(0, expected_tokens - cached_tokens)
        accuracy.missed_hit_tokens += max(0, cached_tokens - expected_tokens)
        # The engine has just computed or used each block of the prompt.
        engine = self._engine(upstream, incarnation)
        self._mark_used(engine, keys, now_s)
        if prompt_tokens:
            share = 1.0 - min(1.0, cached_tokens / prompt_tokens)
            change = share - engine.computed_share
            engine.computed_share += SHARE_SMOOTHING * change

    def computed_share(self, upstream: str, incarnation: str) -> float:
        """Return the recent fraction of prompt tokens the engine computed.

        Load reports count whole queued prompts; this fraction of them is
        actual work.  1 while nothing is known.
        """
        engine = self._engines.get((upstream, incarnation))
        return 1.0 if engine is None else engine.computed_share

    def withdraw_dispatch(
        self, upstream: str, incarnation: str, keys: Sequence[bytes]
    ) -> None:
        """Remove the blocks of a dispatch whose prompt was not computed."""
        engine = self._engines.get((upstream, incarnation))
        if engine is not None:
            _drop(engine, keys)

    def stored(
        self,
        upstream: str,
        incarnation: str,
        sequence: int,
        keys: Sequence[bytes],
        now_s: float,
    ) -> None:
        """Apply a ``stored`` event."""
        engine = self._engine(upstream, incarnation)
        if self._advance(engine, sequence, now_s):
            self._mark_used(engine, keys, now_s)

    def evicted(
        self,
        upstream: str,
        incarnation: str,
        sequence: int,
        keys: Sequence[bytes],
        now_s: float,
    ) -> None:
        """Apply an ``evicted`` event."""
        engine = self._engine(upstream, incarnation)
        if self._advance(engine, sequence, now_s):
            _drop(engine, keys)

    def cleared(
        self, upstream: str, incarnation: str, sequence: int, now_s: float
    ) -> None:
        """Apply a ``cleared`` event: the engine's cache is empty."""
        engine = self._engine(upstream, incarnation)
        if self._advance(engine, sequence, now_s):
            engine.used_at_s.clear()

    def heartbeat(
        self, upstream: str, incarnation: str, sequence: int, now_s: float
    ) -> None:
        """Apply a ``heartbeat`` with the engine's latest sequence number."""
        engine = self._engine(upstream, incarnation)
        if engine.sequence is None:
            engine.sequence = sequence
        elif sequence > engine.sequence:
            engine.sequence = sequence
            self._shorten_age(engine, now_s)

    def forget_replaced(self, upstream: str, incarnation: str) -> None:
        """Forget all processes of an upstream but the one that answered.

        A request sent to one process and answered by another proves that the
        first one is dead.  Load reports may still name it for a while, and
        its blocks must not be expected meanwhile.
        """
        for name in list(self._engines):
            if name[0] == upstream and name[1] != incarnation:
                del self._engines[name]

    def forget(self, upstream: str, incarnation: str) -> None:
        """Forget an engine process that is known to be gone."""
        self._engines.pop((upstream, incarnation), None)

    def _engine(self, upstream: str, incarnation: str) -> _EngineIndex:
        name = (upstream, incarnation)
        engine = self._engines.get(name)
        if engine is None:
            engine = self._engines[name] = _EngineIndex()
            if len(self._engines) > self._max_engines:
                self._engines.popitem(last=False)
        self._engines.move_to_end(name)
        return engine

    def _advance(
        self, engine: _EngineIndex, sequence: int, now_s: float
    ) -> bool:
        if engine.sequence is not None and sequence <= engine.sequence:
            # A reconnected stream repeats events.  A repeated "stored" would
            # add blocks that have been evicted since.
            return False
        if engine.sequence is not None and sequence > engine.sequence + 1:
            self._shorten_age(engine, now_s)
        engine.sequence = sequence
        return True

    def _shorten_age(self, engine: _EngineIndex, now_s: float) -> None:
        # Lost events may have been evictions.  Blocks not used for a while
        # are the likeliest to be evicted, and expecting them would place
        # prompts on an engine that must compute them.  Recent ones are kept:
        # without them every hot prefix would be scattered over the engines.
        engine.ignored_before_s = max(
            engine.ignored_before_s, now_s - self._gap_max_age_s
        )

    def _oldest_s(self, engine: _EngineIndex, now_s: float) -> float:
        return max(engine.ignored_before_s, now_s - self._max_age_s)

    def _mark_used(
        self, engine: _EngineIndex, keys: Sequence[bytes], now_s: float
    ) -> None:
        # Innermost first: engines evict a block before its parent, so that
        # the parent must be kept longer here.
        for key in reversed(keys):
            engine.used_at_s[key] = now_s
            engine.used_at_s.move_to_end(key)
        while len(engine.used_at_s) > self._max_blocks:
            engine.used_at_s.popitem(last=False)


def _drop(engine: _EngineIndex, keys: Iterable[bytes]) -> None:
    for key in keys:
        engine.used_at_s.pop(key, None)
