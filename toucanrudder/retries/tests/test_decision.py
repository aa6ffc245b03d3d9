import random

import pytest

from toucanrudder import retries
from toucanrudder.errors import codes
from toucanrudder.retries import decision

F, NOT_RUN, UNKNOWN = retries.Failure, codes.Ran.NOT_RUN, codes.Ran.UNKNOWN
ONCE = retries.AnswerState(repeatable=False)
AGAIN = retries.AnswerState(repeatable=True)
PARTLY = retries.AnswerState(repeatable=True, sent_events=3, can_continue=True)
STUCK = retries.AnswerState(repeatable=True, sent_events=3)
DOUBTFUL = retries.AnswerState(repeatable=False, may_have_run=True)
DOUBTFUL_AGAIN = retries.AnswerState(repeatable=True, may_have_run=True)

TABLE = [
    # failure, answer, tries, deadline_s, retries left, want
    (F.NOT_CONNECTED, ONCE, 1, 9.0, 5, retries.Retry),
    (F.REFUSED, ONCE, 1, 9.0, 5, retries.Retry),
    *[
        (failure, ONCE, 1, 9.0, 5, (decision.CODES[failure].value, UNKNOWN))
        for failure in (F.BROKEN, F.TIMEOUT, F.CROSSED, F.FAILED)
    ],
    (F.NOT_CONNECTED, DOUBTFUL, 2, 9.0, 5, ("upstream_not_reached", UNKNOWN)),
    (F.CLAIM_EXPIRED, ONCE, 1, 9.0, 5, ("claim_expired", NOT_RUN)),
    (F.BROKEN, AGAIN, 1, 9.0, 5, retries.Retry),
    (F.BROKEN, PARTLY, 1, 9.0, 5, retries.Continue),
    (F.BROKEN, STUCK, 1, 9.0, 5, ("stream_broken", UNKNOWN)),
    (F.NOT_CONNECTED, AGAIN, 3, 9.0, 5, ("upstream_not_reached", NOT_RUN)),
    (F.NOT_CONNECTED, AGAIN, 1, 0.0, 5, ("deadline_unmet", NOT_RUN)),
    (F.NOT_CONNECTED, AGAIN, 1, 9.0, 0, ("retry_budget_spent", NOT_RUN)),
    (F.BROKEN, AGAIN, 1, 9.0, 0, ("retry_budget_spent", UNKNOWN)),
    (F.REFUSED, DOUBTFUL_AGAIN, 1, 9.0, 0, ("retry_budget_spent", UNKNOWN)),
]


@pytest.mark.parametrize(
    ("failure", "answer", "tries", "deadline_s", "left", "want"), TABLE
)
def test_decisions(failure, answer, tries, deadline_s, left, want):
    budget = retries.RetryBudget(ratio=1.0, minimum_per_s=0.0)
    for _ in range(left):
        budget.record_request(0.0)
    got = retries.decide(
        failure,
        answer,
        tries=tries,
        max_tries=3,
        deadline_s=deadline_s,
        budget=budget,
        rng=random.Random(1),
        now_s=0.0,
    )
    if isinstance(want, type):
        assert isinstance(got, want)
        assert 0 <= got.delay_s <= decision.MAX_DELAY_S
    else:
        code, ran = want
        assert (got.code, got.ran) == (codes.Code(code), ran)


@pytest.mark.parametrize(("ratio", "rate"), [(0.2, 0.5), (0.2, 1.0), (0.5, 1)])
def test_a_failing_pool_gets_a_bounded_share_of_retries(ratio, rate):
    """Half of a pool's tries fail, or all.  Each failure retried up to
    three times would nearly triple the pool's load while it is dying.
    """
    rng = random.Random(3)
    budget = retries.RetryBudget(ratio=ratio, minimum_per_s=0.0)
    requests, tries = 2000, 0
    for number in range(requests):
        now_s = number / 100
        budget.record_request(now_s)
        tries += 1
        for _ in range(2):
            if rng.random() >= rate or not budget.try_spend(now_s):
                break
            tries += 1
    assert tries / requests <= 1 + ratio + budget.max_saved / requests
