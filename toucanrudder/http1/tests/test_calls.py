"""Tests of lenient JSON parsing and of retries after a mismatched answer."""

import asyncio

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from toucanrudder.http1 import answer_room
from toucanrudder.http1 import calls
from toucanrudder.http1 import json_text
from toucanrudder.http1 import pool
from toucanrudder.testing import servers

NOT_STRICT_JSON = {
    "lone surrogate": b'{"a": "\\ud800"}',
    "lone surrogate in a key": b'{"\\udfff": 1}',
    "integer beyond 64 bits": b'[1180591620717411303424, "\xff"]',
    "NaN and infinity": b'{"a": [NaN, Infinity]}',
    "invalid UTF-8": b'["\xff\xfe"]',
    "line break in a string": b'["a\nb"]',
}


@pytest.mark.parametrize(
    "content", NOT_STRICT_JSON.values(), ids=NOT_STRICT_JSON.keys()
)
def test_leniently_parsed_json_can_be_encoded_for_peers(content):
    # An entry of another writer holds what the strict parser rejects.
    # Routers that read the registry for others encode it as strict JSON
    # again: if that failed, none of their followers would see any change.
    orjson.dumps(json_text.parse(content))


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    text=strategies.text(
        strategies.sampled_from('{}[]",:\\ud80019eE-+.NaInfity \n'),
        max_size=24,
    )
)
def test_any_parsed_value_can_be_encoded(text):
    try:
        value = json_text.parse(text.encode())
    except json_text.Unreadable:
        return
    orjson.dumps(value)


@pytest.mark.parametrize(
    ("method", "expected_requests"), ((b"GET", 2), (b"POST", 1))
)
async def test_only_get_is_retried_after_a_mismatched_answer(
    method, expected_requests
):
    # Any other request that is sent twice may be executed twice.
    heads = []

    async def serve(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        name = b"X-Named" if len(heads) == 1 else b"X-Other"
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            + name
            + b": a\r\n\r\n{}"
        )
        writer.close()

    async with servers.running(serve) as address:
        call = calls.call(
            pool.ConnectionPool(),
            address,
            method,
            "/x",
            timeout_s=5,
            connect_timeout_s=5,
            clock=asyncio.get_running_loop().time,
            foreign_header=b"x-named",
        )
        if expected_requests == 1:
            with pytest.raises(calls.MismatchedAnswer):
                await call
        else:
            assert (await call).status == 200
    assert len(heads) == expected_requests


async def test_many_answers_without_end_leave_room_for_a_sound_one():
    """Guards against many answers of which each stays below its bound."""
    connections = pool.ConnectionPool()
    connections.answers = answer_room.AnswerRoom(100_000, 300_000)

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b" /sound " in head:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b" " * 90_000)
        await reader.read()

    async with servers.running(serve) as address:

        def call(path, timeout_s):
            return calls.try_call(
                connections,
                address,
                b"GET",
                path,
                timeout_s=timeout_s,
                connect_timeout_s=5,
                clock=asyncio.get_running_loop().time,
            )

        crowd = [
            asyncio.ensure_future(call("/endless", 60)) for _ in range(20)
        ]
        async with asyncio.timeout(5):
            while sum(each.done() for each in crowd) < 16:
                await asyncio.sleep(0.01)
        assert connections.answers.held_bytes <= 300_000
        answer = await call("/sound", 5)
        assert (answer.status, answer.body) == (200, {})
        for each in crowd:
            each.cancel()
        await asyncio.wait(crowd)
    assert connections.answers.held_bytes == 0
