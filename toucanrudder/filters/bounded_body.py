"""Reading of request bodies within limits of size, time and memory."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Hashable
import contextlib

from aiohttp import web

from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder.filters import connections
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import body as bodies

STEP = "body"


def _need_of_bytes(body: bytes) -> accounts.Need:
    return accounts.Need(len(body))


async def read(
    request: web.Request,
    max_bytes: int,
    timeout_s: float,
    *,
    need_of: Callable[[bytes], accounts.Need] = _need_of_bytes,
    group: Hashable = None,
) -> bytes:
    """Return the whole body of a request.

    Parameters
    ----------
    request : web.Request
        The request.
    max_bytes : int
        Largest body.
    timeout_s : float
        Time within which it must be sent.
    need_of : callable
        Returns what memory the request needs for it.
    group : hashable
        What it has in common with the requests that it shares room with.

    Raises
    ------
    RudderError
        ``body_too_large``, ``body_too_slow`` or ``memory_full``.
    """
    if (request.content_length or 0) > max_bytes:
        raise _too_large(max_bytes)
    received = bodies.BodyBuffer()
    try:
        # The deadline covers the whole body: a limit on the pauses between
        # bytes would not stop a caller that sends one byte per second.
        async with stalls.timeout(timeout_s):
            await _receive(request, received, max_bytes)
        connection = connections.connection_of(request)
        body = received.take()
        if connection is not None:
            connection.admit(need_of(body), group)
        return body
    except TimeoutError:
        raise errors.RudderError(
            errors.Code.BODY_TOO_SLOW,
            f"body not sent within {timeout_s} s",
            step=STEP,
        ) from None
    finally:
        # The traceback of an error would keep the bytes.
        received.clear()


def _too_large(max_bytes: int) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.BODY_TOO_LARGE,
        f"body exceeds {max_bytes} bytes",
        step=STEP,
    )


async def _receive(
    request: web.Request, received: bodies.BodyBuffer, max_bytes: int
) -> None:
    connection = connections.connection_of(request)
    async with _revocable(connection, received):
        async for chunk in request.content.iter_any():
            received.append(chunk)
            if len(received) > max_bytes:
                raise _too_large(max_bytes)
            if connection is not None:
                connection.hold_body(len(received))
            # The traceback of a refusal would keep the bytes.
            del chunk


@contextlib.asynccontextmanager
async def _revocable(
    connection: connections.CallerConnection | None,
    received: bodies.BodyBuffer,
) -> AsyncIterator[None]:
    """Raise ``memory_full`` in the block once its memory is needed."""
    if connection is None:
        yield
        return
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as limit:

            def refuse() -> None:
                received.clear()
                limit.reschedule(loop.time())

            with connection.reading(refuse):
                yield
    except TimeoutError:
        if not limit.expired():
            raise
        raise connections.memory_full() from None
