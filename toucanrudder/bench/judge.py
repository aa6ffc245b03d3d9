"""Judges cache use from the engines' journals.

An engine's cache is replayed from its journal: which prompts it ran, in
which order.  At the start of each run the replay tells which blocks any
live engine held.  Blocks that a run computed although a live engine held
them are wasted.  The replay is checked against the cached tokens that the
engines recorded themselves.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import itertools

import attrs

from toucanrudder.prefix import identity

KeysOf = Callable[[dict], Sequence[bytes]]


@attrs.frozen
class EngineProcess:
    """The journal of one engine process.

    Parameters
    ----------
    runs : tuple of dict
        Its runs.
    ended_s : float
        Wall-clock time of its death; infinite if it lived.
    """

    runs: tuple[dict, ...]
    ended_s: float = float("inf")


@attrs.define
class CacheUse:
    """Tokens of the runs in the measured time.

    Parameters
    ----------
    prompt_tokens : int
        Of all prompts.
    cached_tokens : int
        Those that came from the engine's cache.
    wasted_tokens : int
        Those computed although some live engine held them.
    runs : int
        Runs counted.
    mismatched_runs : int
        Runs for which the replay does not agree with the engine.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    runs: int = 0
    mismatched_runs: int = 0

    @property
    def hit_rate(self) -> float:
        """Token-weighted share of prompts that came from caches."""
        return self.cached_tokens / max(1, self.prompt_tokens)

    @property
    def mismatch_share(self) -> float:
        """Share of the runs that the replay got wrong."""
        return self.mismatched_runs / max(1, self.runs)


class _Replay:
    """The cache of one engine process while its journal is replayed."""

    def __init__(self, process: EngineProcess, capacity_blocks: int):
        self.ended_s = process.ended_s
        self._capacity = capacity_blocks
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._weights = ""

    def holds(self, key: bytes, now_s: float) -> bool:
        return now_s < self.ended_s and key in self._blocks

    def leading(self, keys: Sequence[bytes], weights: str) -> int:
        if weights != self._weights:
            self._blocks.clear()
            self._weights = weights
        held = 0
        for key in keys:
            if key not in self._blocks:
                break
            held += 1
        for key in reversed(keys[:held]):
            self._blocks.move_to_end(key)
        return held

    def store(self, keys: Sequence[bytes]) -> None:
        for key in reversed(keys):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


def judge(
    processes: Iterable[EngineProcess],
    keys_of: KeysOf,
    *,
    capacity_blocks: int,
    prefill_tokens_per_s: float,
    window_s: tuple[float, float],
) -> CacheUse:
    """Return the cache use of all runs that started in the window.

    Parameters
    ----------
    processes : iterable of EngineProcess
        Engine processes of one model.
    keys_of : callable
        Returns the block keys of a journal entry's prompt.
    capacity_blocks, prefill_tokens_per_s
        As the engines were started with.
    window_s : tuple of float
        Wall-clock times between which a counted run started.
    """
    replays = []
    events: list[tuple] = []
    order = itertools.count()
    for process in processes:
        replay = _Replay(process, capacity_blocks)
        replays.append(replay)
        for run in process.runs:
            if run["started_s"] is not None:
                entry = (run["started_s"], 1, next(order), replay, run)
                events.append(entry)
    heapq.heapify(events)
    use = CacheUse()
    while events:
        now_s, starts, _, replay, run = heapq.heappop(events)
        keys = keys_of(run)
        if not starts:
            replay.store(keys)
            continue
        held = replay.leading(keys, run["weights_version"])
        others = [each for each in replays if each is not replay]
        if window_s[0] <= now_s < window_s[1]:
            _count(use, run, held, keys, others, now_s)
        stored_s = now_s + run["prefill_tokens"] / prefill_tokens_per_s
        if _was_stored(run, stored_s):
            # Stores sort before starts: the next run waited for them.
            entry = (stored_s, 0, next(order), replay, run)
            heapq.heappush(events, entry)
    return use


def _count(use, run, held, keys, others, now_s):
    use.runs += 1
    use.prompt_tokens += run["prompt_tokens"]
    use.cached_tokens += run["cached_tokens"]
    use.mismatched_runs += held * identity.BLOCK_TOKENS != run["cached_tokens"]
    cached = run["cached_tokens"] // identity.BLOCK_TOKENS
    wasted = sum(
        any(other.holds(key, now_s) for other in others)
        for key in keys[cached:]
    )
    use.wasted_tokens += wasted * identity.BLOCK_TOKENS


def _was_stored(run: dict, stored_s: float) -> bool:
    if run["state"] != "cancelled":
        return True
    return run["finished_s"] is not None and run["finished_s"] >= stored_s
