"""The least that a relay on the same library can do."""

from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

UPSTREAM = web.AppKey("upstream", str)
SESSION = web.AppKey("session", aiohttp.ClientSession)


async def _relay(request: web.Request) -> web.StreamResponse:
    app = request.app
    async with app[SESSION].post(
        f"http://{app[UPSTREAM]}{request.path}",
        data=await request.read(),
        headers={"Content-Type": "application/json"},
    ) as answer:
        response = web.StreamResponse(status=answer.status)
        response.content_type = answer.content_type
        await response.prepare(request)
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response


async def _session(app: web.Application) -> AsyncIterator[None]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        app[SESSION] = session
        yield


def application(upstream: str) -> web.Application:
    """Return a relay to `upstream`, an ``IP:port``."""
    app = web.Application(client_max_size=2**24)
    app[UPSTREAM] = upstream
    app.cleanup_ctx.append(_session)
    app.router.add_post("/{path:.*}", _relay)
    return app
