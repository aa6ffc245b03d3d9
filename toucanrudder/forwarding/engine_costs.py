"""Costs of engines for a prompt, apart from the prompt itself.  No I/O."""

from typing import TYPE_CHECKING

from toucanrudder.costs import work
from toucanrudder.forwarding import speeds

if TYPE_CHECKING:
    from toucanrudder.forwarding import placing

#: Cost in seconds of one more running request to the others on the engine:
#: it lengthens a decode step by about 0.011 ms, over some 80 steps.
RUNNING_COST_S = 0.001

#: The same for a request that waits there for memory or a slot: its share
#: of the half second until a running request ends.
WAITING_COST_S = 0.13

#: Share of an engine's slots beyond which a request would have to wait.
FULL_SHARE = 0.9

#: Cost of an engine whose weights have been superseded for longer than
#: STALE_AFTER_S: its answer is worth a fifth less, which callers rate
#: higher than about 300 ms of waiting.
STALE_WEIGHTS_COST_S = 0.3
STALE_AFTER_S = 1.2

#: Cost of an engine whose weights have been superseded for less than that.
#: A request that runs while its engine loads new weights is paused, and
#: its output after the change is worth nothing.  The cost is lower, as most
#: requests end before the change.
SUPERSEDED_WEIGHTS_COST_S = 0.1

#: Cost of a retry, charged for each failed request where one in five fails.
FAILURE_COST_S = 1.0


def state_cost_s(candidate: "placing.Candidate", now_s: float) -> float:
    """Return the cost of an engine's requests and state, in seconds."""
    state = candidate.state
    running = candidate.requests(now_s)
    cost_s = RUNNING_COST_S * running
    beyond = running - FULL_SHARE * max(1, candidate.upstream.slots)
    if beyond > 0:
        cost_s += WAITING_COST_S * beyond
    if state.failure_share:
        cost_s += 5 * FAILURE_COST_S * state.failure_share**2
    if candidate.weights_age_s > STALE_AFTER_S:
        cost_s += STALE_WEIGHTS_COST_S
    elif candidate.weights_age_s > 0:
        cost_s += SUPERSEDED_WEIGHTS_COST_S
    return cost_s


def cost_tokens(
    candidate: "placing.Candidate",
    speed: speeds.EngineSpeeds,
    now_s: float,
) -> float:
    """Return the cost of an engine's queue and state, in prefilled tokens."""
    cost_s = state_cost_s(candidate, now_s)
    queued_tokens = (
        candidate.state.prefill_tokens + candidate.peer_prefill_tokens
    )
    return queued_tokens + cost_s * speed.prefill_tokens_per_s


def first_event_s(
    candidate: "placing.Candidate",
    tokens: float,
    times: work.UsualTimes,
    now_s: float,
) -> float:
    """Return the expected time to the first event at an engine, in seconds.

    Parameters
    ----------
    candidate : placing.Candidate
        The engine, with what is expected of it.
    tokens : float
        Tokens that it has to read, copied ones by their cost.
    times : work.UsualTimes
        Usual times of the service.
    now_s : float
        Monotonic time.
    """
    cost = candidate.cost
    usual_s = times.expected_s(tokens) + cost.work_left_s
    return cost.view.stretch * usual_s + state_cost_s(candidate, now_s)
