"""What each engine is believed to hold in its prefix cache.

Entries are kept for an engine process, named by upstream and incarnation,
and looked up by exactly that name.  The keys themselves depend on the
organisation and the weights (`toucanrudder.prefix.identity`).  Nothing
believed of a dead engine, another organisation or older weights can thus
be found; no clean-up has to come in time for that.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from toucanrudder.prefix import identity

SHARE_SMOOTHING = 0.05


@attrs.define
class Accuracy:
    """How beliefs compared with the truth that answers carried.

    Parameters
    ----------
    expected_tokens : int
        Tokens expected to be cached when requests were sent.
    false_hit_tokens : int
        Those of them that the engine had to compute.
    missed_hit_tokens : int
        Tokens cached although nobody expected them.
    """

    expected_tokens: int = 0
    false_hit_tokens: int = 0
    missed_hit_tokens: int = 0

    @property
    def false_hit_rate(self) -> float:
        """False hits as a share of expected tokens."""
        if not self.expected_tokens:
            return 0.0
        return self.false_hit_tokens / self.expected_tokens


@attrs.define
class _EngineIndex:
    # From key to the time the block was last known to be used, oldest
    # first.
    used_at_s: collections.OrderedDict[bytes, float] = attrs.field(
        factory=collections.OrderedDict
    )
    sequence: int | None = None
    computed_share: float = 1.0
    distrusted_before_s: float = float("-inf")


class PrefixCacheIndex:
    """Entries of all engines.

    Parameters
    ----------
    max_blocks_per_engine : int
        Blocks remembered of one engine; the longest unused is dropped.
    max_engines : int
        Engine processes remembered.
    max_age_s : float
        Age after which an unconfirmed belief is no longer held.
    gap_max_age_s : float
        The same for beliefs from before a gap in the events.

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
        return sum(len(each.used_at_s) for each in self._engines.values())

    def expected_cached_tokens(
        self,
        upstream: str,
        incarnation: str,
        keys: Sequence[bytes],
        now_s: float,
    ) -> int:
        """Return how many leading prompt tokens are believed cached.

        Parameters
        ----------
        upstream, incarnation : str
            The engine process.
        keys : sequence of bytes
            Identities of the prompt's blocks, outermost first.
        now_s : float
            Present monotonic time.

        Returns
        -------
        int
            Tokens of the unbroken run of believed blocks from the start.
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
        """Note that a prompt was sent, so its blocks will be cached."""
        self._use(self._engine(upstream, incarnation), keys, now_s)

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
        """Learn from an answer how much of the prompt was cached.

        Parameters
        ----------
        upstream, incarnation : str
            As the answer names them; the incarnation may differ from the
            one the request was sent to.
        keys : sequence of bytes
            Identities of the prompt's blocks.
        expected_tokens : int
            `Decision.expected_hit_tokens`.
        cached_tokens : int
            ``usage.prompt_tokens_details.cached_tokens`` of the answer.
        now_s : float
            Present monotonic time.
        prompt_tokens : int
            Length of the prompt; 0 if unknown.
        """
        accuracy = self.accuracy
        accuracy.expected_tokens += expected_tokens
        accuracy.false_hit_tokens += max(0, expected_tokens - cached_tokens)
        accuracy.missed_hit_tokens += max(0, cached_tokens - expected_tokens)
        # The engine has just computed or used each block of the prompt.
        engine = self._engine(upstream, incarnation)
        self._use(engine, keys, now_s)
        if prompt_tokens:
            share = 1.0 - min(1.0, cached_tokens / prompt_tokens)
            change = share - engine.computed_share
            engine.computed_share += SHARE_SMOOTHING * change

    def computed_share(self, upstream: str, incarnation: str) -> float:
        """Return the part of late prompts that the engine had to compute.

        Load reports count queued prompts whole; this tells how much work
        they stand for.  1 while nothing is known.
        """
        engine = self._engines.get((upstream, incarnation))
        return 1.0 if engine is None else engine.computed_share

    def withdraw_dispatch(
        self, upstream: str, incarnation: str, keys: Sequence[bytes]
    ) -> None:
        """Withdraw what a dispatch noted: the prompt was not computed."""
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
        """Take a ``stored`` event."""
        engine = self._engine(upstream, incarnation)
        if self._advance(engine, sequence, now_s):
            self._use(engine, keys, now_s)

    def evicted(
        self,
        upstream: str,
        incarnation: str,
        sequence: int,
        keys: Sequence[bytes],
        now_s: float,
    ) -> None:
        """Take an ``evicted`` event."""
        engine = self._engine(upstream, incarnation)
        if self._advance(engine, sequence, now_s):
            _drop(engine, keys)

    def cleared(
        self, upstream: str, incarnation: str, sequence: int, now_s: float
    ) -> None:
        """Take a ``cleared`` event: the engine's cache is empty."""
        engine = self._engine(upstream, incarnation)
        if self._advance(engine, sequence, now_s):
            engine.used_at_s.clear()

    def heartbeat(
        self, upstream: str, incarnation: str, sequence: int, now_s: float
    ) -> None:
        """Take a ``heartbeat`` with the engine's latest sequence number."""
        engine = self._engine(upstream, incarnation)
        if engine.sequence is None:
            engine.sequence = sequence
        elif sequence > engine.sequence:
            engine.sequence = sequence
            self._distrust(engine, now_s)

    def forget_replaced(self, upstream: str, incarnation: str) -> None:
        """Forget all but the process that has just answered.

        A request that was sent to one process and answered by another
        proves the first one dead.  Load reports may still name it for a
        while; what it held must not be credited meanwhile.
        """
        for name in list(self._engines):
            if name[0] == upstream and name[1] != incarnation:
                del self._engines[name]

    def forget(self, upstream: str, incarnation: str) -> None:
        """Free what is held of an engine process known to be gone."""
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
            # A reconnected stream repeats old lines.  An old "stored"
            # would bring back blocks that were evicted since.
            return False
        if engine.sequence is not None and sequence > engine.sequence + 1:
            self._distrust(engine, now_s)
        engine.sequence = sequence
        return True

    def _distrust(self, engine: _EngineIndex, now_s: float) -> None:
        # Lost lines may have been evictions.  Blocks not seen in use for
        # a while are the likeliest victims, and trusting them would send
        # prompts to an engine that must compute them; recent ones stay,
        # as forgetting all of them would scatter every hot prefix.
        engine.distrusted_before_s = max(
            engine.distrusted_before_s, now_s - self._gap_max_age_s
        )

    def _oldest_s(self, engine: _EngineIndex, now_s: float) -> float:
        return max(engine.distrusted_before_s, now_s - self._max_age_s)

    def _use(
        self, engine: _EngineIndex, keys: Sequence[bytes], now_s: float
    ) -> None:
        # Innermost first: engines evict a block before its parent, so the
        # parent is the one to remember longer.
        for key in reversed(keys):
            engine.used_at_s[key] = now_s
            engine.used_at_s.move_to_end(key)
        while len(engine.used_at_s) > self._max_blocks:
            engine.used_at_s.popitem(last=False)


def _drop(engine: _EngineIndex, keys: Iterable[bytes]) -> None:
    for key in keys:
        engine.used_at_s.pop(key, None)
