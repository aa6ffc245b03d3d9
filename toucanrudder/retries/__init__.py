"""Retry decisions and retry budgets."""

from toucanrudder.retries.budget import RetryBudget
from toucanrudder.retries.decision import AnswerState
from toucanrudder.retries.decision import Continue
from toucanrudder.retries.decision import decide
from toucanrudder.retries.decision import Failure
from toucanrudder.retries.decision import Refuse
from toucanrudder.retries.decision import Retry

__all__ = (
    "AnswerState",
    "Continue",
    "Failure",
    "Refuse",
    "Retry",
    "RetryBudget",
    "decide",
)
