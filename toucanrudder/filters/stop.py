"""Filter: what happens to requests while the router stops."""

from aiohttp import web

from toucanrudder import clock
from toucanrudder import stops
from toucanrudder.filters import chain
from toucanrudder.filters import exchange as exchanges

#: Key under which a request holds what keeps it from being ended.
_KEEP = web.RequestKey("keep", object)


async def end_with_the_router(
    exchange: exchanges.Exchange, call_next: chain.Handler
) -> web.StreamResponse:
    """Refuse what may outlast the stop, and answer what does."""
    state = exchange.state
    if state.stopping and not _finishes_before_stop(exchange):
        raise stops.stopping_error()
    async with state.stop_limits.limited(
        lambda: stops.cut_off_error(1)
    ) as keep:
        exchange.http[_KEEP] = keep
        return await call_next(exchange)


async def keep_begun_answer(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Keep an answer from being ended by another one behind its head."""
    keep = request.get(_KEEP)
    if keep is not None:
        keep()


def _finishes_before_stop(exchange: exchanges.Exchange) -> bool:
    state, now_s = exchange.state, clock.now_s()
    if now_s - state.stopping_since_s <= state.conf.router.drain_s:
        return True
    return longest_s(exchange) <= state.stop_at_s - now_s


def longest_s(exchange: exchanges.Exchange) -> float:
    """Return for how long a request may run before its answer begins."""
    document = exchange.document
    name = exchange.http.match_info.get("name")
    if name is None:
        return document.policy.first_token_deadline_s
    timeouts_s = {each.name: each.timeout_s for each in document.services}
    return timeouts_s.get(name, 0.0)
