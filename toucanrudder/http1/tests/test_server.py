"""Tests of the server's request parsing, limits and connection handling."""

import asyncio
import contextlib

import pytest

from toucanrudder.http1 import server

LIMITS = server.Limits(
    max_head_bytes=2048,
    max_body_bytes=64,
    head_timeout_s=0.2,
    idle_timeout_s=0.4,
)


class RecordingServer:
    """A listener whose handler records the requests it receives."""

    def __init__(self):
        self.requests = []
        self.refusals = []
        self.closing = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.cancelled = asyncio.Event()
        self.entered = asyncio.Event()
        self.listener = server.Listener(
            server.Hooks(
                handle=lambda *args: self.handle(*args),
                limits=lambda: LIMITS,
                closing=lambda: self.closing,
                refusal_body=lambda refusal: refusal.code.encode(),
                refused=self.refusals.append,
                clock=asyncio.get_running_loop().time,
            )
        )

    async def handle(self, request, answer):
        self.requests.append(request)
        self.entered.set()
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        await answer.send_whole(
            200, ((b"X-Path", request.head.target),), b"ok"
        )


@contextlib.asynccontextmanager
async def running_server():
    recording = RecordingServer()
    await recording.listener.start("127.0.0.1", 0)
    try:
        yield recording
    finally:
        await recording.listener.stop()


async def open_connection(recording):
    host, port = recording.listener.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def send(recording, data):
    reader, writer = await open_connection(recording)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return answer


HEAD = b"POST /a/b?x=%2F%zz HTTP/1.1\r\nHost: h\r\n"

MALFORMED = {
    "bare line feeds": b"GET / HTTP/1.1\nHost: h\n\n",
    "one bare line feed": b"GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
    "folded field": b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
    "blank before the colon": b"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
    "both lengths": HEAD
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": HEAD
    + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "negative length": HEAD + b"Content-Length: -3\r\n\r\n",
    "no version": b"GET /\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "bytes of TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "overflowing chunk": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"f" * 40
    + b"\r\n",
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
async def test_malformed_requests_do_not_reach_the_handler(data):
    # The caller receives a 400 of this server and a closed connection; another
    # program on the path could parse such bytes as two requests.
    async with running_server() as recording:
        answer = await send(recording, data)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b"malformed_request" in answer
        assert b"h11" not in answer.lower()
        assert not recording.requests
        assert recording.refusals == [server.Refusal.MALFORMED]


REFUSED = {
    "long head": (
        b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 4096 + b"\r\n\r\n",
        b"431",
        server.Refusal.HEAD_TOO_LARGE,
    ),
    "announced body": (
        HEAD + b"Content-Length: 65\r\n\r\n",
        b"413",
        server.Refusal.BODY_TOO_LARGE,
    ),
    "chunked body": (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n41\r\n"
        + b"x" * 65
        + b"\r\n0\r\n\r\n",
        b"413",
        server.Refusal.BODY_TOO_LARGE,
    ),
    "unknown coding": (
        HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
        b"501",
        server.Refusal.UNSUPPORTED,
    ),
    "slow head": (
        b"GET / HTTP/1.1\r\nHost:",
        b"408",
        server.Refusal.SLOW,
    ),
    "slow body": (
        HEAD + b"Content-Length: 9\r\n\r\nabc",
        b"408",
        server.Refusal.SLOW,
    ),
}


@pytest.mark.parametrize(
    ("data", "status", "refusal"), REFUSED.values(), ids=REFUSED.keys()
)
async def test_requests_beyond_a_limit_are_refused(data, status, refusal):
    async with running_server() as recording:
        answer = await send(recording, data)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert not recording.requests
        assert recording.refusals == [refusal]


async def test_target_and_body_arrive_as_sent():
    data = HEAD + b"Content-Length: 5\r\n\r\nab\r\n\x00"
    async with running_server() as recording:
        reader, writer = await open_connection(recording)
        writer.write(data)
        await reader.readuntil(b"ok")
        (request,) = recording.requests
        assert request.head.target == b"/a/b?x=%2F%zz"
        assert request.body == b"ab\r\n\x00"
        writer.close()


async def test_pipelined_requests_are_answered_in_order():
    async with running_server() as recording:
        reader, writer = await open_connection(recording)
        writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
        for _ in range(2):
            await reader.readuntil(b"ok")
        assert len(recording.requests) == 2
        writer.close()


async def test_handler_is_cancelled_when_the_caller_disconnects():
    # The caller closes the connection while its request is processed.  The
    # handler is cancelled at once, so that no upstream goes on working on it.
    async with running_server() as recording:
        recording.gate.clear()
        _, writer = await open_connection(recording)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.wait_for(recording.entered.wait(), 5)
        writer.close()
        await asyncio.wait_for(recording.cancelled.wait(), 5)


async def test_responses_of_a_stopping_router_close_the_connection():
    async with running_server() as recording:
        recording.closing = True
        answer = await send(recording, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"connection: close" in answer.lower()
        assert answer.endswith(b"ok")


async def test_too_many_pipelined_bytes_abort_the_connection():
    # A caller sends megabytes behind a request that is being processed.
    # Buffering them could exhaust the memory of the process; not reading
    # them would hide that the caller disconnects.
    async with running_server() as recording:
        recording.gate.clear()
        reader, writer = await open_connection(recording)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.wait_for(recording.entered.wait(), 5)
        writer.write(b"x" * (2 * server.MAX_PIPELINED_BYTES))
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(), 5) == b""
        await asyncio.wait_for(recording.cancelled.wait(), 5)


FIRST, SECOND = (
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
)


@pytest.mark.parametrize(
    ("first", "second"),
    ((FIRST, SECOND), (FIRST + SECOND, b""), (FIRST + SECOND[:9], SECOND[9:])),
    ids=("in two reads", "in one read", "begun in the first read"),
)
async def test_a_request_that_was_read_before_a_stop_is_answered(
    first, second
):
    # A planned stop begins while a response is streamed whose head did not
    # announce the close of the connection.
    async with running_server() as recording:
        finish_response = asyncio.Event()

        async def stream_response(request, answer):
            recording.requests.append(request)
            await answer.start(200, ())
            await finish_response.wait()
            await answer.end()

        recording.handle = stream_response
        reader, writer = await open_connection(recording)
        writer.write(first)
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        writer.write(second)
        await asyncio.sleep(0.05)
        recording.closing = True
        finish_response.set()
        rest = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert [request.head.target for request in recording.requests] == [
        b"/a",
        b"/b",
    ]
    assert rest.count(b"HTTP/1.1 200") == 1
    assert b"connection: close" in rest.lower()


async def test_a_request_that_crosses_a_close_is_not_run():
    # The server closes the idle connection while a request is in transit.
    async with running_server() as recording:
        reader, writer = await open_connection(recording)
        await asyncio.sleep(0.05)
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        recording.listener.close_idle()
        with contextlib.suppress(ConnectionError):
            assert not await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert not recording.requests
