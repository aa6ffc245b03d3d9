"""Prompt prefixes: identities, cache locations and request rates."""

from toucanrudder.prefix.cache_index import PrefixCacheIndex
from toucanrudder.prefix.request_rates import PrefixRates

__all__ = ("PrefixCacheIndex", "PrefixRates")
