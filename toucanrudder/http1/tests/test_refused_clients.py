"""Tests of clients that go on sending once they are refused."""

import asyncio

from toucanrudder.http1.tests import test_server

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 190000\r\n\r\n"


async def test_refused_client_that_goes_on_sending_reads_its_refusal():
    """Guards against a reset that overtakes the refusal."""
    async with test_server.running_server() as recording:
        reader, writer = await test_server.open_connection(recording)
        writer.write(HEAD)
        for _ in range(19):
            writer.write(b"x" * 10_000)
            await writer.drain()
            await asyncio.sleep(0.005)
        answer = await asyncio.wait_for(reader.read(), 10)
        assert answer.startswith(b"HTTP/1.1 413 ")
        writer.transport.abort()


async def test_refused_client_is_not_read_for_good():
    """Guards against a client that is refused and sends without end."""
    async with test_server.running_server() as recording:
        _, writer = await test_server.open_connection(recording)
        writer.write(HEAD)
        async with asyncio.timeout(30):
            while True:
                writer.write(b"x" * 1_000)
                try:
                    await writer.drain()
                except ConnectionError:
                    break
                await asyncio.sleep(0.01)
        assert not recording.listener.connections
