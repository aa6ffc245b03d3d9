"""Filter that applies the organisation's rate limit."""

from aiohttp import web

from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges


async def check_rate_limit(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Refuse the request if the organisation is above its rate."""
    state = exchange.state
    now_s = state.now_s()
    state.limiter.check(
        exchange.organisation, state.live_routers(now_s), now_s
    )
    return await call_next(exchange)
