"""Filter that queues a request until it is admitted."""

from aiohttp import web

from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges


async def admit(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Wait for admission and hold the admitted slot while it runs."""
    request = exchange.request
    async with exchange.state.admission.admitted(
        exchange.organisation, request.priority, request.first_token_by_s
    ):
        return await call_next(exchange)
