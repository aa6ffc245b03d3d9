"""Refuses requests that have crashed the engines which ran them."""

from aiohttp import web

from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges


async def quarantine(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Refuse a quarantined request before it waits for anything."""
    exchange.state.standing(exchange.request)
    return await call_next(exchange)
