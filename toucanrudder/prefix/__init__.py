"""Identity of prompt prefixes, what is cached where, and what is hot."""

from toucanrudder.prefix.cache_index import PrefixCacheIndex
from toucanrudder.prefix.request_rates import PrefixRates

__all__ = ("PrefixCacheIndex", "PrefixRates")
