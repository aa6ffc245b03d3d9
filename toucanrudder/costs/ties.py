"""Choice among expected times that are nearly equal.  No I/O.

Many routers choose from nearly the same picture of the servers at the same
time.  If each took the best, all would take the same.
"""

from collections.abc import Sequence
import random

#: Times this much above the best one, relative to it and in seconds, are as
#: good as it.
TIE_SHARE = 0.7
TIE_S = 0.003

#: Tokens that two servers may differ by in what they have to read, if either
#: is as good as the other.
TIE_TOKENS = 64

#: Routers from which on ties are as wide as that; a lone one has no others
#: that choose at the same time.
MANY_ROUTERS = 9


def choose(
    times_s: Sequence[float],
    rng: random.Random,
    router_count: int,
    tokens: Sequence[float] = (),
) -> tuple[int, int]:
    """Return the places of the chosen time and of the best of the others.

    The chosen one is the lower of two drawn from those near the best.

    Parameters
    ----------
    times_s : sequence of float
        Expected times in seconds, at least one.
    rng : random.Random
        Draws the two.
    router_count : int
        Number of routers that choose, this one included.
    tokens : sequence of float
        Prompt tokens to be read at each, if that matters: what one server
        has cached is not read again elsewhere for a small gain of time.

    Examples
    --------
    >>> choose([0.1, 0.5, 0.3], random.Random(1), router_count=59)
    (0, 2)
    >>> choose([0.1], random.Random(1), router_count=59)
    (0, 0)
    >>> choose([0.11, 0.1], random.Random(1), 59, tokens=[2_000, 1_000])
    (1, 0)
    """
    best_s = min(times_s)
    width = min(1.0, (router_count - 1) / (MANY_ROUTERS - 1))
    limit_s = best_s + width * (TIE_SHARE * best_s + TIE_S)
    near = [place for place, time_s in enumerate(times_s) if time_s <= limit_s]
    if tokens:
        most_tokens = tokens[times_s.index(best_s)] + TIE_TOKENS
        near = [place for place in near if tokens[place] <= most_tokens]
    if len(near) > 2:
        near = rng.sample(near, 2)
    chosen = min(near, key=lambda place: (times_s[place], rng.random()))
    other = min(
        (place for place in range(len(times_s)) if place != chosen),
        key=times_s.__getitem__,
        default=chosen,
    )
    return chosen, other
