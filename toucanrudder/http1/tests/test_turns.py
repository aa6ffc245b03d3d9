"""Tests of bodies that need long to parse."""

import asyncio

import pytest

from toucanrudder.http1 import server
from toucanrudder.http1 import turns
from toucanrudder.http1.tests import test_server

CHUNKED = b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS, CLIENTS = 20_000, 20

#: A head of many fields, and of the size of the limit.
FIELDS = 12_000
LONG_HEAD = b"GET /c HTTP/1.1\r\nHost: h\r\n" + b"a:b\r\n" * FIELDS

LIMITS = server.Limits(max_head_bytes=65_536, max_body_bytes=10 * CHUNKS)


async def _whole_request(recording, target):
    reader, writer = await test_server.open_connection(recording)
    writer.write(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % target)
    line = await asyncio.wait_for(reader.readline(), 60)
    writer.close()
    return line


class PiecewiseServer(test_server.RecordingServer):
    """A listener that accepts larger bodies."""

    def __init__(self):
        super().__init__()
        hooks = self.listener._hooks
        self.listener = server.Listener(
            server.Hooks(
                handle=hooks.handle,
                limits=lambda: LIMITS,
                closing=hooks.closing,
                refusal_body=hooks.refusal_body,
                refused=hooks.refused,
                clock=hooks.clock,
            )
        )


@pytest.fixture
async def recording():
    piecewise = PiecewiseServer()
    await piecewise.listener.start("127.0.0.1", 0)
    yield piecewise
    await piecewise.listener.stop()


async def _open_crowd(recording, data=CHUNKED + b"1\r\nx\r\n" * CHUNKS):
    writers = []
    for _ in range(CLIENTS):
        reader, writer = await test_server.open_connection(recording)
        writer.write(data)
        writers.append((reader, writer))
    return writers


async def test_others_are_served_while_small_chunks_are_parsed(recording):
    """Guards against a process that parses small chunks and nothing else."""
    crowd = await _open_crowd(recording)
    for _, writer in crowd:
        await writer.drain()
    line = await _whole_request(recording, b"/ordinary")
    assert line.startswith(b"HTTP/1.1 200 ")
    parsed_bytes = sum(
        len(connection._body) for connection in recording.listener.connections
    )
    assert parsed_bytes < CLIENTS * CHUNKS / 2
    for _, writer in crowd:
        writer.transport.abort()


async def test_small_chunks_of_many_are_all_parsed(recording):
    """Guards against a body that waits for a turn which never comes."""
    crowd = await _open_crowd(recording)
    for reader, writer in crowd:
        writer.write(b"0\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 120)
        assert line.startswith(b"HTTP/1.1 200 ")
        writer.close()
    assert [request.body for request in recording.requests] == [
        b"x" * CHUNKS
    ] * CLIENTS


async def test_others_are_served_while_long_heads_are_parsed(recording):
    """Guards against a process that parses heads and nothing else."""
    crowd = await _open_crowd(recording, LONG_HEAD)
    for _, writer in crowd:
        await writer.drain()
        writer.write(b"\r\n")
    line = await _whole_request(recording, b"/ordinary")
    assert line.startswith(b"HTTP/1.1 200 ")
    targets = [request.head.target for request in recording.requests]
    assert targets.index(b"/ordinary") < CLIENTS / 2
    for reader, writer in crowd:
        line = await asyncio.wait_for(reader.readline(), 60)
        assert line.startswith(b"HTTP/1.1 200 ")
        writer.close()
    assert {len(each.head.headers) for each in recording.requests} == {
        1,
        1 + FIELDS,
    }


class FakeConnection:
    """A connection with a number of events."""

    def __init__(self, events):
        self.events = events

    @property
    def awaits_turn(self):
        return self.events > 0

    def read_events(self, at_most):
        handled = min(self.events, at_most)
        self.events -= handled
        return handled


async def test_one_turn_handles_a_bounded_number_of_events():
    """Guards against a turn that takes as long as there are connections."""
    waiting = turns.Turns()
    crowd = [FakeConnection(1_000) for _ in range(100)]
    for connection in crowd:
        waiting.append(connection)
    left = total = 100_000
    while left:
        await asyncio.sleep(0)
        before, left = left, sum(each.events for each in crowd)
        limit = turns.EVENTS_PER_TURN + turns.EVENTS_PER_CONNECTION
        assert before - left <= limit
        spread = [each.events for each in crowd]
        assert max(spread) - min(spread) <= turns.EVENTS_PER_CONNECTION
    assert total == 100_000
