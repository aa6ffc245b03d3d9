"""The chain of filters that each request passes through."""

from toucanrudder.filters.exchange import Exchange

__all__ = ("Exchange",)
