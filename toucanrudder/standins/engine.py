"""Stand-in for a model engine: HTTP side and life cycle."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import hashlib
import itertools
import os
import time
import uuid

import aiohttp
from aiohttp import web
import attrs

from toucanrudder.standins import batch as batching
from toucanrudder.standins import cache as prefix_cache
from toucanrudder.standins import faults as engine_faults
from toucanrudder.standins import options as engine_options
from toucanrudder.standins import orders as engine_orders
from toucanrudder.standins import output
from toucanrudder.standins import serving
from toucanrudder.standins import streams

LAG_PROBE_S = 0.01
HEARTBEAT_S = 1.0
EVENT_POLL_S = 0.02
NO_SALT = "0" * 32


@attrs.define(eq=False)
class Engine:
    """State and handlers of the stand-in."""

    options: engine_options.Options
    address: str = ""
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    faults: engine_faults.Faults = attrs.field(factory=engine_faults.Faults)
    accepted: int = 0
    imports: list[dict] = attrs.field(factory=list)
    exports: list[dict] = attrs.field(factory=list)
    journal: dict[str, batching.Run] = attrs.field(factory=dict)
    loop_lag_s: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=5000)
    )
    orders: engine_orders.Orders = attrs.field(init=False)
    events: prefix_cache.EventLog = attrs.field(init=False)
    cache: prefix_cache.PrefixCache = attrs.field(init=False)
    batch: batching.Batch = attrs.field(init=False)
    _reports: collections.deque = attrs.field(factory=collections.deque)

    def __attrs_post_init__(self) -> None:
        options = self.options
        self.events = prefix_cache.EventLog(
            self.incarnation, options.event_lag_s
        )
        self.cache = prefix_cache.PrefixCache(
            options.capacity_blocks, self.events
        )
        self.batch = batching.Batch(
            self.cache,
            options.slots,
            options.queue,
            options.prefill_tokens_per_s,
            options.decode_s_per_token,
            self._before_prefill,
        )
        self.orders = engine_orders.Orders(
            options.weights(),
            self.batch,
            self.cache,
            options.checks_fencing,
            options.platform,
            options.load_s,
        )

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=serving.MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/completions", self.answer),
                web.post(output.CHAT, self.answer),
                web.get("/v1/streams/{id}", self.resume),
                web.post("/v1/requests/{id}/cancel", self.cancel),
                web.get("/load", self.load),
                web.get("/cache/events", self.cache_events),
                web.post("/cache/import", self.cache_import),
                web.post("/cache/export", self.cache_export),
                web.post("/orders", self.order),
                web.put("/faults", self.put_faults),
                web.get("/journal", self.get_journal),
            ]
        )
        app.on_response_prepare.append(self._sign)
        return app

    async def _sign(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers.setdefault("X-Incarnation", self.incarnation)

    def leave(self) -> None:
        """Refuse new work from now on."""
        self.faults.leaving = True

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Accept a request and answer it."""
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        run = self._accept(request, body)
        if self.faults.fail_every and (
            self.accepted % self.faults.fail_every == 0
        ):
            self.batch.cancel(run)
            return web.json_response(
                {"error": "failed"}, status=500, headers=self._headers(run)
            )
        await asyncio.sleep(self.faults.late_s)
        for fault in ("stale_answers", "stale_refusals"):
            left = getattr(self.faults, fault)
            if left > 0:
                setattr(self.faults, fault, left - 1)
                streams.write_stale_answer(request, fault != "stale_answers")
        if body.get("stream"):
            return await self._stream(request, run, run.after, True)
        return await self._whole(request, run)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Send a stream again from after the event that the reader has."""
        run = self.journal.get(request.match_info["id"])
        after = int(request.query.get("after", "0"))
        gone = run is None or run.state == "cancelled" or after < run.after
        if not gone and run.ended:
            gone = time.time() - run.finished_s > self.options.keep_s
        if gone:
            return web.json_response(
                {"error": "unknown"},
                status=404,
                headers={
                    "X-Request-Id": request.match_info["id"],
                    "X-Incarnation": self.incarnation,
                },
            )
        return await self._stream(request, run, after, False)

    async def cancel(self, request: web.Request) -> web.Response:
        """Stop a run; unknown ones and ended ones are no error."""
        run = self.journal.get(request.match_info["id"])
        if run is not None:
            self.batch.cancel(run)
        return web.json_response({"state": run.state if run else "unknown"})

    async def load(self, _: web.Request) -> web.Response:
        """Answer with the load report as it was a while ago."""
        visible_s = time.time() - self.options.load_lag_s
        while len(self._reports) > 1 and self._reports[1]["at_s"] <= visible_s:
            self._reports.popleft()
        return web.json_response(self._reports[0])

    async def cache_events(self, request: web.Request) -> web.StreamResponse:
        """Send cache events for ever."""
        response = web.StreamResponse()
        response.content_type = "application/jsonl"
        await response.prepare(request)
        sequence = int(request.query.get("after", "0"))
        beat_s = 0.0
        while True:
            now_s = time.time()
            sequence, lines = self.events.after(sequence, now_s)
            if now_s - beat_s >= HEARTBEAT_S:
                lines += self.events.heartbeat(now_s)
                beat_s = now_s
            if lines:
                await response.write(lines)
            await asyncio.sleep(EVENT_POLL_S)

    async def cache_import(self, request: web.Request) -> web.Response:
        """Hold the leading blocks that the store of kept cache has."""
        body = await request.json()
        self.imports.append(body)
        kept = await self._vault("have", body["store"], body["blocks"])
        blocks = itertools.takewhile(kept.__contains__, body["blocks"])
        keys = [bytes.fromhex(block) for block in blocks]
        tokens = len(keys) * prefix_cache.BLOCK_TOKENS
        took_s = 0.0
        if self.options.import_tokens_per_s:
            took_s = tokens / self.options.import_tokens_per_s
            await asyncio.sleep(took_s)
        self.cache.store(keys, time.time())
        return web.json_response({"imported_tokens": tokens, "took_s": took_s})

    async def cache_export(self, request: web.Request) -> web.Response:
        """Copy those of the blocks that are held to the store."""
        body = await request.json()
        held = [
            block
            for block in body["blocks"]
            if bytes.fromhex(block) in self.cache.blocks
        ]
        self.exports.append(body)
        await self._vault("put", body["store"], held)
        tokens = len(held) * prefix_cache.BLOCK_TOKENS
        return web.json_response({"exported_tokens": tokens})

    async def _vault(
        self, call: str, store: str, blocks: list[str]
    ) -> set[str]:
        if not self.options.platform:
            return set(blocks)
        url = f"http://{self.options.platform}/vault/{store}/{call}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json={"blocks": blocks}) as response,
        ):
            return set((await response.json())["blocks"])

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order, unless its fencing number is old."""
        accepted = self.orders.take(await request.json())
        return web.json_response(
            {"fencing": self.orders.fencing}, status=200 if accepted else 409
        )

    async def put_faults(self, request: web.Request) -> web.Response:
        """Change what goes wrong; faults that are not named end."""
        try:
            self.faults = engine_faults.Faults(**await request.json())
        except TypeError as error:
            return web.json_response({"error": str(error)}, status=400)
        self.events.gap_every = self.faults.event_gap_every
        if self.faults.stall:
            self.batch.going.clear()
        else:
            self.batch.going.set()
        return web.Response(status=204)

    async def get_journal(self, _: web.Request) -> web.Response:
        """Answer with all runs, orders and imports, and the loop's lag."""
        lags_s = sorted(self.loop_lag_s) or [0.0]
        return web.json_response(
            {
                "incarnation": self.incarnation,
                "runs": [run.as_journal() for run in self.journal.values()],
                "orders": self.orders.journal,
                "imports": self.imports,
                "exports": self.exports,
                "loop_lag_p99_s": lags_s[int(len(lags_s) * 0.99)],
            }
        )

    async def observe(self) -> None:
        """Take load reports and measure the loop's lag, for ever."""
        while True:
            self._reports.append(self._report())
            due_s = time.monotonic() + LAG_PROBE_S
            await asyncio.sleep(LAG_PROBE_S)
            self.loop_lag_s.append(time.monotonic() - due_s)
            keep = 2 + int(2 * self.options.load_lag_s / LAG_PROBE_S)
            while len(self._reports) > keep:
                self._reports.popleft()

    def _report(self) -> dict:
        state = "leaving" if self.faults.leaving else "live"
        return {
            "name": self.options.name,
            "incarnation": self.incarnation,
            "at_s": time.time(),
            "state": "loading" if self.orders.loading else state,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting_runs),
            "queued_prefill_tokens": self.batch.queued_prefill_tokens,
            "prefill_tokens_per_s": self.options.prefill_tokens_per_s,
            "decode_s_per_token": self.options.decode_s_per_token,
            "slots": self.options.slots,
            "models": self.orders.versions(),
            "role": self.orders.role,
            "fencing": self.orders.fencing,
            "software_version": self.options.software_version,
        }

    def _refusal(
        self, request: web.Request, body: dict
    ) -> web.Response | None:
        if self.faults.refuse or self.faults.leaving:
            return serving.not_run(request, "leaving")
        if self.orders.loading:
            return serving.not_run(request, "loading weights")
        if body.get("model") not in self.orders.weights:
            return serving.not_run(request, "unknown model", 404)
        if request.headers.get("X-Request-Id") in self.journal:
            return serving.not_run(request, "request id used before", 409)
        if self.batch.full():
            return serving.not_run(request, "queue full")
        return None

    def _accept(self, request: web.Request, body: dict) -> batching.Run:
        self.accepted += 1
        headers = request.headers
        text = output.canonical_text(request.path, body)
        model = body["model"]
        version, adapter = self.orders.weights[model]
        salt = headers.get("X-Cache-Salt") or NO_SALT
        before = body.get("continue_from") or {"text": "", "events": 0}
        prompt = (text + before["text"]).encode()
        request_id = headers.get("X-Request-Id") or uuid.uuid4().hex
        run = batching.Run(
            request_id=request_id,
            priority=int(headers.get("X-Priority", "1")),
            keys=prefix_cache.block_keys(
                bytes.fromhex(salt), model, adapter, version, prompt
            ),
            prompt_tokens=prefix_cache.token_count(prompt),
            tokens=output.max_tokens(body),
            after=int(before["events"]),
            writer=output.Writer(
                request_id,
                request.path,
                model,
                hashlib.sha256(text.encode()).hexdigest(),
                int(time.time()),
            ),
            salt=salt,
            idempotency_key=headers.get("Idempotency-Key", ""),
            weights_version=version,
            prompt_text=text if self.faults.crash_marker else "",
        )
        self.journal[request_id] = run
        self.batch.submit(run)
        return run

    def _before_prefill(self, run: batching.Run) -> None:
        marker = self.faults.crash_marker
        if marker and marker in run.prompt_text:
            os._exit(streams.CRASH_STATUS)

    def _headers(self, run: batching.Run) -> dict[str, str]:
        request_id = run.request_id
        if self.faults.crossed_answers > 0:
            self.faults.crossed_answers -= 1
            request_id = streams.OTHER_REQUEST
        return {
            "X-Request-Id": request_id,
            "X-Incarnation": self.incarnation,
            "X-Weights-Version": run.weights_version,
        }

    async def _stream(
        self, request: web.Request, run: batching.Run, after: int, first: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(run))
        response.content_type = "text/event-stream"
        run.readers += 1
        try:
            await response.prepare(request)
            await streams.write_events(
                response, run, after, self.faults, first
            )
        except streams.EndsEarly:
            pass
        except ConnectionError:
            if request.transport is not None:
                request.transport.abort()
        finally:
            self._reader_left(run)
        return response

    async def _whole(
        self, request: web.Request, run: batching.Run
    ) -> web.Response:
        run.readers += 1
        try:
            while not run.ended:
                changed = run.changed
                if request.transport is None:
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await changed.wait()
        finally:
            self._reader_left(run)
        if run.state == "cancelled":
            return web.json_response(
                {"error": "cancelled"}, status=500, headers=self._headers(run)
            )
        headers = self._headers(run)
        answer = run.writer.whole(run.tokens, run.after + 1, run.usage)
        if headers["X-Request-Id"] == streams.OTHER_REQUEST:
            answer["id"] = f"chatcmpl-{streams.OTHER_REQUEST}"
        return web.json_response(answer, headers=headers)

    def _reader_left(self, run: batching.Run) -> None:
        run.readers -= 1
        if not run.ended and run.readers == 0:
            asyncio.get_running_loop().call_later(
                self.options.resume_window_s, self._cancel_unread, run
            )

    def _cancel_unread(self, run: batching.Run) -> None:
        if run.readers == 0:
            self.batch.cancel(run)


@contextlib.asynccontextmanager
async def opened(
    host: str = "127.0.0.1", port: int = 0, **options: object
) -> AsyncIterator[Engine]:
    """Serve an engine while the block runs; its `address` is set."""
    engine = Engine(engine_options.Options(**options))
    async with (
        batching.in_background(engine.batch.work(), engine.observe()),
        serving.served(
            engine.application(), host, port, cancel_handlers=True
        ) as address,
    ):
        engine.address = address
        yield engine


def main(host: str = "127.0.0.1", port: int = 0, **options: object) -> None:
    """Run the engine stand-in as a process; options as `Options`."""
    serving.run(lambda: opened(host, port, **options), "engine")
