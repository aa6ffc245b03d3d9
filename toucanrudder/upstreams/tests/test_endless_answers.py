"""Answers without end to the calls that routers of the own interface make."""

import asyncio
import contextlib
import random

import aiohttp
import pytest

from toucanrudder.controllers import cache_events
from toucanrudder.controllers import instances as instance_lists
from toucanrudder.controllers import kv_transfer
from toucanrudder.controllers import loads as load_reports
from toucanrudder.document import model
from toucanrudder.http1 import answer_room
from toucanrudder.http1 import json_text
from toucanrudder.prefix import request_rates
from toucanrudder.store import http as http_store
from toucanrudder.store import interface
from toucanrudder.testing import servers
from toucanrudder.upstreams import call_answers
from toucanrudder.upstreams import loads

#: What may be under way in the buffers of both ends beside what was read.
BUFFERS_BYTES = 12_000_000

#: What an upstream sends before it falls silent, far beyond any bound.
ENDLESS_BYTES = 64_000_000

#: Time within which a call must have been ended by its bound, not by its own
#: time limit.
ENDED_S = 5.0


class Endless:
    """Begins an answer, and sends bytes until its caller closes."""

    def __init__(self, head):
        self.head = head
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while self.sent_bytes < ENDLESS_BYTES:
                writer.write(b" " * 65_536)
                self.sent_bytes += 65_536
                await writer.drain()
            await reader.read()
        self.closed.set()


def engine(address):
    return model.Upstream("e", model.ENGINE, address, "z", "p")


async def poll_load(session, address):
    controller = load_reports.LoadController(
        session,
        loads.LoadTable(),
        lambda: (engine(address),),
        0.2,
        lambda *_: None,
        lambda *_: False,
        lambda *_: None,
        random.Random(1),
        asyncio.get_running_loop().time,
    )
    await controller._poll(engine(address))


def transfer_controller(session):
    return kv_transfer.KVTransferController(
        session,
        "r1",
        request_rates.PrefixRates(),
        lambda: ("r1",),
        asyncio.get_running_loop().time,
    )


async def order_export(session, address):
    controller = transfer_controller(session)
    await controller.export(engine(address), (b"a" * 16,), "vault")


def instance_controller(session, address):
    return instance_lists.InstanceController(
        session, address, None, lambda: 1, 10.0, random.Random(1)
    )


async def list_instances(session, address):
    controller = instance_controller(session, address)
    with pytest.raises(ValueError, match="too large"):
        await controller._list()


async def read_store(session, address):
    store = http_store.HttpObjectStore(address, session, session)
    with pytest.raises(interface.StoreUnavailable):
        await store.get("configuration", "current", timeout_s=10.0)


async def write_store(session, address):
    store = http_store.HttpObjectStore(address, session, session)
    with pytest.raises(interface.OutcomeUnknown):
        await store.create("claims", "c", {}, timeout_s=10.0)


def cache_controller(session):
    return cache_events.CacheEventController(
        session, None, tuple, random.Random(1), None
    )


async def follow_cache(session, address):
    controller = cache_controller(session)
    with pytest.raises(ValueError, match="too large"):
        position = cache_events._Position()
        await controller._read_stream(engine(address), position)


CALLS = (
    poll_load,
    order_export,
    list_instances,
    read_store,
    write_store,
    follow_cache,
)

#: Heads of answers whose bodies have no end, or one that is far away.
HEADS = {
    "without a length": b"HTTP/1.1 200 OK\r\n\r\n",
    "huge length": b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n",
    "one huge chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"
    ),
}


@contextlib.asynccontextmanager
async def calling(serve):
    """Yield a session, and the address of a server."""
    async with (
        servers.running(serve) as address,
        aiohttp.ClientSession(auto_decompress=False) as session,
    ):
        yield session, address


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
async def test_call_keeps_no_answer_without_end(call, head):
    """Guards against a process that runs out of memory by one answer."""
    endless = Endless(head)
    async with (
        calling(endless.serve) as (session, address),
        asyncio.timeout(ENDED_S),
    ):
        await call(session, address)
        await endless.closed.wait()
    assert endless.sent_bytes <= 8_388_608 + BUFFERS_BYTES


def unfinished(size_bytes):
    """Return the serving of an answer that stops short of its end."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET /sound"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b" " * size_bytes)
            await reader.read()
        writer.close()

    return serve


async def test_many_answers_without_end_leave_room_for_a_sound_one():
    """Guards against many answers of which each stays below its bound."""
    room = answer_room.AnswerRoom(100_000, 300_000)
    failed = []

    async def read(session, address, path):
        try:
            async with session.get(f"http://{address}/{path}") as response:
                return await call_answers.read_json(response, room)
        except json_text.Unreadable as error:
            failed.append(error)

    async with calling(unfinished(90_000)) as (session, address):
        async with asyncio.timeout(ENDED_S), asyncio.TaskGroup() as group:
            crowd = [
                group.create_task(read(session, address, "endless"))
                for _ in range(20)
            ]
            while len(failed) < 16:
                await asyncio.sleep(0.01)
            assert room.held_bytes <= 300_000
            assert await read(session, address, "sound") == {}
            for each in crowd:
                each.cancel()
    assert room.held_bytes == 0


async def test_answer_of_many_small_values_is_not_parsed():
    """Guards against an answer that is small as text and large as objects."""
    content = b"[" + b"[]," * 600_000 + b"[]]"

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + content)
        writer.close()

    room = answer_room.AnswerRoom(8_000_000, 8_000_000)
    async with (
        calling(serve) as (session, address),
        session.get(f"http://{address}/") as response,
    ):
        with pytest.raises(json_text.Unreadable, match="values"):
            await call_answers.read_json(response, room)
