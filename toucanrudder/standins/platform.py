"""Stand-in for the platform: objects, instance list and weight store."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import json
import time

from aiohttp import web
import attrs

from toucanrudder.standins import objects
from toucanrudder.standins import serving

MODES = ("ok", "down", "slow", "lose_answers", "hang_watches")
MAX_VALUE_BYTES = 2**20
CHUNK_BYTES = 65536


@attrs.define
class Fault:
    """What goes wrong; `kind` and `times` narrow it down.

    Parameters
    ----------
    mode : str
        One of `MODES`.
    delay_s : float
        Delay of each call in the mode ``slow``.
    kind : str
        Only calls on objects of this kind; empty means all.
    times : int or None
        Calls that it still strikes; None for no end.
    """

    mode: str = attrs.field(
        default="ok", validator=attrs.validators.in_(MODES)
    )
    delay_s: float = 0.0
    kind: str = ""
    times: int | None = None

    def strikes(self, mode: str, kind: str) -> bool:
        """Tell whether it strikes this call, and use it up by one."""
        if self.mode != mode or self.kind not in ("", kind):
            return False
        if self.times is None:
            return True
        self.times -= 1
        return self.times >= 0


@attrs.define
class Counts:
    """Calls counted by class and by object kind."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    by_kind: collections.Counter = attrs.field(factory=collections.Counter)

    def add(self, call: str, kind: str) -> None:
        """Count one call."""
        setattr(self, call, getattr(self, call) + 1)
        self.by_kind[f"{kind}.{call}"] += 1


@attrs.define
class Limit:
    """Calls allowed in each second; 0 means no limit."""

    calls_per_s: float
    _second: int = 0
    _used: int = 0

    def exceeded(self, now_s: float) -> bool:
        """Count one call and tell whether it is one too many."""
        if int(now_s) != self._second:
            self._second, self._used = int(now_s), 0
        self._used += 1
        return bool(self.calls_per_s) and self._used > self.calls_per_s


@attrs.define
class Platform:
    """State and handlers of the stand-in.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Limits that are answered with 429; 0 for none.
    instances_lag_s : float
        Age of the instance list that is shown.
    weights_bytes : int
        Size of the weights of any model.
    weights_bytes_per_s : float
        Rate that all fetches of weights share; 0 for no limit.
    """

    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    instances_lag_s: float = 0.0
    weights_bytes: int = 2**20
    weights_bytes_per_s: float = 0.0
    address: str = ""
    fault: Fault = attrs.field(factory=Fault)
    counts: Counts = attrs.field(factory=Counts)
    store: objects.Objects = attrs.field(factory=objects.Objects)
    vaults: dict[str, set[str]] = attrs.field(factory=dict)
    _instances: dict[str, dict] = attrs.field(factory=dict)
    _lists: collections.deque = attrs.field(
        factory=lambda: collections.deque([(0.0, [])])
    )
    _weights_turn: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _limits: dict[str, Limit] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._limits = {
            "reads": Limit(self.reads_per_s),
            "watches": Limit(0),
            "writes": Limit(self.writes_per_s),
        }

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=serving.MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/objects/{kind}", self.list_objects),
                web.get("/objects/{kind}/{name:.+}", self.get_object),
                web.put("/objects/{kind}/{name:.+}", self.put_object),
                web.delete("/objects/{kind}/{name:.+}", self.delete_object),
                web.get("/instances", self.list_instances),
                web.put("/instances/{name}", self.put_instance),
                web.get("/weights/{model}/{version}", self.weights),
                web.post("/vault/{store}/{call}", self.vault),
                web.put("/faults", self.put_faults),
                web.get("/counts", self.get_counts),
                web.post("/snapshot", self.snapshot),
                web.post("/restore", self.restore),
            ]
        )
        return app

    def set_instance(
        self, name: str, kind: str, address: str, state: str = "live"
    ) -> None:
        """Put an instance on the list."""
        self._instances[name] = {
            "name": name,
            "kind": kind,
            "address": address,
            "state": state,
        }
        rows = [dict(row) for row in self._instances.values()]
        self._lists.append((time.time(), rows))

    async def list_objects(self, request: web.Request) -> web.Response:
        """Answer a list call."""
        kind = request.match_info["kind"]
        refusal = await self._begin("reads", kind)
        if refusal is not None:
            return refusal
        query = request.query
        items = self.store.list(
            kind,
            query.get("prefix", ""),
            query.get("after", ""),
            int(query.get("limit", "100")),
        )
        return web.json_response({"items": items})

    async def get_object(self, request: web.Request) -> web.Response:
        """Answer a read or a watch."""
        kind, name = _target(request)
        watched = request.query.get("after_version")
        call = "reads" if watched is None else "watches"
        refusal = await self._begin(call, kind)
        if refusal is not None:
            return refusal
        if watched is not None:
            wait_s = float(request.query.get("wait_s", "10"))
            if not await self._watch(kind, name, int(watched), wait_s):
                return web.Response(status=304)
        entry = self.store.get(kind, name)
        if entry is None:
            return web.json_response({"error": "not found"}, status=404)
        return web.json_response(entry.as_json(name))

    async def put_object(self, request: web.Request) -> web.Response:
        """Answer a conditional create or update."""
        kind, name = _target(request)
        refusal = await self._begin("writes", kind)
        if refusal is not None:
            return refusal
        raw = await request.read()
        if len(raw) > MAX_VALUE_BYTES:
            return web.json_response({"error": "too large"}, status=413)
        value = json.loads(raw)
        try:
            if request.headers.get("If-None-Match") == "*":
                version = self.store.create(kind, name, value)
            elif "If-Match" in request.headers:
                version = self.store.update(
                    kind, name, value, int(request.headers["If-Match"])
                )
            else:
                return web.json_response({"error": "condition"}, status=428)
        except objects.Conflict as conflict:
            body = {"version": conflict.version}
            return self._finish(
                request, kind, web.json_response(body, status=409)
            )
        return self._finish(
            request, kind, web.json_response({"version": version})
        )

    async def delete_object(self, request: web.Request) -> web.Response:
        """Answer a conditional delete."""
        kind, name = _target(request)
        refusal = await self._begin("writes", kind)
        if refusal is not None:
            return refusal
        if self.store.get(kind, name) is None:
            return web.json_response({"error": "not found"}, status=404)
        try:
            self.store.delete(kind, name, int(request.headers["If-Match"]))
        except objects.Conflict as conflict:
            body = {"version": conflict.version}
            return web.json_response(body, status=409)
        return self._finish(request, kind, web.Response(status=204))

    async def list_instances(self, _: web.Request) -> web.Response:
        """Answer with the instance list as it was a while ago."""
        refusal = await self._begin("reads", "instances")
        if refusal is not None:
            return refusal
        visible_s = time.time() - self.instances_lag_s
        while len(self._lists) > 1 and self._lists[1][0] <= visible_s:
            self._lists.popleft()
        return web.json_response(
            {"at_s": visible_s, "instances": self._lists[0][1]}
        )

    async def put_instance(self, request: web.Request) -> web.Response:
        """Change an instance on the list."""
        self.set_instance(request.match_info["name"], **await request.json())
        return web.Response(status=204)

    async def weights(self, request: web.Request) -> web.StreamResponse:
        """Send a model's weights at the rate that all fetches share."""
        refusal = await self._begin("reads", "weights")
        if refusal is not None:
            return refusal
        response = web.StreamResponse()
        response.content_length = self.weights_bytes
        await response.prepare(request)
        left_bytes = self.weights_bytes
        while left_bytes:
            size_bytes = min(left_bytes, CHUNK_BYTES)
            async with self._weights_turn:
                if self.weights_bytes_per_s:
                    await asyncio.sleep(size_bytes / self.weights_bytes_per_s)
            await response.write(bytes(size_bytes))
            left_bytes -= size_bytes
        return response

    async def vault(self, request: web.Request) -> web.Response:
        """Keep blocks of KV cache, or say which of some are kept."""
        kept = self.vaults.setdefault(request.match_info["store"], set())
        blocks = (await request.json())["blocks"]
        if request.match_info["call"] == "put":
            kept.update(blocks)
        return web.json_response(
            {"blocks": [block for block in blocks if block in kept]}
        )

    async def put_faults(self, request: web.Request) -> web.Response:
        """Change what goes wrong."""
        try:
            self.fault = Fault(**await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.Response(status=204)

    async def get_counts(self, _: web.Request) -> web.Response:
        """Answer with the counts of calls."""
        return web.json_response(attrs.asdict(self.counts))

    async def snapshot(self, _: web.Request) -> web.Response:
        """Remember the store's state."""
        self.store.snapshot()
        return web.Response(status=204)

    async def restore(self, _: web.Request) -> web.Response:
        """Bring the store back in the remembered, older state."""
        self.store.restore()
        return web.Response(status=204)

    async def _begin(self, call: str, kind: str) -> web.Response | None:
        self.counts.add(call, kind)
        if self.fault.strikes("down", kind):
            return web.json_response({"error": "down"}, status=503)
        if self._limits[call].exceeded(time.time()):
            return web.json_response({"error": "rate"}, status=429)
        if self.fault.strikes("slow", kind):
            await asyncio.sleep(self.fault.delay_s)
        return None

    def _finish(
        self, request: web.Request, kind: str, response: web.Response
    ) -> web.Response:
        if self.fault.strikes("lose_answers", kind) and request.transport:
            request.transport.abort()
        return response

    async def _watch(
        self, kind: str, name: str, version: int, wait_s: float
    ) -> bool:
        if self.fault.strikes("hang_watches", kind):
            await asyncio.Event().wait()
        try:
            async with asyncio.timeout(wait_s):
                await self.store.changed_from(kind, name, version)
        except TimeoutError:
            return False
        return True


def _target(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


@contextlib.asynccontextmanager
async def opened(
    host: str = "127.0.0.1", port: int = 0, **options: object
) -> AsyncIterator[Platform]:
    """Serve a platform while the block runs; its `address` is set."""
    platform = Platform(**options)
    async with serving.served(platform.application(), host, port) as address:
        platform.address = address
        yield platform


def main(host: str = "127.0.0.1", port: int = 0, **options: object) -> None:
    """Run the platform stand-in as a process; options as `Platform`."""
    serving.run(lambda: opened(host, port, **options), "platform")
