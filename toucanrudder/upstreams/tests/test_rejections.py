"""Bodies of engines' rejections, whole and broken off."""

import asyncio
import contextlib

import pytest

from toucanrudder.testing import resets
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures
from toucanrudder.upstreams.tests import client_calls
from toucanrudder.upstreams.tests import test_endless_answers

REASON = b'{"error": {"message": "max_tokens is too large"}}'
LONG_REASON = b'"' + b"x" * engine.MAX_ERROR_BYTES + b'"'

WITH_LENGTH = b"Content-Length: %d\r\n\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n"
WITHOUT_LENGTH = b"Connection: close\r\n\r\n"

#: Fields of the head, pieces that are sent, whether the connection is reset
#: behind them, and what is read.
ROWS = {
    "whole": (WITH_LENGTH % len(REASON), (REASON,), False, REASON),
    "whole, in two pieces": (
        WITH_LENGTH % len(REASON),
        (REASON[:20], REASON[20:]),
        False,
        REASON,
    ),
    "whole, without a length": (WITHOUT_LENGTH, (REASON,), False, REASON),
    "part of its length": (
        WITH_LENGTH % len(REASON),
        (REASON[:20],),
        False,
        b"",
    ),
    "part of a chunk": (IN_CHUNKS % len(REASON), (REASON[:20],), False, b""),
    "part, without a length": (WITHOUT_LENGTH, (REASON[:20],), True, b""),
    "longer than is kept": (
        WITH_LENGTH % len(LONG_REASON),
        (LONG_REASON,),
        False,
        b"",
    ),
}


def _rejecting(fields, pieces, is_reset):
    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 400 Bad Request\r\nX-Request-Id: %s\r\n"
                % client_calls.REQUEST_ID.encode()
                + fields
            )
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.02)
            if is_reset:
                resets.reset_on_close(writer.get_extra_info("socket"))
        writer.close()

    return serve


@pytest.mark.parametrize(
    ("fields", "pieces", "is_reset", "expected"),
    ROWS.values(),
    ids=ROWS.keys(),
)
async def test_part_of_a_rejection_is_not_passed_on(
    fields, pieces, is_reset, expected
):
    """Guards against a part of a reason that is taken for all of it."""
    async with test_endless_answers.calling(
        _rejecting(fields, pieces, is_reset)
    ) as (session, address):
        with pytest.raises(failures.UpstreamFailure) as raised:
            await client_calls.call_engine(
                session, test_endless_answers.engine(address)
            )
    assert raised.value.kind is failures.Kind.REJECTED
    assert raised.value.body == expected
