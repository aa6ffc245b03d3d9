"""Answers that are no strict JSON, and what may be done with them."""

import asyncio

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from toucanrudder.http1 import calls
from toucanrudder.http1 import pool

ODD = {
    "half of a pair": b'{"a": "\\ud800"}',
    "half of a pair in a name": b'{"\\udfff": 1}',
    "a number beyond 64 bits": b'[1180591620717411303424, "\xff"]',
    "no number": b'{"a": [NaN, Infinity]}',
    "bytes that are no text": b'["\xff\xfe"]',
    "a line break in a text": b'["a\nb"]',
}


@pytest.mark.parametrize("content", ODD.values(), ids=ODD.keys())
def test_what_is_read_leniently_can_be_told_to_peers(content):
    # Another writer's entry holds what the strict parser refuses.  Routers
    # that read the registry for others write it as strict JSON again: if
    # that failed, none of their followers would hear of any change.
    orjson.dumps(calls.parse_json(content))


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    text=strategies.text(
        strategies.sampled_from('{}[]",:\\ud80019eE-+.NaInfity \n'),
        max_size=24,
    )
)
def test_whatever_is_read_can_be_written(text):
    try:
        found = calls.parse_json(text.encode())
    except calls.Unreadable:
        return
    orjson.dumps(found)


@pytest.mark.parametrize(("method", "asked"), ((b"GET", 2), (b"POST", 1)))
async def test_only_a_question_is_repeated_after_anothers_answer(
    method, asked
):
    # An order that was sent twice may be carried out twice.
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

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    call = calls.call(
        pool.ConnectionPool(),
        f"{host}:{port}",
        method,
        "/x",
        timeout_s=5,
        connect_timeout_s=5,
        clock=asyncio.get_running_loop().time,
        foreign_header=b"x-named",
    )
    if asked == 1:
        with pytest.raises(calls.Crossed):
            await call
    else:
        assert (await call).status == 200
    assert len(heads) == asked
    server.close()
