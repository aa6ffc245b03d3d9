"""Tests of bounded connections of the aiohttp listeners."""

import asyncio
import contextlib
import gc
import re

from aiohttp import web
import pytest

from toucanrudder import errors
from toucanrudder.filters import bounded_body
from toucanrudder.filters import connections
from toucanrudder.filters import guard
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import turns
from toucanrudder.router import services

MAX_BODY_BYTES = 200_000
BOUNDS = accounts.Bounds(600_000, 40)

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n"
CHUNKED = b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Running:
    """A listener whose handler reads the body, and may wait then."""

    def __init__(self, bounds):
        self.gate = asyncio.Event()
        self.gate.set()
        self.bodies = []
        self.account = accounts.Account(lambda: bounds)
        app = web.Application(middlewares=[connections.track_request])
        app.router.add_post("/{path}", self.handle)
        self.service = services.ListenService(
            application=app,
            host="127.0.0.1",
            port=0,
            account=self.account,
        )

    async def handle(self, request):
        try:
            body = await bounded_body.read(request, MAX_BODY_BYTES, 30.0)
        except errors.RudderError as error:
            return guard.error_response(error, "id")
        self.bodies.append(body)
        await self.gate.wait()
        return web.Response(text="ok")

    async def connect(self):
        host, _, port = self.service.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


@contextlib.asynccontextmanager
async def running_service(bounds=BOUNDS):
    running = Running(bounds)
    await running.service.start()
    try:
        yield running
    finally:
        running.gate.set()
        await running.service.stop()


async def _open_crowd(running, count, data):
    crowd = []
    for _ in range(count):
        reader, writer = await running.connect()
        writer.write(data)
        crowd.append((reader, writer))
    return crowd


async def _wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def test_refusal_for_lack_of_memory_says_when_to_return():
    """Guards against a refusal that promises nothing."""
    async with running_service() as running:
        crowd = await _open_crowd(running, 6, HEAD + b"x" * 149_999)
        answers = await asyncio.gather(
            *(
                asyncio.wait_for(reader.readuntil(b"}}"), 3)
                for reader, _ in crowd
            ),
            return_exceptions=True,
        )
        refusals = [each for each in answers if isinstance(each, bytes)]
        assert refusals
        for answer in refusals:
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert re.search(rb"\r\nRetry-After: [123]\r\n", answer)
            assert b'"memory_full"' in answer
            assert b'"not_run"' in answer
        assert not running.bodies
        for _, writer in crowd:
            writer.transport.abort()


async def test_others_are_served_while_small_chunks_are_parsed():
    """Guards against a process that parses small chunks and nothing else."""
    chunks = 20_000
    async with running_service(accounts.Bounds(10**7, 40)) as running:
        crowd = await _open_crowd(
            running, 20, CHUNKED + b"1\r\nx\r\n" * chunks
        )
        for _, writer in crowd:
            await writer.drain()
        _, writer = await running.connect()
        writer.write(b"POST /b HTTP/1.1\r\nHost: h\r\n\r\n")
        await _wait_until(lambda: running.bodies)
        assert running.bodies == [b""]
        for _, writer in crowd:
            writer.write(b"0\r\n\r\n")
        await _wait_until(lambda: len(running.bodies) > 1)
        assert running.bodies[1] == b"x" * chunks
        for _, writer in crowd:
            writer.transport.abort()


ENDS = {
    "whole": HEAD + b"x" * 150_000,
    "just short": HEAD + b"x" * 149_999,
    "head": HEAD[:-2],
    "far too large": HEAD.replace(b"150000", b"9000000000") + b"x" * 150_000,
    "malformed": b"GET\r\n\r\n",
    "chunks": CHUNKED + b"1\r\nx\r\n" * 20_000,
    "pipelined": HEAD + b"x" * 350_000,
}


@pytest.mark.parametrize("data", ENDS.values(), ids=ENDS.keys())
@pytest.mark.parametrize("is_held", [False, True])
async def test_account_is_empty_once_all_have_left(data, is_held):
    """Guards against an account that refuses everybody in the end."""
    async with running_service() as running:
        if is_held:
            running.gate.clear()
        crowd = await _open_crowd(running, 30, data)
        for _, writer in crowd:
            with contextlib.suppress(OSError, TimeoutError):
                await asyncio.wait_for(writer.drain(), 1)
            writer.transport.abort()
        running.gate.set()
        await _wait_until(lambda: not running.account.connections)
        assert running.account.held_bytes == 0


async def test_requests_behind_one_another_are_all_served():
    """Guards against pipelined bytes that are held back for good."""
    async with running_service() as running:
        reader, writer = await running.connect()
        writer.write((HEAD + b"x" * 150_000) * 3)
        for _ in range(3):
            await asyncio.wait_for(reader.readuntil(b"ok"), 10)
        assert [len(body) for body in running.bodies] == [150_000] * 3
        writer.close()


def _live_connections():
    return [
        each
        for each in gc.get_objects()
        if isinstance(each, connections.CallerConnection)
    ]


ENDED = {
    "answered": HEAD + b"x" * 150_000,
    "unknown path": b"POST /no/path HTTP/1.1\r\nHost: h\r\n\r\n",
    "wrong method": b"PUT /a HTTP/1.1\r\nHost: h\r\n\r\n",
}


@pytest.mark.parametrize("data", ENDED.values(), ids=ENDED.keys())
async def test_ended_connections_leave_no_garbage(data):
    """Guards against memory that waits for the garbage collector."""
    async with running_service() as running:
        await _run_and_leave(running, data)
        gc.collect()
        before = len(_live_connections())
        gc.disable()
        try:
            for _ in range(5):
                await _run_and_leave(running, data)
            await _wait_until(lambda: not running.account.connections)
            await asyncio.sleep(0.05)
            assert len(_live_connections()) <= before
        finally:
            gc.enable()


async def _run_and_leave(running, data):
    reader, writer = await running.connect()
    writer.write(data)
    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    writer.transport.abort()


async def test_bytes_behind_a_request_give_way():
    """Guards against clients that fill the memory behind their requests."""
    async with running_service(accounts.Bounds(1_500_000, 40)) as running:
        running.gate.clear()
        request = b"POST /a HTTP/1.1\r\nHost: h\r\n\r\n"
        ordinary = await _open_crowd(running, 3, request)
        await _wait_until(lambda: len(running.bodies) == 3)
        crowd = await _open_crowd(running, 25, request + HEAD + b"x" * 59_000)
        for reader, _ in crowd[:3]:
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 10) == b""
        assert running.account.held_bytes <= 1_500_000
        running.gate.set()
        for reader, writer in ordinary:
            await asyncio.wait_for(reader.readuntil(b"ok"), 10)
            writer.transport.abort()
        for _, writer in crowd:
            writer.transport.abort()


async def test_pipelined_requests_are_parsed_one_by_one():
    """Guards against fields of many requests that stand in memory at once."""
    async with running_service(accounts.Bounds(10**7, 40)) as running:
        running.gate.clear()
        request = b"POST /a HTTP/1.1\r\nHost: h\r\n\r\n"
        reader, writer = await running.connect()
        writer.write(request * 300)
        await _wait_until(lambda: running.bodies)
        await asyncio.sleep(0.1)
        (connection,) = running.account._usages
        assert len(connection._handler._messages) <= 1
        running.gate.set()
        for _ in range(300):
            await asyncio.wait_for(reader.readuntil(b"ok"), 10)
        writer.close()


async def test_requests_that_arrive_together_begin_by_turns():
    """Guards against a crowd that is refused only when all of it has begun."""
    bounds = accounts.Bounds(10_000_000, 1_000)
    data = HEAD.replace(b"150000", b"2000") + b"x" * 2_000
    held_bytes = [0]
    async with running_service(bounds) as running:
        count = running.account.update

        def count_and_record(holder):
            count(holder)
            held_bytes.append(running.account.held_bytes)

        running.account.update = count_and_record
        running.gate.clear()
        crowd = await _open_crowd(running, 800, b"")
        await _wait_until(lambda: running.account.connections == len(crowd))
        for _, writer in crowd:
            writer.write(data)
        await _wait_until(lambda: running.bodies)
        for _ in range(100):
            await asyncio.sleep(0)
        for _, writer in crowd:
            writer.transport.abort()
    # Those of one turn have begun while those of the next are parsed.
    together = 2 * turns.EVENTS_PER_TURN / data.count(b"\n")
    need_bytes = accounts.CONNECTION_BYTES + accounts.REQUEST_BYTES + 8_192
    assert max(held_bytes) < bounds.memory_bytes + together * need_bytes
