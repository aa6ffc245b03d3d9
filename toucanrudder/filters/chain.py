"""Composes filters into one handler."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from toucanrudder.filters import exchange as exchanges

Handler = Callable[[exchanges.Exchange], Awaitable[web.StreamResponse]]
Filter = Callable[[exchanges.Exchange, Handler], Awaitable[web.StreamResponse]]


def chain(filters: tuple[Filter, ...], last: Handler) -> Handler:
    """Return a handler that passes through the filters in order.

    Parameters
    ----------
    filters : tuple of callable
        Each takes the exchange and the next handler.
    last : callable
        Gives the answer.

    Examples
    --------
    >>> import asyncio
    >>> from toucanrudder.filters import chain
    >>> async def add(exchange, call_next):
    ...     return 1 + await call_next(exchange)
    >>> async def last(exchange):
    ...     return exchange
    >>> asyncio.run(chain.chain((add, add), last)(40))
    42
    """
    handler = last
    for each in reversed(filters):
        handler = _bound(each, handler)
    return handler


def _bound(each: Filter, call_next: Handler) -> Handler:
    async def handle(exchange: exchanges.Exchange) -> web.StreamResponse:
        return await each(exchange, call_next)

    return handle
