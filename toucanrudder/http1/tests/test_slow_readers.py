"""Peers that do not read for a while are not taken for dead."""

import asyncio
import socket
import time

from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.testing import servers

#: Longer than the kernel waits for an acknowledgement otherwise.
UNREAD_S = 4.5

CONTENT = b"x" * 3_000_000


def hooks(handle):
    return server.Hooks(
        handle=handle,
        limits=server.Limits,
        closing=lambda: False,
        refusal_body=lambda refusal: b"",
        refused=lambda refusal: None,
        clock=time.monotonic,
    )


async def test_caller_that_stands_still_gets_its_whole_answer():
    async def answers(request, answer):
        await answer.start(200, ())
        for first in range(0, len(CONTENT), 100_000):
            await answer.write(CONTENT[first : first + 100_000])
        await answer.end()

    listener = server.Listener(hooks(answers))
    await listener.start("127.0.0.1", 0)
    host, port = listener.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.connect((host, int(port)))
    sock.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await asyncio.sleep(UNREAD_S)
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock)
    body = b""
    async with asyncio.timeout(10):
        while not body.endswith(b"\r\n0\r\n\r\n"):
            received = await reader.read(100_000)
            assert received
            body += received
    assert body.count(b"x") == len(CONTENT)
    writer.close()
    await listener.stop()


async def test_upstream_that_stands_still_gets_the_whole_request():
    received = asyncio.get_running_loop().create_future()

    async def reads_late(reader, writer):
        await asyncio.sleep(UNREAD_S)
        await reader.readuntil(b"\r\n\r\n")
        received.set_result(await reader.readexactly(len(CONTENT)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    listening.bind(("127.0.0.1", 0))
    length = str(len(CONTENT)).encode()
    head = message.RequestHead(
        b"POST", b"/", ((b"Host", b"h"), (b"Content-Length", length))
    )
    async with servers.running(
        reads_late, listening=listening, limit_bytes=1000
    ) as address:
        connection = await client.connect(address, 1.0)
        connection.send(head, CONTENT)
        async with asyncio.timeout(10):
            answer = await connection.next_event()
            assert await received == CONTENT
        connection.abort()
    assert answer.status == 200
