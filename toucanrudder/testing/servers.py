"""Servers of raw connections that end together with a block."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def running(
    serve: Serve,
    *,
    listening: socket.socket | None = None,
    limit_bytes: int = 65_536,
) -> AsyncIterator[str]:
    """Serve connections on loopback during the block.

    All connections are closed with the block.  A stream that outlives its
    event loop raises in its finalizer, in whichever test collects it.

    Parameters
    ----------
    serve : Serve
        Serves one connection.  It is cancelled if the block ends before it.
    listening : socket.socket or None
        A bound socket to listen on; None: a free port of 127.0.0.1.
    limit_bytes : int
        How much of a connection is read ahead.

    Yields
    ------
    str
        ``IP:port`` of the server.
    """
    writers: dict[asyncio.Task, asyncio.StreamWriter] = {}

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not server.is_serving():
            writer.transport.abort()
            return
        writers[asyncio.ensure_future(serve(reader, writer))] = writer

    if listening is None:
        listening = socket.create_server(("127.0.0.1", 0))
    server = await asyncio.start_server(
        accept, sock=listening, limit=limit_bytes
    )
    try:
        yield "{}:{}".format(*listening.getsockname())
    finally:
        server.close()
        for task, writer in writers.items():
            task.cancel()
            writer.transport.abort()
        await asyncio.gather(*writers, return_exceptions=True)
