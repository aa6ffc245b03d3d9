"""What upstreams send, and what may be concluded from it."""

import asyncio
import contextlib
import socket
import struct
import threading

import h11
import pytest
import uvloop

from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool

HEAD = message.RequestHead(b"GET", b"/x", ((b"Host", b"h"),))
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Upstream:
    """Answers each request with the next of its scripted answers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.address = ""

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while self.answers:
                await reader.readuntil(b"\r\n\r\n")
                await self.answers.pop(0)(writer)
        writer.close()


def sends(data):
    async def answer(writer):
        writer.write(data)
        await writer.drain()

    return answer


def ends(data, *, reset=False):
    async def answer(writer):
        writer.write(data)
        await writer.drain()
        if reset:
            found = writer.get_extra_info("socket")
            found.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            # What was written must arrive before the reset.
            await asyncio.sleep(0.05)
        writer.close()
        raise ConnectionError

    return answer


@contextlib.asynccontextmanager
async def running(*answers):
    upstream = Upstream(*answers)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    upstream.address = f"{host}:{port}"
    try:
        yield upstream
    finally:
        server.close()


async def exchanged(connection):
    connection.send(HEAD, b"")
    head = await connection.next_event()
    body = b""
    while not isinstance(event := await connection.next_event(), client.End):
        body += event.content
    return head, body


BROKEN = {
    "reset before the answer": (ends(b"", reset=True), client.Fault.RESET),
    "closed before the answer": (ends(b""), client.Fault.CLOSED),
    "closed in a body with a length": (
        ends(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
        client.Fault.CLOSED,
    ),
    "closed in a chunk": (
        ends(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"),
        client.Fault.CLOSED,
    ),
    "reset in a body without a length": (
        ends(b"HTTP/1.1 200 OK\r\n\r\nabc", reset=True),
        client.Fault.RESET,
    ),
    "no HTTP at all": (sends(b"\x00\xff\r\n\r\n"), client.Fault.NOT_HTTP),
}


@pytest.mark.parametrize(
    ("answer", "fault"), BROKEN.values(), ids=BROKEN.keys()
)
async def test_broken_answers_never_look_whole(answer, fault):
    async with running(answer) as upstream:
        connection = await client.connect(upstream.address, 5)
        with pytest.raises(client.ExchangeError) as caught:
            await exchanged(connection)
        assert caught.value.fault is fault
        assert caught.value.sent


async def test_a_body_without_length_ends_with_its_connection():
    answer = ends(b"HTTP/1.1 200 OK\r\n\r\nabc")
    async with running(answer) as upstream:
        connection = await client.connect(upstream.address, 5)
        _, body = await exchanged(connection)
        assert body == b"abc"
        assert not connection.finish()


async def test_a_refused_connection_proves_that_nothing_was_sent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(client.ExchangeError) as caught:
            await client.connect(address, 5)
    assert not caught.value.sent


def lent(connections, upstream, **fields):
    return connections.connection(
        upstream.address,
        connect_timeout_s=5,
        clock=asyncio.get_running_loop().time,
        **fields,
    )


async def served(connections, upstream):
    async with lent(connections, upstream) as connection:
        head, body = await exchanged(connection)
        connection.keep_for_s = pool.keep_for_s(head.headers)
    return body


async def test_connections_are_used_again():
    connections = pool.ConnectionPool()
    async with running(sends(WHOLE), sends(WHOLE)) as upstream:
        for _ in range(2):
            assert await served(connections, upstream) == b"ok"
        assert upstream.connections == 1
        connections.close()


async def test_a_connection_that_is_passed_over_stays_kept():
    # Dropped, each second try would cost a connection; taken, it would
    # carry the same request twice.
    connections = pool.ConnectionPool()
    async with running(*[sends(WHOLE)] * 3) as upstream:
        async with lent(connections, upstream) as first:
            head, _ = await exchanged(first)
            first.keep_for_s = pool.keep_for_s(head.headers)
        async with lent(connections, upstream, excluded=[first]) as second:
            head, _ = await exchanged(second)
            second.keep_for_s = pool.keep_for_s(head.headers)
        assert second is not first
        async with lent(connections, upstream, excluded=[second]) as third:
            await exchanged(third)
        assert third is first
        connections.close()


NOT_KEPT = {
    "a second answer": WHOLE + WHOLE,
    "rubbish behind the answer": WHOLE + b"rubbish",
    "an announced close": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"Connection: close\r\n\r\nok",
}


@pytest.mark.parametrize("data", NOT_KEPT.values(), ids=NOT_KEPT.keys())
async def test_spoilt_connections_are_not_used_again(data):
    # A faulty upstream sends more than one answer.  Kept, the connection
    # would hand the rest to the next caller as his answer.
    connections = pool.ConnectionPool()
    async with running(sends(data), sends(WHOLE)) as upstream:
        assert await served(connections, upstream) == b"ok"
        assert await served(connections, upstream) == b"ok"
        assert upstream.connections == 2
        connections.close()


async def test_a_late_answer_spoils_an_idle_connection():
    # An extra answer comes after the connection was put away.  It must be
    # closed then; the next request would read it as its own answer.
    late = asyncio.Event()

    async def answer(writer):
        writer.write(WHOLE)
        await late.wait()
        writer.write(WHOLE)

    connections = pool.ConnectionPool()
    async with running(answer, sends(WHOLE)) as upstream:
        async with lent(connections, upstream) as connection:
            head, _ = await exchanged(connection)
            connection.keep_for_s = pool.keep_for_s(head.headers)
        late.set()
        async with asyncio.timeout(5):
            while connection.usable:
                await asyncio.sleep(0.01)
        assert await served(connections, upstream) == b"ok"
        assert upstream.connections == 2
        connections.close()


async def test_an_unfinished_exchange_closes_its_connection():
    # A caller leaves while his answer is being read.  The upstream must
    # see its connection close, or it would work on for nobody.
    closed = asyncio.Event()

    async def answer(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        closed.set()

    async with running(answer) as upstream:
        connections = pool.ConnectionPool()
        with contextlib.suppress(RuntimeError):
            async with lent(connections, upstream) as connection:
                connection.send(HEAD, b"")
                await connection.next_event()
                raise RuntimeError
        assert not connection.usable


def ended(found):
    found.shutdown(socket.SHUT_WR)


def reset(found):
    found.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    found.close()


async def seen(connection):
    while connection.usable:
        await asyncio.sleep(0.001)


async def unseen(connection):
    """Leave the end unread in the kernel."""


async def let_go(connection):
    connection.abort()


#: What ends the connection, how the client learns of it before it sends,
#: and whether bytes of the request can have left.
ENDS_BEFORE = {
    "end seen": (ended, seen, False),
    "reset seen": (reset, seen, False),
    "own abort": (ended, let_go, False),
    "end not seen": (ended, unseen, True),
    "reset not seen": (reset, unseen, True),
}


@pytest.mark.parametrize(
    "loop_factory",
    (asyncio.new_event_loop, uvloop.new_event_loop),
    ids=("asyncio", "uvloop"),
)
@pytest.mark.parametrize(
    ("end", "learned", "sent"), ENDS_BEFORE.values(), ids=ENDS_BEFORE.keys()
)
def test_not_sent_is_said_only_if_no_byte_left(
    loop_factory, end, learned, sent
):
    # What has not been sent is sent again, also if it may run once.
    async def fault_and_bytes():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await client.connect(f"{host}:{port}", 5)
            accepted, _ = listener.accept()
            with accepted:
                end(accepted)
                async with asyncio.timeout(5):
                    await learned(connection)
                    with pytest.raises(client.ExchangeError) as caught:
                        await exchanged(connection)
                await asyncio.sleep(0.05)
                left = accepted.fileno() >= 0 and accepted.recv(4096)
            return caught.value, left

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        error, left = runner.run(fault_and_bytes())
    assert error.sent is sent
    assert sent or not left


@pytest.mark.parametrize(
    ("head", "body"),
    (
        (message.RequestHead(b"GET", b"/x", ((b"Bad name", b"h"),)), b""),
        (
            message.RequestHead(
                b"PUT", b"/x", ((b"Host", b"h"), (b"Content-Length", b"2"))
            ),
            b"three",
        ),
    ),
    ids=("bad field", "body longer than told"),
)
async def test_a_request_that_cannot_be_written_leaves_no_byte(head, body):
    # Half of it would be a request of its own at the upstream.
    received = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        received.set_result(await reader.read())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connections = pool.ConnectionPool()
    with pytest.raises(h11.LocalProtocolError):
        async with connections.connection(
            f"{host}:{port}",
            connect_timeout_s=5,
            clock=asyncio.get_running_loop().time,
        ) as connection:
            connection.send(head, body)
    assert not connection.sent
    async with asyncio.timeout(5):
        assert await received == b""
    server.close()


def test_a_reset_that_comes_with_the_data_is_no_end():
    # An upstream sends part of a body without length and resets.  The
    # event loop is busy, so data and reset are there at once; libuv then
    # reports the data and an ordinary end.  Taken for whole, a short body
    # would go to the caller as a complete answer.
    def reset_after_data(listener):
        found, _ = listener.accept()
        found.recv(4096)
        found.sendall(b"HTTP/1.1 200 OK\r\n\r\nabc")
        found.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        found.close()

    async def short_answer():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await client.connect(f"{host}:{port}", 5)
            connection.send(HEAD, b"")
            # Lets the request leave, then blocks the loop.
            await asyncio.sleep(0)
            upstream = threading.Thread(
                target=reset_after_data, args=(listener,)
            )
            upstream.start()
            upstream.join()
            await connection.next_event()
            await connection.next_event()
            with pytest.raises(client.ExchangeError) as caught:
                await connection.next_event()
            return caught.value.fault

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(short_answer()) is client.Fault.RESET


@pytest.mark.parametrize(
    "loop_factory", [uvloop.new_event_loop, asyncio.new_event_loop]
)
def test_an_abandoned_request_is_never_read_whole(loop_factory):
    # An upstream reads nothing, so its window is full when we give up.
    body = b"x" * 1_000_000
    head = message.RequestHead(
        b"POST",
        b"/x",
        ((b"Host", b"h"), (b"Content-Length", str(len(body)).encode())),
    )

    async def received():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await client.connect(f"{host}:{port}", 5)
            upstream, _ = listener.accept()
            connection.send(head, body)
            await asyncio.sleep(0)
            connection.abort()
            await asyncio.sleep(0.05)
            return await asyncio.to_thread(_read_until_end, upstream)

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert len(runner.run(received())) < len(body)


def _read_until_end(upstream):
    found = b""
    with upstream, contextlib.suppress(ConnectionResetError):
        upstream.settimeout(5)
        while data := upstream.recv(65_536):
            found += data
    return found
