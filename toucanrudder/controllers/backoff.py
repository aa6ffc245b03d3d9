"""Exponential backoff with jitter."""

import random

from toucanrudder import backoff

BASE_DELAY_S = 0.2
MAX_DELAY_S = 2.0


def delay_s(failures: int, rng: random.Random) -> float:
    """Return the delay before the next try, with jitter.

    Many routers restart, or lose the store, at the same time; equal delays
    would make all of them call it at once and exceed its rate limits.

    Parameters
    ----------
    failures : int
        Consecutive failures, 1 or more.
    rng : random.Random
        Source of the jitter.

    Returns
    -------
    float
        Seconds, at most `MAX_DELAY_S`.
    """
    max_delay_s = backoff.exponential_s(failures, BASE_DELAY_S, MAX_DELAY_S)
    return rng.uniform(max_delay_s / 2, max_delay_s)
