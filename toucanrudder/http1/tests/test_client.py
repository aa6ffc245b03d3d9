"""Tests of the upstream connection and of the connection pool."""

import asyncio
import contextlib
import socket
import threading

import h11
import pytest
import uvloop

from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import pool
from toucanrudder.testing import resets
from toucanrudder.testing import servers

HEAD = message.RequestHead(b"GET", b"/x", ((b"Host", b"h"),))
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Upstream:
    """Server that answers each request with the next scripted response."""

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


def responds(data):
    async def answer(writer):
        writer.write(data)
        await writer.drain()

    return answer


def responds_and_closes(data, *, reset=False):
    async def answer(writer):
        writer.write(data)
        await writer.drain()
        if reset:
            resets.reset_on_close(writer.get_extra_info("socket"))
            # The written bytes must arrive before the reset.
            await asyncio.sleep(0.05)
        writer.close()
        raise ConnectionError

    return answer


@contextlib.asynccontextmanager
async def running_upstream(*answers):
    upstream = Upstream(*answers)
    async with servers.running(upstream.serve) as upstream.address:
        yield upstream


async def exchange(connection):
    connection.send(HEAD, b"")
    head = await connection.next_event()
    body = b""
    while not isinstance(event := await connection.next_event(), client.End):
        body += event.content
    return head, body


BROKEN = {
    "reset before the answer": (
        responds_and_closes(b"", reset=True),
        client.Fault.RESET,
    ),
    "closed before the answer": (
        responds_and_closes(b""),
        client.Fault.CLOSED,
    ),
    "closed in a body with a length": (
        responds_and_closes(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
        ),
        client.Fault.CLOSED,
    ),
    "closed in a chunk": (
        responds_and_closes(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"
        ),
        client.Fault.CLOSED,
    ),
    "reset in a body without a length": (
        responds_and_closes(b"HTTP/1.1 200 OK\r\n\r\nabc", reset=True),
        client.Fault.RESET,
    ),
    "not HTTP": (responds(b"\x00\xff\r\n\r\n"), client.Fault.NOT_HTTP),
}


@pytest.mark.parametrize(
    ("answer", "fault"), BROKEN.values(), ids=BROKEN.keys()
)
async def test_broken_answers_are_never_taken_as_complete(answer, fault):
    async with running_upstream(answer) as upstream:
        connection = await client.connect(upstream.address, 5)
        with pytest.raises(client.ExchangeError) as caught:
            await exchange(connection)
        assert caught.value.fault is fault
        assert caught.value.sent


async def test_a_body_without_length_ends_with_its_connection():
    answer = responds_and_closes(b"HTTP/1.1 200 OK\r\n\r\nabc")
    async with running_upstream(answer) as upstream:
        connection = await client.connect(upstream.address, 5)
        _, body = await exchange(connection)
        assert body == b"abc"
        assert not connection.finish()


async def test_a_refused_connection_proves_that_nothing_was_sent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(client.ExchangeError) as caught:
            await client.connect(address, 5)
    assert not caught.value.sent


def open_connection(connections, upstream, **fields):
    return connections.connection(
        upstream.address,
        connect_timeout_s=5,
        clock=asyncio.get_running_loop().time,
        **fields,
    )


async def exchange_on(connections, upstream):
    async with open_connection(connections, upstream) as connection:
        head, body = await exchange(connection)
        connection.keep_for_s = pool.keep_for_s(head.headers)
    return body


async def test_connections_are_reused():
    connections = pool.ConnectionPool()
    async with running_upstream(responds(WHOLE), responds(WHOLE)) as upstream:
        for _ in range(2):
            assert await exchange_on(connections, upstream) == b"ok"
        assert upstream.connections == 1
        connections.close()


async def test_an_excluded_connection_stays_in_the_pool():
    # If it were dropped, each second attempt would cost a connection; if it
    # were reused, it would carry the same request twice.
    connections = pool.ConnectionPool()
    async with running_upstream(*[responds(WHOLE)] * 3) as upstream:
        async with open_connection(connections, upstream) as first:
            head, _ = await exchange(first)
            first.keep_for_s = pool.keep_for_s(head.headers)
        async with open_connection(
            connections, upstream, excluded=[first]
        ) as second:
            head, _ = await exchange(second)
            second.keep_for_s = pool.keep_for_s(head.headers)
        assert second is not first
        async with open_connection(
            connections, upstream, excluded=[second]
        ) as third:
            await exchange(third)
        assert third is first
        connections.close()


NOT_KEPT = {
    "a second answer": WHOLE + WHOLE,
    "garbage after the answer": WHOLE + b"rubbish",
    "an announced close": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"Connection: close\r\n\r\nok",
}


@pytest.mark.parametrize("data", NOT_KEPT.values(), ids=NOT_KEPT.keys())
async def test_unusable_connections_are_not_reused(data):
    # A faulty upstream sends more than one response.  If the connection were
    # reused, the next caller would receive the rest as its response.
    connections = pool.ConnectionPool()
    async with running_upstream(responds(data), responds(WHOLE)) as upstream:
        assert await exchange_on(connections, upstream) == b"ok"
        assert await exchange_on(connections, upstream) == b"ok"
        assert upstream.connections == 2
        connections.close()


async def test_a_late_answer_closes_an_idle_connection():
    # An extra response arrives while the connection is idle in the pool.  The
    # connection must be closed, or the next request would read that response.
    late = asyncio.Event()

    async def answer(writer):
        writer.write(WHOLE)
        await late.wait()
        writer.write(WHOLE)

    connections = pool.ConnectionPool()
    async with running_upstream(answer, responds(WHOLE)) as upstream:
        async with open_connection(connections, upstream) as connection:
            head, _ = await exchange(connection)
            connection.keep_for_s = pool.keep_for_s(head.headers)
        late.set()
        async with asyncio.timeout(5):
            while connection.usable:
                await asyncio.sleep(0.01)
        assert await exchange_on(connections, upstream) == b"ok"
        assert upstream.connections == 2
        connections.close()


async def test_an_unfinished_exchange_closes_its_connection():
    # A caller disconnects while its response is being read.  The upstream
    # must see its connection close, or it would go on working for no one.
    closed = asyncio.Event()

    async def answer(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        closed.set()

    async with running_upstream(answer) as upstream:
        connections = pool.ConnectionPool()
        with contextlib.suppress(RuntimeError):
            async with open_connection(connections, upstream) as connection:
                connection.send(HEAD, b"")
                await connection.next_event()
                raise RuntimeError
        assert not connection.usable


def shut_down_writing(sock):
    sock.shutdown(socket.SHUT_WR)


def reset(sock):
    resets.reset_on_close(sock)
    sock.close()


async def wait_until_unusable(connection):
    while connection.usable:
        await asyncio.sleep(0.001)


async def do_not_wait(connection):
    """Leave the end unread in the kernel."""


async def abort(connection):
    connection.abort()


#: How the connection ends, what the client does before it sends, and whether
#: bytes of the request may have been sent.
ENDS_BEFORE_SEND = {
    "end detected": (shut_down_writing, wait_until_unusable, False),
    "reset detected": (reset, wait_until_unusable, False),
    "own abort": (shut_down_writing, abort, False),
    "end not detected": (shut_down_writing, do_not_wait, True),
    "reset not detected": (reset, do_not_wait, True),
}


@pytest.mark.parametrize(
    "loop_factory",
    (asyncio.new_event_loop, uvloop.new_event_loop),
    ids=("asyncio", "uvloop"),
)
@pytest.mark.parametrize(
    ("end", "before_send", "sent"),
    ENDS_BEFORE_SEND.values(),
    ids=ENDS_BEFORE_SEND.keys(),
)
def test_sent_is_false_only_if_no_byte_left(
    loop_factory, end, before_send, sent
):
    # A request that was not sent is retried, even if it may run only once.
    async def error_and_received_bytes():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await client.connect(f"{host}:{port}", 5)
            accepted, _ = listener.accept()
            with accepted:
                end(accepted)
                async with asyncio.timeout(5):
                    await before_send(connection)
                    with pytest.raises(client.ExchangeError) as caught:
                        await exchange(connection)
                await asyncio.sleep(0.05)
                received = accepted.fileno() >= 0 and accepted.recv(4096)
            return caught.value, received

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        error, received = runner.run(error_and_received_bytes())
    assert error.sent is sent
    assert sent or not received


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
    ids=("bad field", "body longer than announced"),
)
async def test_no_byte_of_an_unserialisable_request_is_sent(head, body):
    # The upstream would read a partial request as a request of its own.
    received = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        received.set_result(await reader.read())
        writer.close()

    connections = pool.ConnectionPool()
    async with servers.running(serve) as address:
        with pytest.raises(h11.LocalProtocolError):
            async with connections.connection(
                address,
                connect_timeout_s=5,
                clock=asyncio.get_running_loop().time,
            ) as connection:
                connection.send(head, body)
        assert not connection.sent
        async with asyncio.timeout(5):
            assert await received == b""


def test_a_reset_received_with_data_is_not_a_normal_end():
    # An upstream sends part of a body without a length and resets.  The event
    # loop is busy, so it finds data and reset together; libuv then reports
    # the data and an ordinary end of the stream.  The caller must not receive
    # the truncated body as a complete response.
    def reset_after_data(listener):
        accepted, _ = listener.accept()
        accepted.recv(4096)
        accepted.sendall(b"HTTP/1.1 200 OK\r\n\r\nabc")
        resets.reset_on_close(accepted)
        accepted.close()

    async def fault_of_truncated_answer():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await client.connect(f"{host}:{port}", 5)
            connection.send(HEAD, b"")
            # Sends the request, then blocks the event loop.
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
        assert runner.run(fault_of_truncated_answer()) is client.Fault.RESET


@pytest.mark.parametrize(
    "loop_factory", [uvloop.new_event_loop, asyncio.new_event_loop]
)
def test_an_aborted_request_is_never_received_completely(loop_factory):
    # The upstream reads nothing, so its receive window is full at the abort.
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
    received = b""
    with upstream, contextlib.suppress(ConnectionResetError):
        upstream.settimeout(5)
        while data := upstream.recv(65_536):
            received += data
    return received
