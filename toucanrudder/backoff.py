"""Exponential backoff."""

import math


def exponential_s(count: int, base_s: float, max_s: float) -> float:
    """Return the delay after a number of failures in a row.

    The count has no bound: an outage of hours fails thousands of times.

    Parameters
    ----------
    count : int
        Failures in a row, 1 or more.
    base_s : float
        Delay after the first one.
    max_s : float
        Longest delay.

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> [exponential_s(count, 0.5, 3.0) for count in (1, 2, 3, 4, 10**6)]
    [0.5, 1.0, 2.0, 3.0, 3.0]
    """
    doublings = math.ceil(math.log2(max(1.0, max_s / base_s)))
    return min(max_s, base_s * 2 ** min(count - 1, doublings))
