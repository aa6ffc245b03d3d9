"""Stand-in for a plain HTTP service that counts what it has run."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import hashlib
import time
import uuid

from aiohttp import web
import attrs

from toucanrudder.standins import serving

FAILURES = ("", "before", "after", "lost_answer")


@attrs.define
class Faults:
    """What goes wrong.

    Parameters
    ----------
    fail : str
        ``"before"`` refuses with a proof that nothing ran, ``"after"``
        runs and answers 500, ``"lost_answer"`` runs and breaks the
        connection.
    times : int or None
        Calls it still strikes; None for no end.
    delay_s : float
        Time that each run takes.
    leaving : bool
        Refuse new work as a leaving instance does.
    """

    fail: str = attrs.field(
        default="", validator=attrs.validators.in_(FAILURES)
    )
    times: int | None = None
    delay_s: float = 0.0
    leaving: bool = False

    def take(self) -> str:
        """Return the failure of the next call and use it up by one."""
        if not self.fail or self.times == 0:
            return ""
        if self.times is not None:
            self.times -= 1
        return self.fail


@attrs.define
class Service:
    """State and handlers of the stand-in."""

    name: str = "service"
    slots: int = 8
    delay_s: float = 0.0
    address: str = ""
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    faults: Faults = attrs.field(factory=Faults)
    journal: list[dict] = attrs.field(factory=list)
    running: int = 0

    def __attrs_post_init__(self) -> None:
        self.faults.delay_s = self.delay_s

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=serving.MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/load", self.load),
                web.put("/faults", self.put_faults),
                web.get("/journal", self.get_journal),
                web.route("*", "/echo", self.echo),
                web.route("*", "/{path:.*}", self.call),
            ]
        )
        return app

    def leave(self) -> None:
        """Refuse new work from now on."""
        self.faults.leaving = True

    async def load(self, _: web.Request) -> web.Response:
        """Answer with the load report."""
        return web.json_response(
            {
                "name": self.name,
                "incarnation": self.incarnation,
                "at_s": time.time(),
                "state": "leaving" if self.faults.leaving else "live",
                "running": self.running,
                "waiting": 0,
                "slots": self.slots,
            }
        )

    async def put_faults(self, request: web.Request) -> web.Response:
        """Change what goes wrong."""
        try:
            self.faults = Faults(**await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.Response(status=204)

    async def get_journal(self, _: web.Request) -> web.Response:
        """Answer with all runs, and with counts by key and by body."""
        by_key = collections.Counter(run["key"] for run in self.journal)
        by_body = collections.Counter(
            run["body_sha256"] for run in self.journal
        )
        return web.json_response(
            {"runs": self.journal, "by_key": by_key, "by_body": by_body}
        )

    async def echo(self, request: web.Request) -> web.StreamResponse:
        """Send each part of the body back as it arrives."""
        response = web.StreamResponse(headers=self._headers(request))
        await response.prepare(request)
        async for part in request.content.iter_any():
            await response.write(part)
        return response

    async def call(self, request: web.Request) -> web.Response:
        """Run one call and answer with what was run."""
        body = await request.read()
        failure = self.faults.take()
        if self.faults.leaving or failure == "before":
            return serving.not_run(request, "not now")
        run = self._start(request, body)
        self.running += 1
        try:
            await asyncio.sleep(self.faults.delay_s)
        finally:
            self.running -= 1
        run["finished_s"] = time.time()
        if failure == "after":
            return web.json_response({"error": "failed"}, status=500)
        if failure == "lost_answer" and request.transport is not None:
            request.transport.abort()
        return web.json_response(run, headers=self._headers(request))

    def _start(self, request: web.Request, body: bytes) -> dict:
        run = {
            "run": len(self.journal) + 1,
            "service": self.name,
            "request_id": request.headers.get("X-Request-Id", ""),
            "key": request.headers.get("Idempotency-Key", ""),
            "method": request.method,
            "path": request.path_qs,
            "body": body.decode(errors="replace")[:1000],
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "started_s": time.time(),
            "finished_s": None,
        }
        self.journal.append(run)
        return run

    def _headers(self, request: web.Request) -> dict[str, str]:
        return {
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
            "X-Incarnation": self.incarnation,
        }


@contextlib.asynccontextmanager
async def opened(
    host: str = "127.0.0.1", port: int = 0, **options: object
) -> AsyncIterator[Service]:
    """Serve a service while the block runs; its `address` is set."""
    service = Service(**options)
    async with serving.served(service.application(), host, port) as address:
        service.address = address
        yield service


def main(host: str = "127.0.0.1", port: int = 0, **options: object) -> None:
    """Run the service stand-in as a process; options as `Service`."""
    serving.run(lambda: opened(host, port, **options), "service")
