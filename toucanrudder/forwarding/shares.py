"""This router's part of limits that all routers share.  No I/O."""

import attrs


@attrs.frozen
class BudgetBounds:
    """Bounds of the arrivals that repeat a request, over all routers.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats that are allowed beside, in one window.
    window_s : float
        Length of the window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@attrs.frozen
class BudgetShare:
    """Settings of one router's token bucket."""

    ratio: float
    minimum_per_s: float
    burst: float


#: Part of the bound that is used.  Routers learn of each other's coming
#: and going seconds late, and a window slides: what was saved before it
#: is spent in it.
USED_SHARE = 0.8


def budget_share(bounds: BudgetBounds, routers: int) -> BudgetShare:
    """Return one router's bucket.

    What a bucket can spend in one window is its burst, the minimum rate
    times the window, and the ratio of the requests in it.  The slack pays
    for the first two, half each; in a large fleet the burst gets more, as
    a bucket that cannot hold one whole retry never grants any.

    Examples
    --------
    >>> share = budget_share(BudgetBounds(0.2, 50.0, 10.0), routers=4)
    >>> round(share.burst, 2), round(share.minimum_per_s, 2)
    (5.0, 0.5)
    >>> budget_share(BudgetBounds(0.2, 200.0, 10.0), routers=100).burst
    1.0
    """
    slack = USED_SHARE * bounds.slack / max(1, routers)
    burst = max(slack / 2, min(1.0, slack))
    return BudgetShare(
        ratio=USED_SHARE * bounds.ratio,
        minimum_per_s=(slack - burst) / bounds.window_s,
        burst=burst,
    )
