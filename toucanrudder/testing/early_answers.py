"""Upstreams that answer an upload at once, without a length, and break off."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from toucanrudder.testing import resets
from toucanrudder.testing import servers

#: Part of the body that is sent before the answer breaks off.
PART = b"part of the body " * 160

#: Body of a request that no socket buffers take whole.
UPLOAD = b"u" * 3_000_000


@contextlib.asynccontextmanager
async def running(
    end: Callable,
    identity: bytes,
    fields: bytes = b"",
    status: bytes = b"200 OK",
) -> AsyncIterator[str]:
    """Run an upstream; yield its address.

    Parameters
    ----------
    end : callable
        One of `ENDS`: ends the answer.
    identity : bytes
        Lower-case name of the header field that an answer repeats.
    fields : bytes
        Lines of header fields of each answer.
    status : bytes
        Status and reason of each answer.
    """

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 "
                + status
                + b"\r\n"
                + echo(head, identity + b":")
                + fields
            )
            writer.write(b"\r\n" + PART)
            await end(reader, writer, head)
        writer.close()

    async with servers.running(serve) as address:
        yield address


def echo(head: bytes, name: bytes) -> bytes:
    """Return a field of a request's head as a line of its answer."""
    lines = head.split(b"\r\n")
    return b"".join(
        line + b"\r\n" for line in lines if line.lower().startswith(name)
    )


async def _reset(writer) -> None:
    resets.reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()


def _reset_after(delay_s: float):
    async def end(reader, writer, head) -> None:
        await asyncio.sleep(delay_s)
        await _reset(writer)

    return end


async def _close_unread(reader, writer, head) -> None:
    await writer.drain()
    writer.transport.pause_reading()
    await asyncio.sleep(0.02)
    writer.close()


async def _reset_after_half(reader, writer, head) -> None:
    await reader.readexactly(len(UPLOAD) // 2)
    await _reset(writer)


async def _reset_within_a_read(reader, writer, head) -> None:
    # What it reads makes room, so that its peer writes when it is reset.
    await reader.read(65_536)
    await _reset(writer)


async def end_in_order(reader, writer, head) -> None:
    """Read the whole upload, then close."""
    await reader.readexactly(len(UPLOAD))


#: Ways in which an answer breaks off.
ENDS = {
    "reset at once": _reset_after(0.0),
    "reset after 1 ms": _reset_after(0.001),
    "reset after 20 ms": _reset_after(0.02),
    "reset after 200 ms": _reset_after(0.2),
    "closed with unread bytes": _close_unread,
    "reset after half of the upload": _reset_after_half,
    "reset as its peer writes": _reset_within_a_read,
}

#: Statuses that are none of HTTP (RFC 9110, section 15).
NO_STATUSES = (b"000", b"099", b"600", b"999", b"20", b"2000", b"abc")
