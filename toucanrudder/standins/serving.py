"""Serves a stand-in, inside a process or as a process of its own."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import os
import signal
import sys

from aiohttp import web

MAX_BODY_BYTES = 16 * 2**20


@contextlib.asynccontextmanager
async def served(
    app: web.Application,
    host: str,
    port: int,
    cancel_handlers: bool = False,
) -> AsyncIterator[str]:
    """Serve `app` while the block runs.

    Parameters
    ----------
    app : web.Application
        The application.
    host : str
        Address to listen on.
    port : int
        Port; 0 picks a free one.
    cancel_handlers : bool
        Whether a handler is cancelled when its client leaves.

    Yields
    ------
    str
        ``IP:port`` that it listens on.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=0.2,
        handler_cancellation=cancel_handlers,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port, backlog=1024)
        await site.start()
        yield "{}:{}".format(*runner.addresses[0][:2])
    finally:
        await runner.cleanup()


async def _until_stopped(
    open_standin: Callable[[], contextlib.AbstractAsyncContextManager],
    kind: str,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with open_standin() as standin:
        ready = {
            "ready": True,
            "kind": kind,
            "pid": os.getpid(),
            "address": standin.address,
            "port": int(standin.address.rpartition(":")[2]),
        }
        print(json.dumps(ready), flush=True)
        on_leave = getattr(standin, "leave", None)
        if on_leave is not None:
            loop.add_signal_handler(signal.SIGUSR1, on_leave)
        await stop.wait()


def run(
    open_standin: Callable[[], contextlib.AbstractAsyncContextManager],
    kind: str,
) -> None:
    """Run a stand-in until SIGTERM; print a JSON line when it serves.

    Parameters
    ----------
    open_standin : callable
        Returns an async context manager whose value has an `address`.
    kind : str
        Word for the ready line.
    """
    # libuv opens an io_uring when the first loop starts unless this is set.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    try:
        uvloop.run(_until_stopped(open_standin, kind))
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


def not_run(
    request: web.Request, reason: str, status: int = 503
) -> web.Response:
    """Return a refusal that proves that nothing has been run."""
    return web.json_response(
        {"error": {"message": reason}},
        status=status,
        headers={
            "X-Not-Run": "1",
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
        },
    )
