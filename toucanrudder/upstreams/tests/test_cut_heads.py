"""Answers of upstreams that stop in the middle and close."""

import contextlib

import aiohttp
import pytest

from toucanrudder.document import model
from toucanrudder.testing import answers
from toucanrudder.testing import resets
from toucanrudder.testing import servers
from toucanrudder.upstreams import failures
from toucanrudder.upstreams.tests import client_calls

BODY = b"done" * 3
FIELDS = b"X-Request-Id: %b\r\n" % client_calls.REQUEST_ID.encode()
CALLS = (
    client_calls.call_service,
    client_calls.call_engine,
    client_calls.resume_engine,
)


@contextlib.asynccontextmanager
async def upstream_with(answer, *, reset):
    """Yield an upstream that sends these bytes and closes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if reset:
            resets.reset_on_close(writer.get_extra_info("socket"))
        writer.close()

    async with servers.running(serve) as address:
        yield model.Upstream("u", model.ENGINE, address, "z", "p")


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("reset", (False, True), ids=("closed", "reset"))
@pytest.mark.parametrize(
    "framing", answers.FRAMINGS.values(), ids=answers.FRAMINGS.keys()
)
async def test_answer_that_stops_at_any_byte_is_not_read_as_whole(
    framing, reset, call
):
    answer = framing(FIELDS, BODY)
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:
        async with upstream_with(answer, reset=False) as upstream:
            assert await call(session, upstream) == BODY
        for size in range(len(answer)):
            async with upstream_with(answer[:size], reset=reset) as upstream:
                with contextlib.suppress(
                    failures.UpstreamFailure, aiohttp.ClientError, OSError
                ):
                    assert await call(session, upstream) == BODY, size
