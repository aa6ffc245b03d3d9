"""When to fetch kept KV cache rather than compute a prefix again."""

from collections.abc import Sequence

import attrs

from toucanrudder.placement import types
from toucanrudder.prefix import identity


@attrs.frozen
class ImportCost:
    """How long an import takes.

    Parameters
    ----------
    start_s : float
        Fixed time of one import.
    tokens_per_s : float
        Speed after that.
    """

    start_s: float = 0.05
    tokens_per_s: float = 100000.0

    def duration_s(self, tokens: int) -> float:
        """Return the expected time to import that many tokens.

        Examples
        --------
        >>> ImportCost(start_s=0.1, tokens_per_s=1000.0).duration_s(500)
        0.6
        """
        return self.start_s + tokens / self.tokens_per_s


@attrs.frozen
class Import:
    """An order to fetch blocks into an engine before a request.

    Parameters
    ----------
    upstream, incarnation : str
        The engine process it was decided for.
    blocks : tuple of bytes
        Keys of the blocks, outermost first.
    tokens : int
        Tokens they hold.
    saved_s : float
        Expected gain over recomputation.
    """

    upstream: str
    incarnation: str
    blocks: tuple[bytes, ...]
    tokens: int
    saved_s: float


def plan_import(
    upstream: types.UpstreamView,
    query: types.Query,
    kept_keys: Sequence[bytes],
    cost: ImportCost,
) -> Import | None:
    """Return what to import before the request, or None.

    Parameters
    ----------
    upstream : types.UpstreamView
        The engine chosen for the request.
    query : types.Query
        The request.
    kept_keys : sequence of bytes
        Those of the prompt's keys believed to be in the store of kept
        cache.  Keys depend on the organisation and the weights, so what
        others or older weights left there cannot be named.
    cost : ImportCost
        Measured cost of imports.
    """
    held = upstream.expected_cached_tokens // identity.BLOCK_TOKENS
    kept = set(kept_keys)
    blocks = []
    # A block is of use only if every block before it is there: the first
    # one missing in the store ends the import.
    for key in query.prefix_keys[held:]:
        if key not in kept:
            break
        blocks.append(key)
    tokens = len(blocks) * identity.BLOCK_TOKENS
    recompute_s = tokens / max(1.0, upstream.prefill_tokens_per_s)
    saved_s = recompute_s - cost.duration_s(tokens)
    if not blocks or saved_s <= 0:
        return None
    return Import(
        upstream.name, upstream.incarnation, tuple(blocks), tokens, saved_s
    )
