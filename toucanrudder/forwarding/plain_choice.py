"""Choice of the upstream for a request without a prompt.  No I/O."""

from collections.abc import Sequence
import random

from toucanrudder.costs import ties
from toucanrudder.forwarding import engine_costs
from toucanrudder.forwarding import placing

#: Load difference, as a share of the slots, below which a request without
#: a prompt stays in its zone: crossing costs a millisecond or two each way.
ZONE_SHARE = 0.17

#: Cost in seconds of an upstream in another zone: a millisecond or two each
#: way.
ZONE_COST_S = 0.003


def choose_for_plain(
    zone: str,
    candidates: Sequence[placing.Candidate],
    *,
    now_s: float,
    rng: random.Random,
    work_s: float | None = None,
    router_count: int = 1,
) -> placing.Choice:
    """Choose an upstream for a request without a prompt.

    Parameters
    ----------
    zone : str
        This router's availability zone.
    candidates : sequence of Candidate
        At least one.
    now_s : float
        Monotonic time.
    rng : random.Random
        Breaks ties; otherwise all routers would choose the same upstream
        at once.
    work_s : float or None
        Likely work of the request in usual seconds; None where all
        upstreams are taken as equally fast.
    router_count : int
        Number of routers that choose.
    """
    if work_s is not None:
        return _choose_uneven(
            zone, candidates, work_s, now_s, rng, router_count
        )

    def cost(candidate: placing.Candidate) -> tuple[float, float]:
        share = candidate.requests(now_s) / max(1, candidate.upstream.slots)
        if candidate.upstream.zone != zone:
            share += ZONE_SHARE
        return share + 5 * candidate.state.failure_share, rng.random()

    best = min(candidates, key=cost)
    return placing.Choice(
        best.upstream, reason="load", candidates=len(candidates)
    )


def _choose_uneven(
    zone: str,
    candidates: Sequence[placing.Candidate],
    work_s: float,
    now_s: float,
    rng: random.Random,
    router_count: int,
) -> placing.Choice:
    """Choose by the expected time to the answer."""

    def expected_s(candidate: placing.Candidate) -> float:
        cost = candidate.cost
        slots = max(1, candidate.upstream.slots)
        # While a slot is free, a request does not wait.
        busy = min(1.0, candidate.requests(now_s) / slots)
        wait_s = busy**2 * cost.work_left_s / slots
        failures = candidate.state.failure_share
        return (
            cost.view.stretch * (work_s + wait_s)
            + ZONE_COST_S * (candidate.upstream.zone != zone)
            + 5 * engine_costs.FAILURE_COST_S * failures**2
        )

    times_s = [expected_s(candidate) for candidate in candidates]
    place, other = ties.choose(times_s, rng, router_count)
    return placing.Choice(
        candidates[place].upstream,
        reason="expected time",
        candidates=len(candidates),
        outlook=placing.outlook(candidates, times_s, place, other),
    )
