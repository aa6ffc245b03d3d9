"""Answers that are no strict JSON, and what may be done with them."""

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from toucanrudder.http1 import calls

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
    orjson.dumps(calls.parsed(content))


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    text=strategies.text(
        strategies.sampled_from('{}[]",:\\ud80019eE-+.NaInfity \n'),
        max_size=24,
    )
)
def test_whatever_is_read_can_be_written(text):
    try:
        found = calls.parsed(text.encode())
    except calls.Unreadable:
        return
    orjson.dumps(found)
