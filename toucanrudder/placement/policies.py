"""Placement policies: least expected cost, and baselines to compare with.

All are pure functions: the same arguments, the state of the random
generator included, give the same decision.
"""

import functools

import attrs

from toucanrudder import errors
from toucanrudder.placement import affinity
from toucanrudder.placement import rendezvous
from toucanrudder.placement import types
from toucanrudder.placement import waiting

STEP = "place"
NO_UPSTREAM_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1


@attrs.frozen
class LeastExpectedCost:
    """The engine with the least expected cost of waiting and recomputation.

    Parameters
    ----------
    spill_penalty : float
        Fraction of the prompt's recompute time added to the cost of an
        engine that is not preferred for its prefix: the additional copy
        takes cache space from others and is seldom used again.
    rank_penalty : float
        The same for each place in the order of the preferred engines.
        Small: it makes routers agree when nothing else differs, and is
        outweighed by load.
    queue_factor : float
        Relative rise of the price of recomputation for each request
        waiting per engine.
    tie_s : float
        Seconds of cost above the least within which engines are equal.
    """

    spill_penalty: float = 0.05
    rank_penalty: float = 0.02
    queue_factor: float = 4.0
    tie_s: float = 0.002


@attrs.frozen
class Random:
    """Any engine, with equal probability."""


@attrs.frozen
class LeastLoaded:
    """The engine with the fewest requests."""


@attrs.frozen
class PrefixHash:
    """The engine to which the prompt's prefix hashes, whatever its load.

    Parameters
    ----------
    blocks : int
        Most leading blocks of the prompt that are hashed.
    """

    blocks: int = 2


_BY_NAME = {
    "toucanrudder": LeastExpectedCost,
    "random": Random,
    "least-loaded": LeastLoaded,
    "prefix-hash": PrefixHash,
}


def by_name(name: str) -> object:
    """Return the policy of a name in the settings.

    Raises
    ------
    KeyError
        If there is no such policy.

    Examples
    --------
    >>> by_name("random")
    Random()
    """
    return _BY_NAME[name]()


def decide(
    policy: object,
    fleet: types.FleetView,
    query: types.Query,
    context: types.Context,
    now_s: float,
) -> types.Decision:
    """Choose the engine for a request.

    Parameters
    ----------
    policy : object
        One of this module's policies.
    fleet : types.FleetView
        Engines that can serve the request.
    query : types.Query
        The request.
    context : types.Context
        Trade-offs, random generator, engines to exclude.
    now_s : float
        Current monotonic time.

    Returns
    -------
    types.Decision
        The engine, its expected wait and cache hits.

    Raises
    ------
    RudderError
        ``no_upstream`` if no engine is left; ``deadline_unmet`` if none
        is expected to send the first token in time.  Nothing has run.
    """
    usable = tuple(
        upstream
        for upstream in fleet.upstreams
        if upstream.name not in context.excluded
    )
    if not usable:
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM,
            "no engine can take the request now",
            step=STEP,
            retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
        )
    fleet = attrs.evolve(fleet, upstreams=usable)
    return _choose(policy, fleet, query, context, now_s)


@functools.singledispatch
def _choose(policy, fleet, query, context, now_s):
    raise TypeError(f"not a placement policy: {policy!r}")


@_choose.register
def _choose_random(policy: Random, fleet, query, context, now_s):
    chosen = context.rng.choice(fleet.upstreams)
    return _decision(chosen, query, now_s, "random")


@_choose.register
def _choose_least_loaded(policy: LeastLoaded, fleet, query, context, now_s):
    least = min(
        waiting.request_count(upstream, now_s) for upstream in fleet.upstreams
    )
    tied = [
        upstream
        for upstream in fleet.upstreams
        if waiting.request_count(upstream, now_s) == least
    ]
    return _decision(context.rng.choice(tied), query, now_s, "least_loaded")


@_choose.register
def _choose_by_hash(policy: PrefixHash, fleet, query, context, now_s):
    hashed = query.prefix_keys[: policy.blocks]
    if not hashed:
        return _choose_random(Random(), fleet, query, context, now_s)
    names = [upstream.name for upstream in fleet.upstreams]
    owner = rendezvous.ranked(hashed[-1], names)[0]
    chosen = next(
        upstream for upstream in fleet.upstreams if upstream.name == owner
    )
    return _decision(chosen, query, now_s, "prefix_hash")


@attrs.frozen
class _Candidate:
    upstream: types.UpstreamView
    first_token_s: float
    cost: float


@_choose.register
def _choose_by_cost(policy: LeastExpectedCost, fleet, query, context, now_s):
    preferred = affinity.preferred_engines(fleet, query)
    price = _recompute_price(policy, fleet, context, now_s)
    candidates = [
        _estimate(
            policy, upstream, fleet, query, context, preferred, price, now_s
        )
        for upstream in fleet.upstreams
    ]
    _check_deadline(candidates, query, now_s)
    least = min(candidate.cost for candidate in candidates)
    # Eight routers that see the same loads must not all choose the same
    # engine for a difference smaller than the error of the loads.
    tied = [
        candidate
        for candidate in candidates
        if candidate.cost <= least + policy.tie_s
    ]
    chosen = context.rng.choice(tied).upstream
    return _decision(chosen, query, now_s, _reason(chosen, preferred))


def _recompute_price(policy, fleet, context, now_s):
    # A second of recomputation delays each request that waits behind it.
    # At a fixed price, an overloaded fleet places prompts away from their
    # caches, computes more and is overloaded further, even after the cause
    # is gone.
    waiting_requests = sum(
        max(0.0, waiting.request_count(upstream, now_s) - 1)
        for upstream in fleet.upstreams
    )
    mean_waiting = waiting_requests / len(fleet.upstreams)
    return context.policy.recompute_weight * (
        1 + policy.queue_factor * mean_waiting
    )


def _estimate(
    policy, upstream, fleet, query, context, preferred, price, now_s
):
    weights = context.policy
    speed = max(1.0, upstream.prefill_tokens_per_s)
    wait_s = waiting.expected_wait_s(upstream, now_s)
    recompute_s = (query.prompt_tokens - _hit_tokens(upstream, query)) / speed
    hop_s = weights.zone_hop_s if upstream.zone != fleet.zone else 0.0
    penalty = _placement_penalty(policy, upstream.name, preferred)
    cost = (
        weights.wait_weight * (wait_s + 2 * hop_s)
        + price * recompute_s
        + price * penalty * query.prompt_tokens / speed
    )
    return _Candidate(upstream, wait_s + recompute_s + 2 * hop_s, cost)


def _placement_penalty(policy, name, preferred):
    if name in preferred:
        return policy.rank_penalty * preferred.index(name)
    return policy.spill_penalty


def _check_deadline(candidates, query, now_s):
    soonest_s = min(candidate.first_token_s for candidate in candidates)
    late_s = now_s + soonest_s - query.deadline_s
    if late_s <= 0:
        return
    # A request that will miss its deadline would only delay others; the
    # caller is refused at once and can react.
    raise errors.RudderError(
        errors.Code.DEADLINE_UNMET,
        f"first token expected in {soonest_s:.2f} s, too late",
        step=STEP,
        retry_after_s=max(MIN_RETRY_AFTER_S, round(late_s, 2)),
    )


def _hit_tokens(upstream, query):
    return min(upstream.expected_cached_tokens, query.prompt_tokens)


def _reason(chosen, preferred):
    if chosen.expected_cached_tokens:
        return "cached"
    return "home" if chosen.name in preferred else "spill"


def _decision(chosen, query, now_s, reason):
    return types.Decision(
        upstream=chosen.name,
        incarnation=chosen.incarnation,
        expected_hit_tokens=_hit_tokens(chosen, query),
        expected_wait_s=waiting.expected_wait_s(chosen, now_s),
        reason=reason,
    )
