"""Answers of services that come before the whole upload, and break off."""

import pytest

from toucanrudder.testing import early_answers
from toucanrudder.upstreams import failures
from toucanrudder.upstreams.tests import client_calls

IDENTITY = b"x-request-id"

#: Times that each way to break off is tried: which side meets it first
#: differs.
TRIES = 5


@pytest.mark.parametrize(
    "end", early_answers.ENDS.values(), ids=early_answers.ENDS.keys()
)
async def test_answer_that_breaks_off_is_not_read_as_whole(end):
    """Guards against a part of an answer that is taken for all of it."""
    async with early_answers.running(end, IDENTITY) as address:
        for _ in range(TRIES):
            with pytest.raises(failures.UpstreamFailure) as raised:
                await client_calls.upload_to_service(address)
            assert raised.value.kind is failures.Kind.SILENT


async def test_answer_that_ends_with_its_connection_is_whole():
    async with early_answers.running(
        early_answers.end_in_order, IDENTITY
    ) as address:
        body = await client_calls.upload_to_service(address)
    assert body == early_answers.PART


@pytest.mark.parametrize("status", early_answers.NO_STATUSES)
async def test_answer_without_a_valid_status_is_a_failure(status):
    """Guards against statuses that callers cannot understand."""
    async with early_answers.running(
        early_answers.end_in_order, IDENTITY, status=status + b" Odd"
    ) as address:
        with pytest.raises(failures.UpstreamFailure) as raised:
            await client_calls.upload_to_service(address)
    assert raised.value.kind is failures.Kind.SILENT
