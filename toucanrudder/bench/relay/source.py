"""A source of token events that costs next to nothing to produce.

An engine stand-in renders each event; at a hundred thousand events a
second it would be the bottleneck that the bench measures.  This one fills
numbers into a prepared text.
"""

import asyncio
import json

from aiohttp import web

INCARNATION = "source"
MODEL = "demo"
EVENTS_PER_WRITE = 8


def rendered(identity: str, first: int, last: int) -> bytes:
    """Return the events from `first` to `last` of a stream, both in."""
    chunk = {
        "id": f"cmpl-{identity}",
        "object": "text_completion",
        "created": 0,
        "model": "demo",
        "choices": [{"index": 0, "text": "word ", "finish_reason": None}],
    }
    text = f"data: {json.dumps(chunk)}\n\n"
    return "".join(
        f"id: {number}\n{text}" for number in range(first, last + 1)
    ).encode()


async def _stream(request: web.Request) -> web.StreamResponse:
    body = await request.json()
    identity = request.headers.get("X-Request-Id", "none")
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "X-Request-Id": identity,
            "X-Incarnation": INCARNATION,
        }
    )
    await response.prepare(request)
    events = body["max_tokens"]
    each = body.get("events_per_write", EVENTS_PER_WRITE)
    pause_s = body.get("pause_s", 0.0)
    for first in range(1, events + 1, each):
        last = min(events, first + each - 1)
        await response.write(rendered(identity, first, last))
        if pause_s:
            await asyncio.sleep(pause_s)
    await response.write(f"id: {events + 1}\ndata: [DONE]\n\n".encode())
    await response.write_eof()
    return response


async def _load(request: web.Request) -> web.Response:
    return web.json_response(
        {"name": "source", "incarnation": INCARNATION, "slots": 100_000}
    )


async def _events(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        beat = {"seq": 0, "incarnation": INCARNATION, "kind": "heartbeat"}
        await response.write(json.dumps(beat).encode() + b"\n")
        await asyncio.sleep(1)


def application() -> web.Application:
    """Return the source's application."""
    app = web.Application(client_max_size=2**24)
    app.router.add_post("/v1/completions", _stream)
    app.router.add_get("/load", _load)
    app.router.add_get("/cache/events", _events)
    return app
