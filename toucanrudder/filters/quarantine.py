"""Filter that refuses requests known to crash engines."""

from aiohttp import web

from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges


async def quarantine(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Refuse a quarantined request before it is queued."""
    exchange.state.standing(exchange.request)
    return await call_next(exchange)
