"""Many light engines in one process: reports, heartbeats and streams."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import itertools
import json
import os
import time

from aiohttp import web
import attrs

BATCHES_PER_S = 20
INCARNATION = "light"
MODEL = "model-0"
WEIGHTS = "2026-0"


@attrs.define
class Engines:
    """Light engines, one a port of the same application.

    Parameters
    ----------
    events : int
        Token events of each streamed answer.
    pace_s : float
        Seconds between two of them.
    cache_events_per_s : float
        Cache events that each engine publishes.
    addresses : list of str
        ``IP:port`` of each engine.
    """

    events: int = 100
    pace_s: float = 0.0
    cache_events_per_s: float = 0.0
    addresses: list[str] = attrs.field(factory=list)

    async def load(self, request: web.Request) -> web.Response:
        """Answer with an idle engine's report."""
        port = request.transport.get_extra_info("sockname")[1]
        return web.json_response(
            {
                "name": f"light-{port}",
                "incarnation": INCARNATION,
                "at_s": time.time(),
                "state": "live",
                "running": 0,
                "waiting": 0,
                "queued_prefill_tokens": 0,
                "prefill_tokens_per_s": 10000.0,
                "decode_s_per_token": 0.02,
                "slots": 64,
                "models": {MODEL: WEIGHTS},
                "role": "serve",
                "fencing": 0,
            }
        )

    async def cache_events(self, request: web.Request) -> web.StreamResponse:
        """Send events at the chosen rate, and heartbeats, for ever."""
        response = web.StreamResponse()
        sequence = 0
        due = 0.0
        with contextlib.suppress(ConnectionResetError):
            await response.prepare(request)
            for turn in itertools.count():
                if turn % BATCHES_PER_S == 0:
                    await response.write(_line("heartbeat", sequence))
                due += self.cache_events_per_s / BATCHES_PER_S
                lines = []
                while sequence < int(due):
                    sequence += 1
                    blocks = [os.urandom(16).hex() for _ in range(4)]
                    lines.append(_line("stored", sequence, blocks))
                if lines:
                    await response.write(b"".join(lines))
                await asyncio.sleep(1 / BATCHES_PER_S)
        return response

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Send the events of one answer, each in a write of its own."""
        await request.read()
        identity = request.headers["X-Request-Id"]
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": identity,
                "X-Incarnation": INCARNATION,
                "X-Weights-Version": WEIGHTS,
            }
        )
        await response.prepare(request)
        for number in range(1, self.events + 1):
            await response.write(_event(identity, number, self.events))
            await asyncio.sleep(self.pace_s)
        await response.write(b"id: %d\ndata: [DONE]\n\n" % (self.events + 1))
        return response

    def application(self) -> web.Application:
        """Return the application that all ports share."""
        application = web.Application(client_max_size=2**24)
        application.add_routes(
            [
                web.get("/load", self.load),
                web.get("/cache/events", self.cache_events),
                web.post("/v1/completions", self.complete),
            ]
        )
        return application


def _line(kind: str, sequence: int, blocks: Sequence[str] = ()) -> bytes:
    event = {
        "seq": sequence,
        "incarnation": INCARNATION,
        "kind": kind,
        "blocks": list(blocks),
    }
    return json.dumps(event).encode() + b"\n"


def _event(identity: str, number: int, count: int) -> bytes:
    chunk = {
        "id": identity,
        "object": "text_completion",
        "created": 1,
        "model": MODEL,
        "choices": [{"index": 0, "text": " word", "finish_reason": None}],
    }
    if number == count:
        chunk["choices"][0]["finish_reason"] = "length"
        chunk["usage"] = {
            "prompt_tokens": 10,
            "completion_tokens": count,
            "total_tokens": count + 10,
            "prompt_tokens_details": {"cached_tokens": 0},
        }
    return b"id: %d\ndata: %s\n\n" % (number, json.dumps(chunk).encode())


@contextlib.asynccontextmanager
async def serving(count: int, **options: float) -> AsyncIterator[Engines]:
    """Serve `count` light engines in this process during the block.

    Options are the attributes of `Engines`.
    """
    engines = Engines(**options)
    runner = web.AppRunner(
        engines.application(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    try:
        for _ in range(count):
            await web.TCPSite(runner, "127.0.0.1", 0).start()
        engines.addresses += [
            f"{host}:{port}" for host, port in runner.addresses
        ]
        yield engines
    finally:
        await runner.cleanup()
