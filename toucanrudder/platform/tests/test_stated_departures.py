"""Upstreams that say in their answers that they leave."""

import pytest

from toucanrudder.http1 import message
from toucanrudder.platform import dialect


def read(status, *headers):
    return dialect.PlatformDialect().answer_facts(
        dialect.model.Call("id", "h", "/"),
        dialect.model.Upstream("u", "s", "u:1", name="u"),
        message.AnswerHead(status, headers),
    )


LEAVING = [
    ((b"Server-Leaving", b"1"), True),
    ((b"Server-Leaving", b" 1 "), True),
    ((b"Server-Leaving", b"0"), False),
    ((b"Server-Leaving", b""), False),
    ((b"X", b"1"), False),
]


@pytest.mark.parametrize(("header", "expected"), LEAVING)
def test_leaving_is_read(header, expected):
    assert read(200, header).is_leaving is expected


def test_leaving_of_another_process_at_the_address_is_ignored():
    word = (b"Server-Leaving", b"1")
    assert not read(421, (b"Instance-Id", b"v"), word).is_leaving
    assert not read(421, word).is_leaving
    assert read(421, (b"Instance-Id", b"u"), word).is_leaving
