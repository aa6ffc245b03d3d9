"""Identity of prompt prefixes, what is cached where, and what is hot."""

from toucanrudder.prefix.cache_index import PrefixCacheIndex
from toucanrudder.prefix.heat import Heat

__all__ = ("Heat", "PrefixCacheIndex")
