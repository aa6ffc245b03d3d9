"""Tests of exponential backoff."""

import random

import pytest

from toucanrudder import backoff
from toucanrudder.controllers import backoff as controllers_backoff
from toucanrudder.forwarding import upstream_news
from toucanrudder.forwarding import upstream_states
from toucanrudder.retries import decision

COUNTS = (1, 2, 1_024, 1_025, 1_000_000)


def _upstream_backoff_s(count):
    states = upstream_states.UpstreamStates()
    states.of("i-1").failures_in_row = count - 1
    states.record_failure("i-1", 100.0)
    return states.of("i-1").backoff_until_s - 100.0


DELAYS = {
    "of a controller": (
        lambda count: controllers_backoff.delay_s(count, random.Random(1)),
        controllers_backoff.MAX_DELAY_S,
    ),
    "of a retry": (
        lambda count: decision.delay_s(count, random.Random(1)),
        decision.MAX_DELAY_S,
    ),
    "of an upstream": (_upstream_backoff_s, upstream_states.MAX_BACKOFF_S),
    "of a refusing engine": (
        upstream_news.refusal_s,
        upstream_news.MAX_REFUSAL_S,
    ),
    "in general": (lambda count: backoff.exponential_s(count, 0.3, 7.0), 7.0),
}


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize(
    ("delay_s", "most_s"), DELAYS.values(), ids=DELAYS.keys()
)
def test_no_count_overflows(delay_s, most_s, count):
    """Guards against an outage that ends by an error of arithmetic."""
    assert 0 <= delay_s(count) <= most_s * (1 + 1e-9)
