"""Crowds of clients that keep to no limit, before a router's process."""

import asyncio
import contextlib
import textwrap

import attrs
import pytest

from toucanrudder.http1 import client
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins
from toucanrudder.soak import site
from toucanrudder.testing import crowds
from toucanrudder.testing import ports

pytestmark = [pytest.mark.alone, pytest.mark.timeout(300)]

#: Memory and descriptors of the instance, by the router's settings.
MACHINE_MB = 88
MACHINE_DESCRIPTORS = 300

#: Memory beyond its own in calm that the process may take: what such an
#: instance has left.
GROWTH_BYTES = 20 * 2**20

MAX_BODY_BYTES = 4 * 2**20
MAX_HEAD_BYTES = 65_536
ANSWER_BYTES = 250_000

DEADLINE_S = 60.0

#: Clients that leave, on a machine that has memory for all; descriptors and
#: share of a core that may be left to them a second later.
LEAVING = 400
LARGE_MACHINE_MB = 1_000
LEFT_DESCRIPTORS = 20
LEFT_SHARE = 0.1

SETTINGS = """
    [router]
    name = r1
    zone = za
    [listen]
    callers = 127.0.0.1:{ports[0]}
    ready = 127.0.0.1:{ports[1]}
    peers = 127.0.0.1:{ports[2]}
    metrics = 127.0.0.1:{ports[3]}
    [store]
    address = {store}
    [limits]
    memory_mb = {memory_mb}
    max_descriptors = {max_descriptors}
"""


def _route(name, path, service):
    return {
        "name": name,
        "host": "app.example",
        "path_prefix": path,
        "kind": "safe",
        "timeout_ms": 60_000,
        "target_latency_ms": 100,
        "service": service,
        "max_attempts": 2,
    }


CONFIGURATION = clusters.CONFIGURATION | {
    "routes": [
        _route("read", "/r/", "desk"),
        _route("hold", "/hold/", "holding"),
        _route("large", "/large/", "large"),
    ],
    "services": [{"name": name} for name in ("desk", "holding", "large")],
    "limits": {
        "max_body_bytes": MAX_BODY_BYTES,
        "max_header_bytes": MAX_HEAD_BYTES,
        "header_timeout_ms": 60_000,
        "idle_timeout_ms": 60_000,
    },
}


def _head(path, number="crowd"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"Request-Id: {number}\r\nDeadline-Ms: 60000\r\n"
        "Authorization: Bearer key-of-north\r\n"
    ).encode()


async def _hold(upstream, run, answer):
    await asyncio.Event().wait()


async def _answer_small(upstream, run, answer):
    upstream.runs.append(run)
    await answer.send_whole(200, upstream.answer_headers(run), b"done")


async def _answer_large(upstream, run, answer):
    await answer.send_whole(
        200, upstream.answer_headers(run), b"y" * ANSWER_BYTES
    )


@attrs.define(eq=False)
class Running:
    """A router's process, its store and its upstreams."""

    cluster: clusters.Cluster
    process: site.Router
    desk: standins.Server
    memory: crowds.MemoryWatch | None = None

    @property
    def pid(self):
        return self.process.process.pid

    def address(self, listener):
        number = ("callers", "ready", "peers", "metrics").index(listener)
        return f"127.0.0.1:{self.process.ports[number]}"

    async def send(self, path=b"/r/x", body=b"x" * 2_000, **fields):
        """Send an ordinary request on a new connection; return its answer."""
        head, body = clusters.build_request(
            path, method=b"POST", body=body, Deadline_Ms="60000", **fields
        )
        connection = await client.connect(self.address("callers"), DEADLINE_S)
        try:
            async with asyncio.timeout(DEADLINE_S):
                connection.send(head, body)
                answer = await connection.next_event()
                while not isinstance(
                    await connection.next_event(), client.End
                ):
                    pass
        finally:
            connection.abort()
        return answer.status

    async def serves(self):
        """Whether an ordinary request is answered, if need be when retried.

        A refusal says when to come back.
        """
        async with asyncio.timeout(DEADLINE_S):
            while True:
                with contextlib.suppress(client.ExchangeError):
                    if await self.send() == 200:
                        return True
                await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def _running(tmp_path, memory_mb=MACHINE_MB, max_descriptors=4_000):
    async with clusters.running(tmp_path) as cluster:
        cluster.store.put("config", "main", CONFIGURATION)
        desk = await cluster.server("desk")
        desk.default_behaviour = _answer_small
        holding = await cluster.server("holding")
        holding.default_behaviour = _hold
        large = await cluster.server("large")
        large.default_behaviour = _answer_large
        with ports.reserved(4) as given:
            settings = tmp_path / "r1.ini"
            settings.write_text(
                textwrap.dedent(SETTINGS).format(
                    ports=given,
                    store=cluster.store.address,
                    memory_mb=memory_mb,
                    max_descriptors=max_descriptors,
                )
            )
            process = site.Router(
                "r1", list(given), settings, tmp_path / "r1.log"
            )
            await process.start()
        running = Running(cluster, process, desk)
        try:
            async with asyncio.timeout(site.START_S):
                while not await process.is_ready():
                    assert process.lives, process.log.read_text()
                    await asyncio.sleep(0.05)
            assert await running.serves()
            addresses = map(running.address, ("callers", "ready", "metrics"))
            async with crowds.watched_memory(running.pid, addresses) as memory:
                running.memory = memory
                yield running
        finally:
            process.signal(9)
            await process.process.wait()


async def _check_after(running):
    """Check what must hold while a crowd is there."""
    assert await running.serves()
    assert running.process.lives
    assert running.memory.growth_bytes() < GROWTH_BYTES


READ, HOLD, LARGE = _head("/r/x"), _head("/hold/x"), _head("/large/x")
UNKNOWN_PATH = b"GET /unknown HTTP/1.1\r\nHost: app.example\r\n\r\n"
ALL = MAX_BODY_BYTES

CROWDS = {
    "whole bodies": (24, crowds.states_length(HOLD, ALL, ALL)),
    "middle-sized whole bodies": (
        400,
        crowds.states_length(HOLD, 60_000, 60_000),
    ),
    "small whole bodies": (1_200, crowds.states_length(HOLD, 2_000, 2_000)),
    "just short": (24, crowds.states_length(READ, ALL, ALL - 1)),
    "just short in pieces": (
        24,
        crowds.states_length(READ, ALL, ALL - 1, 4_096),
    ),
    "just short, then byte by byte": (
        24,
        crowds.trickles(READ, ALL, ALL - 2_000, 1_000),
    ),
    "large chunks": (24, crowds.sends_chunks(READ, ALL - 65_536, 65_536)),
    "whole bodies in large chunks": (
        24,
        crowds.sends_chunks(HOLD, ALL, 65_536, is_whole=True),
    ),
    "small chunks": (32, crowds.sends_chunks(READ, 2**20, 16)),
    "chunks of one byte": (50, crowds.sends_chunks(READ, 2**14, 1)),
    "far too large by its head": (
        50,
        crowds.states_length(READ, 1000 * ALL, 4 * ALL),
    ),
    "chunks without end": (50, crowds.sends_chunks(READ, 4 * ALL, 65_536)),
    "one chunk far too large": (
        50,
        crowds.sends_one_chunk(READ, 1000 * ALL, 4 * ALL),
    ),
    "heads without end": (300, crowds.sends(READ + b"X: " + b"y" * 65_000)),
    "heads of many fields": (
        100,
        crowds.sends(
            HOLD + b"a:b\r\n" * 12_000 + b"Content-Length: 0\r\n\r\n"
        ),
    ),
    "heads of some fields": (
        300,
        crowds.sends(HOLD + b"a:b\r\n" * 1_400 + b"Content-Length: 0\r\n\r\n"),
    ),
    "a head and a trailer without end": (
        100,
        crowds.sends(
            READ
            + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX: "
            + b"y" * 65_000
        ),
    ),
    "bytes behind a request": (
        400,
        crowds.sends(HOLD + b"Content-Length: 0\r\n\r\n" + b"x" * 60_000),
    ),
    "more bytes behind a request": (
        300,
        crowds.sends(HOLD + b"Content-Length: 0\r\n\r\n" + b"x" * 200_000),
    ),
    "requests behind one another": (100, crowds.sends(UNKNOWN_PATH * 1_500)),
}


@pytest.mark.parametrize(
    ("count", "behave"), CROWDS.values(), ids=CROWDS.keys()
)
async def test_crowd_of_callers_ends_no_process(tmp_path, count, behave):
    """Guards against a process that runs out of memory or hangs."""
    async with _running(tmp_path) as running:
        async with crowds.crowd(running.address("callers"), behave, count):
            await _check_after(running)
        await _check_after(running)


async def test_refused_requests_leave_nothing(tmp_path):
    """Guards against a process that grows with each request it refuses."""
    async with _running(tmp_path) as running:
        data = (
            _head("/unknown") + b"Content-Length: 2000\r\n\r\n" + b"x" * 2_000
        )
        await crowds.send_repeatedly(
            running.address("callers"), data, 60, 1_000
        )
        await _check_after(running)


async def test_answers_that_nobody_reads_end_no_process(tmp_path):
    """Guards against a process that keeps answers without bound."""
    async with _running(tmp_path) as running:
        behave = crowds.sends(LARGE + b"Content-Length: 0\r\n\r\n")
        async with crowds.crowd(
            running.address("callers"), behave, 200, is_reading=False
        ):
            await _check_after(running)
        await _check_after(running)


@pytest.mark.parametrize("listener", ["ready", "metrics", "peers"])
async def test_crowd_at_another_listener_ends_no_process(tmp_path, listener):
    """Guards against a bound that only the callers' listener has."""
    async with _running(tmp_path) as running:
        behave = crowds.states_length(_head("/ready"), ALL, ALL - 1)
        async with crowds.crowd(running.address(listener), behave, 24):
            await _check_after(running)
            assert await running.process.is_ready()
        await _check_after(running)


async def test_crowds_in_series_do_not_add_up(tmp_path):
    """Guards against memory that a crowd leaves behind for the next."""
    async with _running(tmp_path) as running:
        behave = crowds.states_length(READ, ALL, ALL - 1)
        for _ in range(5):
            async with crowds.crowd(running.address("callers"), behave, 24):
                await _check_after(running)
        await _check_after(running)


async def test_crowd_leaves_descriptors_for_others(tmp_path):
    """Guards against a router that reaches neither store nor upstreams."""
    async with _running(
        tmp_path, max_descriptors=MACHINE_DESCRIPTORS
    ) as running:
        behave = crowds.sends(READ)
        async with crowds.crowd(running.address("callers"), behave, 400):
            await _check_after(running)
            assert crowds.open_descriptors(running.pid) < MACHINE_DESCRIPTORS
            added = _route("added", "/added/", "desk")
            routes = [*CONFIGURATION["routes"], added]
            running.cluster.store.put(
                "config",
                "main",
                CONFIGURATION | {"version": 4, "routes": routes},
            )
            async with asyncio.timeout(DEADLINE_S):
                while await running.send(b"/added/x") != 200:
                    await asyncio.sleep(0.1)
        await _check_after(running)


SENDS_CHUNKS = crowds.sends_chunks(READ, 2**14, 1)
LEAVERS = {
    "closed": SENDS_CHUNKS,
    "reset": crowds.and_resets(SENDS_CHUNKS),
    "a long head": crowds.sends(READ + b"a:b\r\n" * 12_000),
}


@pytest.mark.parametrize("behave", LEAVERS.values(), ids=LEAVERS.keys())
async def test_clients_that_left_occupy_nothing(tmp_path, behave):
    """Guards against requests that are parsed on when nobody waits."""
    async with _running(tmp_path, memory_mb=LARGE_MACHINE_MB) as running:
        descriptors, share = await crowds.occupied_after_leaving(
            running.pid, running.address("callers"), behave, LEAVING
        )
        assert descriptors < LEFT_DESCRIPTORS
        assert share < LEFT_SHARE
        assert await running.serves()


SINGLE = {
    "with a length": crowds.states_length(READ, ALL, ALL),
    "in pieces": crowds.states_length(READ, ALL, ALL, 4_096),
    "in large chunks": crowds.sends_chunks(READ, ALL, 65_536, is_whole=True),
    "in small chunks": crowds.sends_chunks(READ, ALL, 64, is_whole=True),
}


@pytest.mark.parametrize("behave", SINGLE.values(), ids=SINGLE.keys())
async def test_largest_body_is_served_in_calm(tmp_path, behave):
    """Guards against a bound that a client inside the limits meets."""
    async with _running(tmp_path) as running:
        host, _, port = running.address("callers").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(DEADLINE_S):
            await behave(reader, writer)
            line = await reader.readline()
        writer.transport.abort()
        assert line.startswith(b"HTTP/1.1 200 ")
        assert len(running.desk.runs[-1].body) == ALL
        assert running.memory.growth_bytes() < GROWTH_BYTES
