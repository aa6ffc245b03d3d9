"""Delays between tries of one task."""

import random

FIRST_S = 0.2
LONGEST_S = 2.0


def delay_s(failures: int, rng: random.Random) -> float:
    """Return the pause after so many failures in a row, with jitter.

    Routers restart in herds and lose the store together; equal pauses
    would bring them back in one instant and over its rates.

    Parameters
    ----------
    failures : int
        Failures in a row, 1 or more.
    rng : random.Random
        Source of the jitter.

    Returns
    -------
    float
        Seconds, at most `LONGEST_S`.
    """
    longest = min(LONGEST_S, FIRST_S * 2 ** min(failures - 1, 10))
    return rng.uniform(longest / 2, longest)
