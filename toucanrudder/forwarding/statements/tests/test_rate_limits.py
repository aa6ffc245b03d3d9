"""Decisions on upstreams that state how many requests they take."""

import math
import random

import pytest

from toucanrudder.forwarding.statements import rate_limits

OWN = rate_limits.Turn(is_own=True)
OTHER = rate_limits.Turn(is_own=False)


def count_sent(limits, turn, until_s, since_s=0.0, step_s=0.05):
    """Return how many requests are sent by a router that always has one."""
    steps = round((until_s - since_s) / step_s)
    return [
        limits.spend("u", turn, since_s + step * step_s)
        for step in range(steps + 1)
    ].count(True)


RATES = {
    "one and a half": (1.5, OWN, 15),
    "less than one": (0.25, OWN, 2.5),
    "many": (10.0, OWN, 100),
    "none": (0.0, OWN, 10 * rate_limits.MIN_RATE_PER_S),
    "another router has the turn": (1.5, OTHER, 0),
    "half of the fleet is out of reach": (
        1.0,
        rate_limits.Turn(is_own=True, share=0.5),
        5,
    ),
}


@pytest.mark.parametrize(
    ("rate_per_s", "turn", "expected"), RATES.values(), ids=RATES
)
def test_a_router_keeps_to_the_rate_from_the_first_request_on(
    rate_per_s, turn, expected
):
    limits = rate_limits.RateLimits()
    limits.record("u", rate_per_s, 0.0)
    assert expected - 1 <= count_sent(limits, turn, 10.0) <= expected


def test_a_router_that_waits_for_its_turn_saves_no_requests():
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, 0.0)
    assert not limits.may_send("u", OWN, 9.0)
    assert limits.may_send("u", OWN, 9.6)
    assert not limits.may_send("u", OTHER, 9.7)
    assert not limits.may_send("u", OWN, 9.8)
    assert count_sent(limits, OWN, 11.9, since_s=9.8) == 4


STATEMENTS = {
    "the first": ((), ("u", 2.0), True, 2.0),
    "the same": ((2.0,), ("u", 2.0), False, 2.0),
    "another": ((2.0,), ("u", 3.0), True, 3.0),
    "none": ((2.0,), ("u", None), True, None),
    "none, as before": ((), ("u", None), False, None),
    "unreadable": ((2.0,), ("u", math.nan), False, 2.0),
    "unreadable at first": ((), ("u", math.nan), False, None),
    "of another upstream": ((2.0,), ("v", 3.0), True, 2.0),
}


@pytest.mark.parametrize(
    ("before", "stated", "is_news", "rate_per_s"),
    STATEMENTS.values(),
    ids=STATEMENTS,
)
def test_the_last_statement_counts(before, stated, is_news, rate_per_s):
    limits = rate_limits.RateLimits()
    for rate in before:
        limits.record("u", rate, 1.0)
    assert limits.record(*stated, now_s=2.0) is is_news
    assert limits.stated_rate_per_s("u") == rate_per_s


def test_an_older_word_of_a_peer_does_not_revive_a_limit():
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, 1.0)
    limits.record("u", None, 5.0)
    assert not limits.merge("u", 2.0, 4.9)
    assert not limits.merge("u", 2.0, 5.05)
    assert limits.stated_rate_per_s("u") is None
    assert limits.merge("u", 2.0, 6.0)


def test_the_turn_passes_on_while_nobody_asks():
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, 1.0)
    turn_s = rate_limits.TURN_S
    turns = [limits.turns("u", 1.0 + k * turn_s) for k in (0.9, 1.1, 2.1)]
    assert turns == [0, 1, 2]
    limits.record("u", 2.0, 1.0 + 2.2 * turn_s)
    assert limits.turns("u", 1.0 + 2.3 * turn_s) == 0


def test_the_rate_grows_once_a_limit_has_ended():
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, 1.0)
    limits.record("u", None, 2.0)
    rates_per_s = [limits.rate_per_s("u", 2.0 + age_s) for age_s in (0, 1, 3)]
    assert rates_per_s == [2.0, 4.0, 16.0]
    assert limits.rate_per_s("u", 2.0 + rate_limits.RAMP_S) is None
    # Further answers without a limit do not begin the time anew.
    assert not limits.record("u", None, 5.9)
    assert limits.spend("u", OTHER, 2.0 + rate_limits.RAMP_S)


def test_what_is_known_of_gone_upstreams_is_forgotten():
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, 1.0)
    limits.record("v", 2.0, 1.0)
    limits.retain({"v"}, 1.0 + rate_limits.KEPT_S)
    assert set(limits.current(2.0)) == {"v"}
    limits.record("v", None, 3.0)
    assert set(limits.current(4.0)) == {"v"}
    assert not limits.current(3.0 + rate_limits.KEPT_S)
    assert limits.is_empty


@pytest.mark.parametrize("routers", [1, 8, 195])
def test_retries_of_refused_callers_are_spread_over_time(routers):
    rng = random.Random(5)
    delays_s = {
        rate_limits.retry_after_s((1.3, 0.4), routers, rng) for _ in range(50)
    }
    equal_share_s = routers / 1.7
    most_s = rate_limits.MAX_RETRY_AFTER_S
    assert min(delays_s) >= min(round(equal_share_s, 3), most_s)
    assert max(delays_s) <= min(2 * equal_share_s, most_s)
    assert len(delays_s) > 25 or min(delays_s) == most_s


ENDS = {
    "a little later than a statement": (10.0, 10.05, None),
    "a little earlier, by clocks that differ": (10.0, 9.95, None),
    "much earlier": (10.0, 9.0, 2.0),
}


@pytest.mark.parametrize(
    ("stated_s", "ended_s", "rate_per_s"), ENDS.values(), ids=ENDS
)
def test_a_peer_learns_of_an_end_soon_after_a_statement(
    stated_s, ended_s, rate_per_s
):
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, stated_s)
    limits.merge("u", None, ended_s)
    assert limits.stated_rate_per_s("u") == rate_per_s


def test_a_limit_outlives_a_lapse_of_its_registry_entry():
    limits = rate_limits.RateLimits()
    limits.record("u", 2.0, 10.0)
    limits.retain((), 11.0)
    assert limits.stated_rate_per_s("u") == 2.0
    limits.retain((), 10.0 + rate_limits.KEPT_S)
    assert limits.is_empty
