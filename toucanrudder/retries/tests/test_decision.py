import random

import pytest

from toucanrudder import retries
from toucanrudder.errors import codes
from toucanrudder.retries import decision

F, NOT_RUN, UNKNOWN = retries.Failure, codes.Ran.NOT_RUN, codes.Ran.UNKNOWN
NOT_REPEATABLE = retries.AnswerState(repeatable=False)
REPEATABLE = retries.AnswerState(repeatable=True)
CONTINUABLE = retries.AnswerState(
    repeatable=True, sent_events=3, can_continue=True
)
NOT_CONTINUABLE = retries.AnswerState(repeatable=True, sent_events=3)
MAY_HAVE_RUN = retries.AnswerState(repeatable=False, may_have_run=True)
REPEATABLE_MAY_HAVE_RUN = retries.AnswerState(
    repeatable=True, may_have_run=True
)

TABLE = [
    # failure, answer, tries, deadline_s, retries_left, expected
    (F.NOT_CONNECTED, NOT_REPEATABLE, 1, 9.0, 5, retries.Retry),
    (F.REFUSED, NOT_REPEATABLE, 1, 9.0, 5, retries.Retry),
    *[
        (
            failure,
            NOT_REPEATABLE,
            1,
            9.0,
            5,
            (decision.CODES[failure].value, UNKNOWN),
        )
        for failure in (F.BROKEN, F.TIMEOUT, F.CROSSED, F.FAILED)
    ],
    (
        F.NOT_CONNECTED,
        MAY_HAVE_RUN,
        2,
        9.0,
        5,
        ("upstream_not_reached", UNKNOWN),
    ),
    (F.CLAIM_EXPIRED, NOT_REPEATABLE, 1, 9.0, 5, ("claim_expired", NOT_RUN)),
    (F.BROKEN, REPEATABLE, 1, 9.0, 5, retries.Retry),
    (F.BROKEN, CONTINUABLE, 1, 9.0, 5, retries.Continue),
    (F.BROKEN, NOT_CONTINUABLE, 1, 9.0, 5, ("stream_broken", UNKNOWN)),
    (
        F.NOT_CONNECTED,
        REPEATABLE,
        3,
        9.0,
        5,
        ("upstream_not_reached", NOT_RUN),
    ),
    (F.NOT_CONNECTED, REPEATABLE, 1, 0.0, 5, ("deadline_unmet", NOT_RUN)),
    (F.NOT_CONNECTED, REPEATABLE, 1, 9.0, 0, ("retry_budget_spent", NOT_RUN)),
    (F.BROKEN, REPEATABLE, 1, 9.0, 0, ("retry_budget_spent", UNKNOWN)),
    (
        F.REFUSED,
        REPEATABLE_MAY_HAVE_RUN,
        1,
        9.0,
        0,
        ("retry_budget_spent", UNKNOWN),
    ),
]


@pytest.mark.parametrize(
    ("failure", "answer", "tries", "deadline_s", "retries_left", "expected"),
    TABLE,
)
def test_decisions(failure, answer, tries, deadline_s, retries_left, expected):
    budget = retries.RetryBudget(ratio=1.0, minimum_per_s=0.0)
    for _ in range(retries_left):
        budget.record_request(0.0)
    step = retries.decide(
        failure,
        answer,
        tries=tries,
        max_tries=3,
        deadline_s=deadline_s,
        budget=budget,
        rng=random.Random(1),
        now_s=0.0,
    )
    if isinstance(expected, type):
        assert isinstance(step, expected)
        assert 0 <= step.delay_s <= decision.MAX_DELAY_S
    else:
        code, ran = expected
        assert (step.code, step.ran) == (codes.Code(code), ran)


@pytest.mark.parametrize(
    ("ratio", "failure_rate"), [(0.2, 0.5), (0.2, 1.0), (0.5, 1)]
)
def test_a_failing_pool_gets_a_bounded_share_of_retries(ratio, failure_rate):
    """Half or all of a pool's tries fail.  Retrying each failure up to three
    times would nearly triple the load on the failing pool.
    """
    rng = random.Random(3)
    budget = retries.RetryBudget(ratio=ratio, minimum_per_s=0.0)
    requests, tries = 2000, 0
    for number in range(requests):
        now_s = number / 100
        budget.record_request(now_s)
        tries += 1
        for _ in range(2):
            if rng.random() >= failure_rate or not budget.try_spend(now_s):
                break
            tries += 1
    assert tries / requests <= 1 + ratio + budget.max_saved / requests
