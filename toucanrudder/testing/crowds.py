"""Crowds of clients that keep to no limit, on connections of their own."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import pathlib
import re

import attrs

from toucanrudder.bench.capacity import isolation
from toucanrudder.testing import resets

#: Bytes of a client that are sent in one piece where nothing else is said.
PIECE_BYTES = 65_536

#: Pause between two bytes of a client that sends one at a time.
TRICKLE_PAUSE_S = 0.1

#: Interval at which the memory of a process is looked at.
SAMPLE_INTERVAL_S = 0.02

KIB_BYTES = 1_024

Behaviour = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def _send(
    writer: asyncio.StreamWriter, head: bytes, pieces: Iterable[bytes]
) -> None:
    writer.write(head)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()


def _pieces(length: int, piece_bytes: int) -> Iterable[bytes]:
    piece = b"x" * piece_bytes
    for _ in range(length // piece_bytes):
        yield piece
    yield piece[: length % piece_bytes]


def states_length(
    head: bytes,
    stated_bytes: int,
    sent_bytes: int,
    piece_bytes: int = PIECE_BYTES,
) -> Behaviour:
    """Return a client that states a body's length and sends a part of it.

    Parameters
    ----------
    head : bytes
        Head of the request, without its last empty line.
    stated_bytes, sent_bytes : int
        Length that the head states, and what is sent of it.
    piece_bytes : int
        Bytes of each piece that is sent.
    """
    head += b"Content-Length: %d\r\n\r\n" % stated_bytes

    async def behave(reader, writer):
        await _send(writer, head, _pieces(sent_bytes, piece_bytes))

    return behave


def sends_chunks(
    head: bytes, body_bytes: int, chunk_bytes: int, *, is_whole: bool = False
) -> Behaviour:
    """Return a client that sends chunks of one size.

    Parameters
    ----------
    head : bytes
        Head of the request, without its last empty line.
    body_bytes : int
        Bytes that the chunks hold together.
    chunk_bytes : int
        Bytes of each chunk.
    is_whole : bool
        Whether it sends the last, empty chunk as well.
    """
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    chunks_per_piece = max(1, PIECE_BYTES // len(chunk))
    count = body_bytes // chunk_bytes

    def pieces():
        for _ in range(count // chunks_per_piece):
            yield chunk * chunks_per_piece
        yield chunk * (count % chunks_per_piece)
        if is_whole:
            yield b"0\r\n\r\n"

    async def behave(reader, writer):
        await _send(writer, head, pieces())

    return behave


def sends_one_chunk(
    head: bytes, stated_bytes: int, sent_bytes: int
) -> Behaviour:
    """Return a client that states a chunk and sends a part of it."""
    head += b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % stated_bytes

    async def behave(reader, writer):
        await _send(writer, head, _pieces(sent_bytes, PIECE_BYTES))

    return behave


def trickles(
    head: bytes, stated_bytes: int, sent_bytes: int, trickled_bytes: int
) -> Behaviour:
    """Return a client that sends much at once, then a byte at a time."""
    begin = states_length(head, stated_bytes, sent_bytes)

    async def behave(reader, writer):
        await begin(reader, writer)
        for _ in range(trickled_bytes):
            await asyncio.sleep(TRICKLE_PAUSE_S)
            await _send(writer, b"x", ())

    return behave


def sends(data: bytes) -> Behaviour:
    """Return a client that sends these bytes."""

    async def behave(reader, writer):
        await _send(writer, data, ())

    return behave


def and_resets(behave: Behaviour) -> Behaviour:
    """Return a client that resets its connection in place of closing it."""

    async def behave_and_reset(reader, writer):
        resets.reset_on_close(writer.get_extra_info("socket"))
        await behave(reader, writer)

    return behave_and_reset


def _stop_reading(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(RuntimeError):
        writer.transport.pause_reading()


async def _run_client(
    address: str, behave: Behaviour, is_reading: bool, end: asyncio.Event
) -> None:
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return
    if not is_reading:
        _stop_reading(writer)
    try:
        with contextlib.suppress(OSError):
            await behave(reader, writer)
        await end.wait()
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def crowd(
    address: str,
    behave: Behaviour,
    count: int,
    *,
    settle_s: float = 3.0,
    is_reading: bool = True,
) -> AsyncIterator[None]:
    """Let clients send as they like, and keep their connections open.

    Parameters
    ----------
    address : str
        ``IP:port`` to connect to.
    behave : Behaviour
        What each client does on its connection.
    count : int
        Number of clients.
    settle_s : float
        Time from their start until the block begins.
    is_reading : bool
        Whether they read what they are sent.

    Yields
    ------
    None
        They stay connected until the end of the block.
    """
    end = asyncio.Event()
    clients = [
        asyncio.ensure_future(_run_client(address, behave, is_reading, end))
        for _ in range(count)
    ]
    try:
        await asyncio.wait(clients, timeout=settle_s)
        yield
    finally:
        end.set()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _send_until_closed(address: str, data: bytes, times: int) -> int:
    """Send the same on one connection; return how often it was answered."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answered = 0
    try:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while answered < times:
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
                await reader.readexactly(int(length[1]))
                answered += 1
    finally:
        writer.transport.abort()
    return answered


async def send_repeatedly(
    address: str, data: bytes, clients: int, times: int
) -> None:
    """Let clients send the same again and again, on kept connections.

    Parameters
    ----------
    address : str
        ``IP:port`` to connect to.
    data : bytes
        A whole request.
    clients, times : int
        Number of clients, and of requests of each.
    """

    async def run_client() -> None:
        answered = 0
        while answered < times:
            answered += await _send_until_closed(
                address, data, times - answered
            )

    await asyncio.gather(*(run_client() for _ in range(clients)))


def _status_bytes(pid: int, wanted: str) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == wanted:
            return int(value.split()[0]) * KIB_BYTES
    raise ValueError(f"process {pid} does not state {wanted}")


def peak_memory_bytes(pid: int) -> int:
    """Return the most memory that a process has had resident."""
    return _status_bytes(pid, "VmHWM")


def memory_bytes(pid: int) -> int:
    """Return the memory that a process has resident."""
    return _status_bytes(pid, "VmRSS")


def _table_address(address: str) -> str:
    """Return an ``IP:port`` as the kernel's table of sockets has it."""
    host, _, port = address.rpartition(":")
    octets = bytes(int(part) for part in reversed(host.split(".")))
    return f"{octets.hex()}:{int(port):04x}"


def unread_bytes(addresses: Iterable[str]) -> int:
    """Return the bytes that wait unread in the sockets of listeners."""
    local = {_table_address(address) for address in addresses}
    total = 0
    for row in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = row.lower().split()
        if fields[1] in local and fields[3] != "0a":
            total += int(fields[4].partition(":")[2], 16)
    return total


@attrs.define(eq=False)
class MemoryWatch:
    """Memory of a process, with what waits unread in its sockets.

    Parameters
    ----------
    pid : int
        The process.
    addresses : tuple of str
        ``IP:port`` of its listeners.
    calm_bytes : int
        The most that it had when the watch began.
    sampled_bytes : int
        The most that was seen since.
    """

    pid: int
    addresses: tuple[str, ...]
    calm_bytes: int
    sampled_bytes: int = 0

    def sample(self) -> None:
        """Look at the memory now."""
        resident_bytes = memory_bytes(self.pid)
        self.sampled_bytes = max(
            self.sampled_bytes, resident_bytes + unread_bytes(self.addresses)
        )

    def growth_bytes(self) -> int:
        """Return the growth beyond what it had in calm."""
        now_bytes = peak_memory_bytes(self.pid) + unread_bytes(self.addresses)
        return max(self.sampled_bytes, now_bytes) - self.calm_bytes

    async def run(self) -> None:
        """Look at the memory again and again."""
        with contextlib.suppress(OSError, ValueError):
            while True:
                self.sample()
                await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def watched_memory(
    pid: int, addresses: Iterable[str]
) -> AsyncIterator[MemoryWatch]:
    """Watch the memory of a process during the block."""
    watch = MemoryWatch(pid, tuple(addresses), peak_memory_bytes(pid))
    task = asyncio.ensure_future(watch.run())
    try:
        yield watch
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


async def _occupied_share(pid: int) -> float:
    """Return the share of a core that a process occupies for a second."""
    before_s = isolation.processor_s(pid)
    await asyncio.sleep(1.0)
    return isolation.processor_s(pid) - before_s


async def occupied_after_leaving(
    pid: int, address: str, behave: Behaviour, count: int
) -> tuple[int, float]:
    """Return what a crowd occupies a second after it has left.

    Parameters
    ----------
    pid : int
        The process.
    address : str
        ``IP:port`` of its listener.
    behave : Behaviour
        What each client does before it leaves.
    count : int
        Number of clients.

    Returns
    -------
    int, float
        Descriptors, and the share of a core, beyond those in calm.
    """
    calm_descriptors = open_descriptors(pid)
    calm_share = await _occupied_share(pid)
    async with crowd(address, behave, count, settle_s=1.0):
        pass
    await asyncio.sleep(1.0)
    descriptors = open_descriptors(pid) - calm_descriptors
    return descriptors, await _occupied_share(pid) - calm_share
