"""Guarantees of the object store, over HTTP and in memory."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import pytest

from toucanrudder.store import http
from toucanrudder.store import interface
from toucanrudder.store import memory
from toucanrudder.testing import servers

OPTIONS = {"timeout_s": 5.0}


class RawServer:
    """A raw HTTP server that answers, cuts or stalls by its mode."""

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
                response = (
                    f"HTTP/1.1 {status} X\r\nContent-Length: "
                    f"{len(data)}\r\n\r\n".encode()
                    + data
                )
                duplicate = response if self.repeats == "at once" else b""
                writer.write(late + response + duplicate)
                late = response if self.repeats == "late" else b""
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def sessions():
    """Yield a session with and one without kept-alive connections."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        aiohttp.ClientSession() as session,
        aiohttp.ClientSession(connector=connector) as fresh,
    ):
        yield session, fresh


@pytest.fixture
async def raw_server():
    raw_server = RawServer()
    async with (
        servers.running(raw_server.serve) as address,
        sessions() as (session, fresh),
    ):
        raw_server.store = http.HttpObjectStore(address, session, fresh)
        yield raw_server


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
async def test_a_failed_write_says_whether_it_may_have_taken_effect(
    raw_server, operation, mode, error
):
    """A write fails as without effect, on its condition, or as unknown.

    The store reads the write and then responds, cuts the connection or
    sends nothing.  Only a response proves that the write had no effect.  The
    write must be sent once, also on a kept-alive connection.
    """
    raw_server.mode = (200, {"version": 1})
    await raw_server.store.create("k", "n", {}, **OPTIONS)
    raw_server.requests.clear()
    raw_server.mode = mode
    with pytest.raises(error):
        await WRITES[operation](
            raw_server.store, 0.2 if mode == "silent" else 5
        )
    assert len(raw_server.requests) == 1


@pytest.mark.parametrize("operation", WRITES)
@pytest.mark.parametrize("repeats", ["at once", "late"])
async def test_a_duplicate_response_does_not_answer_the_next_write(
    raw_server, operation, repeats
):
    """A duplicate response arrives where that of the next write is due."""
    raw_server.mode, raw_server.repeats = (200, {"version": 1}), repeats
    await raw_server.store.create("k", "n", {}, **OPTIONS)
    raw_server.mode = (409, {"version": 1})
    with pytest.raises(interface.ConditionFailed):
        await WRITES[operation](raw_server.store, 5)


@pytest.mark.parametrize("operation", READS)
@pytest.mark.parametrize("mode", ["cut", "silent", (503, {}), (200, [])])
async def test_a_failed_read_is_unavailable(
    raw_server, monkeypatch, operation, mode
):
    """A read fails as unavailable, and so does a hung watch.

    The connection is cut, or stays open without a response.  A watch without
    a response must not be read as "no change".
    """
    monkeypatch.setattr(http, "WATCH_MARGIN_S", 0.1)
    raw_server.mode = mode
    with pytest.raises(interface.StoreUnavailable):
        await READS[operation](
            raw_server.store, 0.2 if mode == "silent" else 5
        )


@pytest.mark.parametrize("operation", [*WRITES, *READS])
async def test_a_refused_connection_has_no_effect(operation):
    async with sessions() as (session, fresh):
        store = http.HttpObjectStore("127.0.0.1:1", session, fresh)
        with pytest.raises(interface.StoreUnavailable):
            await {**WRITES, **READS}[operation](store, 5)
        assert store.counts == {("k", operation): 1}


class StoreServer:
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
            stored = await self.backing.watch(
                *args,
                int(query["after_version"]),
                wait_s=float(query["wait_s"]),
            )
            return _response(stored, 304)
        return _response(await self.backing.get(*args, **OPTIONS), 404)

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
        listed = await self.backing.list(
            request.match_info["kind"], **query, **OPTIONS
        )
        return web.json_response({"items": [_body(item) for item in listed]})


def _response(stored, absent_status):
    if stored is None:
        return web.Response(status=absent_status)
    return web.json_response(_body(stored))


def _body(stored):
    return {
        "name": stored.name,
        "version": stored.version,
        "value": stored.value,
    }


@pytest.fixture(params=["memory", "http"])
async def store(request):
    backing = memory.MemoryObjectStore()
    if request.param == "memory":
        yield backing
        return
    runner = web.AppRunner(StoreServer(backing).app)
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
    stored = await store.get("k", name, **OPTIONS)
    assert stored == interface.StoredObject("k", name, second, {"x": 2})
    with pytest.raises(interface.ConditionFailed):
        await store.delete("k", name, first, **OPTIONS)
    await store.delete("k", name, second, **OPTIONS)
    assert await store.get("k", name, **OPTIONS) is None


async def test_a_list_continues_after_a_name(store):
    for name in ("a1", "a2", "a3", "b1"):
        await store.create("k", name, {}, **OPTIONS)
    first = await store.list("k", prefix="a", limit=2, **OPTIONS)
    assert [item.name for item in first] == ["a1", "a2"]
    rest = await store.list("k", prefix="a", after="a2", **OPTIONS)
    assert [item.name for item in rest] == ["a3"]


async def test_a_watch_returns_a_change_or_none(store):
    version = await store.create("k", "n", {"x": 1}, **OPTIONS)
    assert await store.watch("k", "n", version, wait_s=0.05) is None
    watch = asyncio.create_task(store.watch("k", "n", version, wait_s=30))
    await store.update("k", "n", {"x": 2}, version, **OPTIONS)
    assert (await watch).value == {"x": 2}
