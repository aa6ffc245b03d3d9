"""The object store's promises, over HTTP and in memory."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import pytest

from toucanrudder.store import http
from toucanrudder.store import interface
from toucanrudder.store import memory

OPTIONS = {"timeout_s": 5.0}


class Wire:
    """A raw server: reads a request, then does as its mode says."""

    def __init__(self):
        self.mode = "silent"
        self.repeats = "never"
        self.requests = []

    async def serve(self, reader, writer):
        late = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.requests.append(head.split("\r\n", 1)[0])
                for line in head.lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        await reader.readexactly(int(line.split(":")[1]))
                if self.mode == "cut":
                    break
                if self.mode == "silent":
                    await reader.read()
                    break
                status, body = self.mode
                data = json.dumps(body).encode()
                answer = (
                    f"HTTP/1.1 {status} X\r\nContent-Length: "
                    f"{len(data)}\r\n\r\n".encode()
                    + data
                )
                again = answer if self.repeats == "at once" else b""
                writer.write(late + answer + again)
                late = answer if self.repeats == "late" else b""
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def sessions():
    """Yield a session that keeps connections, and one that does not."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        aiohttp.ClientSession() as session,
        aiohttp.ClientSession(connector=connector) as fresh,
    ):
        yield session, fresh


@pytest.fixture
async def wire():
    state = Wire()
    server = await asyncio.start_server(state.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with sessions() as (session, fresh):
        state.store = http.HttpObjectStore(address, session, fresh)
        yield state
    server.close()


WRITES = {
    "create": lambda s, t: s.create("k", "n", {}, timeout_s=t),
    "update": lambda s, t: s.update("k", "n", {}, 1, timeout_s=t),
    "delete": lambda s, t: s.delete("k", "n", 1, timeout_s=t),
}
READS = {
    "get": lambda s, t: s.get("k", "n", timeout_s=t),
    "list": lambda s, t: s.list("k", timeout_s=t),
    "watch": lambda s, t: s.watch("k", "n", 1, wait_s=t),
}
OUTCOMES = [
    ("cut", interface.OutcomeUnknown),
    ("silent", interface.OutcomeUnknown),
    ((500, {}), interface.OutcomeUnknown),
    ((200, []), interface.OutcomeUnknown),
    ((503, {}), interface.StoreUnavailable),
    ((429, {}), interface.StoreUnavailable),
    ((409, {"version": 3}), interface.ConditionFailed),
]


@pytest.mark.parametrize("operation", WRITES)
@pytest.mark.parametrize(("mode", "error"), OUTCOMES)
async def test_a_write_says_whether_it_can_have_taken_effect(
    wire, operation, mode, error
):
    """The writer is told "no effect", "not so" or "nobody knows".

    The write is read by the store, which then answers, cuts the
    connection or stays silent.  Only an answer proves that nothing
    happened; it must be sent once, also on a kept connection.
    """
    wire.mode = (200, {"version": 1})
    await wire.store.create("k", "n", {}, **OPTIONS)
    wire.requests.clear()
    wire.mode = mode
    with pytest.raises(error):
        await WRITES[operation](wire.store, 0.2 if mode == "silent" else 5)
    assert len(wire.requests) == 1


@pytest.mark.parametrize("operation", WRITES)
@pytest.mark.parametrize("repeats", ["at once", "late"])
async def test_an_answer_given_twice_is_no_answer_to_the_next_write(
    wire, operation, repeats
):
    """A write's answer comes again where that of the next is expected."""
    wire.mode, wire.repeats = (200, {"version": 1}), repeats
    await wire.store.create("k", "n", {}, **OPTIONS)
    wire.mode = (409, {"version": 1})
    with pytest.raises(interface.ConditionFailed):
        await WRITES[operation](wire.store, 5)


@pytest.mark.parametrize("operation", READS)
@pytest.mark.parametrize("mode", ["cut", "silent", (503, {}), (200, [])])
async def test_a_failed_read_is_unavailable(
    wire, monkeypatch, operation, mode
):
    """A reader is told that the store is away, also by a hung watch.

    The connection is cut or stays open and silent for good.  A watch
    that never answers must not be taken for "no change".
    """
    monkeypatch.setattr(http, "WATCH_MARGIN_S", 0.1)
    wire.mode = mode
    with pytest.raises(interface.StoreUnavailable):
        await READS[operation](wire.store, 0.2 if mode == "silent" else 5)


@pytest.mark.parametrize("operation", [*WRITES, *READS])
async def test_a_refused_connection_has_no_effect(operation):
    async with sessions() as (session, fresh):
        store = http.HttpObjectStore("127.0.0.1:1", session, fresh)
        with pytest.raises(interface.StoreUnavailable):
            await {**WRITES, **READS}[operation](store, 5)
        assert store.counts == {("k", operation): 1}


class Served:
    """The HTTP protocol, served from a store in memory."""

    def __init__(self, backing):
        self.backing = backing
        self.app = web.Application()
        self.app.router.add_put("/objects/{kind}/{name}", self.put)
        self.app.router.add_get("/objects/{kind}/{name}", self.get)
        self.app.router.add_delete("/objects/{kind}/{name}", self.delete)
        self.app.router.add_get("/objects/{kind}", self.listing)

    async def put(self, request):
        args = (*request.match_info.values(), await request.json())
        if "If-None-Match" in request.headers:
            write = self.backing.create(*args, **OPTIONS)
        else:
            version = int(request.headers["If-Match"])
            write = self.backing.update(*args, version, **OPTIONS)
        try:
            return web.json_response({"version": await write})
        except interface.ConditionFailed:
            return web.json_response({"version": 0}, status=409)

    async def get(self, request):
        args, query = request.match_info.values(), request.query
        if "wait_s" in query:
            found = await self.backing.watch(
                *args,
                int(query["after_version"]),
                wait_s=float(query["wait_s"]),
            )
            return _answer(found, 304)
        return _answer(await self.backing.get(*args, **OPTIONS), 404)

    async def delete(self, request):
        version = int(request.headers["If-Match"])
        try:
            await self.backing.delete(
                *request.match_info.values(), version, **OPTIONS
            )
        except interface.ConditionFailed:
            return web.Response(status=409)
        return web.Response(status=204)

    async def listing(self, request):
        query = {**request.query, "limit": int(request.query["limit"])}
        found = await self.backing.list(
            request.match_info["kind"], **query, **OPTIONS
        )
        return web.json_response({"items": [_body(item) for item in found]})


def _answer(found, absent):
    if found is None:
        return web.Response(status=absent)
    return web.json_response(_body(found))


def _body(found):
    return {
        "name": found.name,
        "version": found.version,
        "value": found.value,
    }


@pytest.fixture(params=["memory", "http"])
async def store(request):
    backing = memory.MemoryObjectStore()
    if request.param == "memory":
        yield backing
        return
    runner = web.AppRunner(Served(backing).app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with sessions() as (session, fresh):
        yield http.HttpObjectStore(f"127.0.0.1:{port}", session, fresh)
    await runner.cleanup()


async def test_objects_are_written_on_condition(store):
    name = "org one.a/b%"
    first = await store.create("k", name, {"x": 1}, **OPTIONS)
    with pytest.raises(interface.ConditionFailed):
        await store.create("k", name, {"x": 2}, **OPTIONS)
    second = await store.update("k", name, {"x": 2}, first, **OPTIONS)
    with pytest.raises(interface.ConditionFailed):
        await store.update("k", name, {"x": 3}, first, **OPTIONS)
    found = await store.get("k", name, **OPTIONS)
    assert found == interface.StoredObject("k", name, second, {"x": 2})
    with pytest.raises(interface.ConditionFailed):
        await store.delete("k", name, first, **OPTIONS)
    await store.delete("k", name, second, **OPTIONS)
    assert await store.get("k", name, **OPTIONS) is None


async def test_a_list_goes_on_after_a_name(store):
    for name in ("a1", "a2", "a3", "b1"):
        await store.create("k", name, {}, **OPTIONS)
    found = await store.list("k", prefix="a", limit=2, **OPTIONS)
    assert [item.name for item in found] == ["a1", "a2"]
    rest = await store.list("k", prefix="a", after="a2", **OPTIONS)
    assert [item.name for item in rest] == ["a3"]


async def test_a_watch_answers_a_change_or_its_absence(store):
    version = await store.create("k", "n", {"x": 1}, **OPTIONS)
    assert await store.watch("k", "n", version, wait_s=0.05) is None
    watch = asyncio.create_task(store.watch("k", "n", version, wait_s=30))
    await store.update("k", "n", {"x": 2}, version, **OPTIONS)
    assert (await watch).value == {"x": 2}
