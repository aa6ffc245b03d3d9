"""Composition of filters into one request handler."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from toucanrudder.filters import exchange as exchanges

Handler = Callable[[exchanges.Exchange], Awaitable[web.StreamResponse]]
Filter = Callable[[exchanges.Exchange, Handler], Awaitable[web.StreamResponse]]


def compose(filters: tuple[Filter, ...], final: Handler) -> Handler:
    """Return a handler that runs the filters in order, then `final`.

    Parameters
    ----------
    filters : tuple of callable
        Each is called with the exchange and the next handler.
    final : callable
        Innermost handler; returns the response.

    Examples
    --------
    >>> import asyncio
    >>> from toucanrudder.filters import chain
    >>> async def add(exchange, call_next):
    ...     return 1 + await call_next(exchange)
    >>> async def final(exchange):
    ...     return exchange
    >>> asyncio.run(chain.compose((add, add), final)(40))
    42
    """
    handler = final
    for request_filter in reversed(filters):
        handler = _bind(request_filter, handler)
    return handler


def _bind(request_filter: Filter, call_next: Handler) -> Handler:
    async def handle(exchange: exchanges.Exchange) -> web.StreamResponse:
        return await request_filter(exchange, call_next)

    return handle
