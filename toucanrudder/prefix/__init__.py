"""Identity of prompt prefixes, what is cached where, and what is hot."""

from toucanrudder.prefix.beliefs import Beliefs
from toucanrudder.prefix.heat import Heat

__all__ = ("Beliefs", "Heat")
