"""Tests of servers of raw connections."""

import asyncio
import gc
import weakref

from toucanrudder.testing import servers


async def _request(writers):
    async def serve(reader, writer):
        writers.append(weakref.ref(writer))
        writer.write(await reader.readexactly(1))
        await reader.read()

    async with servers.running(serve) as address:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
    # The server's side is closed, also while its handler reads.
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()


def test_no_connection_outlives_its_event_loop(monkeypatch):
    writers, raised = [], []
    monkeypatch.setattr("sys.unraisablehook", raised.append)
    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        runner.run(_request(writers))
    gc.collect()
    assert [writer() for writer in writers] == [None]
    assert not raised
