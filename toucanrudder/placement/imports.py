"""Decision to import stored KV cache instead of recomputing a prefix."""

from collections.abc import Sequence

import attrs

from toucanrudder.placement import types
from toucanrudder.prefix import identity


@attrs.frozen
class ImportCost:
    """Time that an import of KV cache takes.

    Parameters
    ----------
    start_s : float
        Fixed seconds for each import.
    tokens_per_s : float
        Tokens a second after that.
    """

    start_s: float = 0.05
    tokens_per_s: float = 100000.0

    def duration_s(self, tokens: int) -> float:
        """Return the expected seconds to import that many tokens.

        Examples
        --------
        >>> ImportCost(start_s=0.1, tokens_per_s=1000.0).duration_s(500)
        0.6
        """
        return self.start_s + tokens / self.tokens_per_s


@attrs.frozen
class Import:
    """Blocks of KV cache to import into an engine before a request.

    Parameters
    ----------
    upstream, incarnation : str
        The engine process.
    blocks : tuple of bytes
        Keys of the blocks, outermost first.
    tokens : int
        Tokens in the blocks.
    saved_s : float
        Expected seconds saved against recomputation.
    """

    upstream: str
    incarnation: str
    blocks: tuple[bytes, ...]
    tokens: int
    saved_s: float


def plan_import(
    upstream: types.UpstreamView,
    query: types.Query,
    stored_keys: Sequence[bytes],
    cost: ImportCost,
) -> Import | None:
    """Return the import that saves time before the request, or None.

    Parameters
    ----------
    upstream : types.UpstreamView
        The engine chosen for the request.
    query : types.Query
        The request.
    stored_keys : sequence of bytes
        Those of the prompt's keys expected in the cache store.  Keys
        depend on the organisation and the weights, so blocks of others or
        of older weights never match.
    cost : ImportCost
        Time that an import takes.
    """
    cached_blocks = upstream.expected_cached_tokens // identity.BLOCK_TOKENS
    stored = set(stored_keys)
    blocks = []
    # A block is usable only if every block before it is cached: the first
    # one that is missing in the store ends the import.
    for key in query.prefix_keys[cached_blocks:]:
        if key not in stored:
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
