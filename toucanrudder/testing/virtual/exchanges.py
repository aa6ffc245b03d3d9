"""Virtual calls by which routers hand requests over to each other."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from grpc import aio

_END = object()


@attrs.define(eq=False)
class PeerContext:
    """The called router's side of one call.

    Parameters
    ----------
    hop : callable
        Waits for the time of one way between two processes.
    """

    hop: Callable[[], Awaitable[None]]
    calls: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    parts: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    async def read(self):
        """Return the next message of the caller."""
        message = await self.calls.get()
        await self.hop()
        return message

    async def write(self, part) -> None:
        """Send a part of the answer."""
        self.parts.put_nowait(part)

    def set_compression(self, compression) -> None:
        """Ignore the compression."""


@attrs.define(eq=False)
class PeerCall:
    """The calling router's side of one call.

    Parameters
    ----------
    serve : callable
        Given the context, lets the called router serve the call; raises
        AioRpcError if it cannot be reached, or ends.
    hop : callable
        Waits for the time of one way between two processes.
    """

    serve: Callable[[PeerContext], Awaitable[None]]
    hop: Callable[[], Awaitable[None]]
    _context: PeerContext = attrs.field(init=False)
    _task: asyncio.Task = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._context = PeerContext(self.hop)
        self._task = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        try:
            await self.serve(self._context)
            self._context.parts.put_nowait(_END)
        except aio.AioRpcError as error:
            self._context.parts.put_nowait(error)

    async def write(self, message) -> None:
        """Send a message."""
        self._context.calls.put_nowait(message)

    async def done_writing(self) -> None:
        """End the messages."""

    async def read(self):
        """Return the next part of the answer."""
        part = await self._context.parts.get()
        if isinstance(part, aio.AioRpcError):
            raise part
        await self.hop()
        return part

    def cancel(self) -> None:
        """End the call."""
        self._task.cancel()
