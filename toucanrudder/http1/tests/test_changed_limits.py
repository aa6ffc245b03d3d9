"""Limits that change while connections are open."""

import asyncio
import contextlib

import attrs
import pytest

from toucanrudder.http1 import server

LIMITS = server.Limits(
    max_head_bytes=1024,
    max_body_bytes=64,
    head_timeout_s=0.3,
    idle_timeout_s=0.3,
)

#: Time after which a timeout of `LIMITS` has passed.
PASSED_S = 0.6

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"


@contextlib.asynccontextmanager
async def connected(limits):
    """Connect to a server with the limits of a list; yield the streams."""

    async def handle(request, answer):
        await answer.send_whole(200, (), b"%d" % len(request.body))

    listener = server.Listener(
        server.Hooks(
            handle=handle,
            limits=lambda: limits[-1],
            closing=lambda: False,
            refusal_body=lambda refusal: refusal.code.encode(),
            refused=lambda refusal: None,
            clock=asyncio.get_running_loop().time,
        )
    )
    await listener.start("127.0.0.1", 0)
    host, port = listener.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()
        await listener.stop()


async def status_of(reader):
    """Return the status of the next answer; None if there is none."""
    try:
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(
                head.lower().partition(b"content-length: ")[2].split()[0]
            )
            await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split()[1])


def request(head_bytes=0, body_bytes=0):
    """Return a request whose head or body has about so many bytes."""
    padding = b"X: " + b"x" * head_bytes + b"\r\n"
    length = b"Content-Length: %d\r\n\r\n" % body_bytes
    return HEAD + padding + length + b"b" * body_bytes


async def send_in_pieces(writer, content, size=200):
    for first in range(0, len(content), size):
        writer.write(content[first : first + size])
        await writer.drain()
        await asyncio.sleep(0.005)


LARGE = {
    "head": ("max_head_bytes", request(head_bytes=1500), 431),
    "body": ("max_body_bytes", request(body_bytes=1500), 413),
}


@pytest.mark.parametrize(
    ("limit", "content", "refusal"), LARGE.values(), ids=LARGE.keys()
)
@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize("in_pieces", [True, False])
async def test_raised_limit_holds_on_open_connections(
    limit, content, refusal, is_first, in_pieces
):
    """Guards against refusals that the limits in force do not ask for."""
    limits = [LIMITS]
    async with connected(limits) as (reader, writer):
        if not is_first:
            writer.write(request())
            assert await status_of(reader) == 200
        limits.append(attrs.evolve(LIMITS, **{limit: 2048}))
        await send_in_pieces(writer, content, 200 if in_pieces else 10_000)
        assert await status_of(reader) == 200


@pytest.mark.parametrize(
    ("limit", "content", "refusal"), LARGE.values(), ids=LARGE.keys()
)
@pytest.mark.parametrize("in_pieces", [True, False])
async def test_lowered_limit_holds_on_open_connections(
    limit, content, refusal, in_pieces
):
    """Guards against connections that keep a limit that was lowered."""
    limits = [attrs.evolve(LIMITS, **{limit: 2048})]
    async with connected(limits) as (reader, writer):
        writer.write(content)
        assert await status_of(reader) == 200
        limits.append(LIMITS)
        await send_in_pieces(writer, content, 200 if in_pieces else 10_000)
        assert await status_of(reader) == refusal


CHUNK = b"20\r\n" + 0x20 * b"b" + b"\r\n"

#: Requests of which less than the lower limit comes first.
HALF_READ = {
    "head": ("max_head_bytes", request(head_bytes=1500), 300),
    "body": (
        "max_body_bytes",
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + 9 * CHUNK
        + b"0\r\n\r\n",
        len(HEAD) + 60,
    ),
}


@pytest.mark.parametrize(
    ("limit", "content", "first_bytes"),
    HALF_READ.values(),
    ids=HALF_READ.keys(),
)
async def test_raised_limit_holds_for_a_request_that_is_half_read(
    limit, content, first_bytes
):
    """Guards against refusals of what has begun under the lower limit."""
    limits = [LIMITS]
    async with connected(limits) as (reader, writer):
        await send_in_pieces(writer, content[:first_bytes])
        limits.append(attrs.evolve(LIMITS, **{limit: 2048}))
        await send_in_pieces(writer, content[first_bytes:])
        assert await status_of(reader) == 200


async def test_raised_limit_holds_for_pipelined_requests():
    """Guards against the limit of the request before a pipelined one."""
    limits = [LIMITS]
    async with connected(limits) as (reader, writer):
        content = request() + request(head_bytes=1500)
        writer.write(content[:-700])
        assert await status_of(reader) == 200
        limits.append(attrs.evolve(LIMITS, max_head_bytes=2048))
        await send_in_pieces(writer, content[-700:])
        assert await status_of(reader) == 200


#: What has been sent when a timeout is raised, and what follows.
WAITING = {
    "idle after a request": ("idle_timeout_s", request(), request()),
    "within a head": ("head_timeout_s", HEAD, request()[len(HEAD) :]),
    "within a body": (
        "idle_timeout_s",
        request(body_bytes=9)[:-4],
        b"bbbb",
    ),
}


@pytest.mark.parametrize(
    ("limit", "before", "after"), WAITING.values(), ids=WAITING.keys()
)
async def test_raised_timeout_holds_while_it_runs(limit, before, after):
    """Guards against connections that are closed under a raised timeout."""
    limits = [LIMITS]
    async with connected(limits) as (reader, writer):
        writer.write(before)
        if before == request():
            assert await status_of(reader) == 200
        await asyncio.sleep(0.05)
        limits.append(attrs.evolve(LIMITS, **{limit: 5.0}))
        await asyncio.sleep(PASSED_S)
        writer.write(after)
        assert await status_of(reader) == 200


async def test_raised_idle_timeout_ends_as_well():
    limits = [LIMITS]
    async with connected(limits) as (reader, _):
        limits.append(attrs.evolve(LIMITS, idle_timeout_s=PASSED_S))
        began_s = asyncio.get_running_loop().time()
        assert await asyncio.wait_for(reader.read(), 5) == b""
        assert asyncio.get_running_loop().time() - began_s >= PASSED_S - 0.1
