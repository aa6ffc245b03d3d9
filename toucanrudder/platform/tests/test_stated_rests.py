"""Upstreams that ask for rest when they refuse a request."""

import pytest

from toucanrudder.http1 import message
from toucanrudder.platform import dialect

RESTS = [
    (503, b"2.5", 2.5),
    (503, b" 3 ", 3.0),
    (429, b"1", 1.0),
    (503, b"0", 0.0),
    (503, b"3600", 3600.0),
    (503, b"-1", None),
    (503, b"inf", None),
    (503, b"nan", None),
    (503, b"", None),
    (503, b"soon", None),
    (503, b"Fri, 04 Dec 2026 10:00:00 GMT", None),
    (503, None, None),
    (500, b"2", None),
    (200, b"2", None),
]


@pytest.mark.parametrize(("status", "text", "rest_s"), RESTS)
def test_rest_is_read_leniently(status, text, rest_s):
    headers = () if text is None else ((b"Retry-After", text),)
    facts = dialect.PlatformDialect().answer_facts(
        dialect.model.Call("id", "h", "/"),
        dialect.model.Upstream("u", "s", "u:1"),
        message.AnswerHead(status, headers),
    )
    assert facts.rest_s == rest_s
