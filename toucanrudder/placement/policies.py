"""The placement policies: ours, and the baselines it is measured against.

All are pure: the same arguments, the state of the random generator
included, give the same decision.
"""

import functools

import attrs

from toucanrudder import errors
from toucanrudder.placement import homes
from toucanrudder.placement import rendezvous
from toucanrudder.placement import types
from toucanrudder.placement import waiting

STEP = "place"
NO_UPSTREAM_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1


@attrs.frozen
class Toucanrudder:
    """Least expected cost of waiting and recomputation.

    Parameters
    ----------
    away_share : float
        Part of the prompt's recompute time that is added to the cost of
        an engine that is not a home of its prefix: what the copy made
        there will cost others in cache space and never earn back.
    rank_share : float
        The same per place in the order of the homes.  Small: it makes
        routers agree when nothing else differs, and yields to load.
    crowding : float
        How much each request waiting per engine raises the price of
        recomputation.
    tie_s : float
        Costs within this of the least are equal.
    """

    away_share: float = 0.05
    rank_share: float = 0.02
    crowding: float = 4.0
    tie_s: float = 0.002


@attrs.frozen
class Random:
    """Any engine with equal chance."""


@attrs.frozen
class LeastLoaded:
    """The engine with the fewest requests."""


@attrs.frozen
class PrefixHash:
    """The engine that owns the prompt's prefix, whatever its load.

    Parameters
    ----------
    blocks : int
        Leading blocks of the prompt that are hashed, at most.
    """

    blocks: int = 2


_BY_NAME = {
    "toucanrudder": Toucanrudder,
    "random": Random,
    "least-loaded": LeastLoaded,
    "prefix-hash": PrefixHash,
}


def by_name(name: str) -> object:
    """Return the policy that a settings file names.

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
        Trade-offs, randomness, engines to leave out.
    now_s : float
        Present monotonic time.

    Returns
    -------
    types.Decision
        The engine and what is expected of it.

    Raises
    ------
    RudderError
        ``no_upstream`` if no engine is left; ``deadline_unmet`` if none
        is expected to give the first token in time.  Nothing has run.
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
    least = min(waiting.requests(each, now_s) for each in fleet.upstreams)
    tied = [
        each
        for each in fleet.upstreams
        if waiting.requests(each, now_s) == least
    ]
    return _decision(context.rng.choice(tied), query, now_s, "least_loaded")


@_choose.register
def _choose_by_hash(policy: PrefixHash, fleet, query, context, now_s):
    hashed = query.prefix_keys[: policy.blocks]
    if not hashed:
        return _choose_random(Random(), fleet, query, context, now_s)
    names = [upstream.name for upstream in fleet.upstreams]
    owner = rendezvous.ranked(hashed[-1], names)[0]
    chosen = next(each for each in fleet.upstreams if each.name == owner)
    return _decision(chosen, query, now_s, "prefix_hash")


@attrs.frozen
class _Rated:
    upstream: types.UpstreamView
    first_token_s: float
    cost: float


@_choose.register
def _choose_by_cost(policy: Toucanrudder, fleet, query, context, now_s):
    owners = homes.homes(fleet, query)
    price = _recompute_price(policy, fleet, context, now_s)
    rated = [
        _rate(policy, each, fleet, query, context, owners, price, now_s)
        for each in fleet.upstreams
    ]
    _check_deadline(rated, query, now_s)
    least = min(each.cost for each in rated)
    # Eight routers that see the same numbers must not all take the same
    # engine for a difference that is smaller than the numbers' error.
    tied = [each for each in rated if each.cost <= least + policy.tie_s]
    chosen = context.rng.choice(tied).upstream
    return _decision(chosen, query, now_s, _reason(chosen, owners))


def _recompute_price(policy, fleet, context, now_s):
    # A second of recomputation delays each request that waits behind it.
    # At a fixed price, a crowded fleet sends prompts away from their
    # caches, which makes it compute more and crowds it further; it stays
    # so after the cause is gone.
    beyond = sum(
        max(0.0, waiting.requests(each, now_s) - 1) for each in fleet.upstreams
    )
    crowd = beyond / len(fleet.upstreams)
    return context.policy.recompute_weight * (1 + policy.crowding * crowd)


def _rate(policy, upstream, fleet, query, context, owners, price, now_s):
    weights = context.policy
    speed = max(1.0, upstream.prefill_tokens_per_s)
    wait_s = waiting.expected_s(upstream, now_s)
    recompute_s = (query.prompt_tokens - _hit_tokens(upstream, query)) / speed
    hop_s = weights.zone_hop_s if upstream.zone != fleet.zone else 0.0
    placing = _placing_share(policy, upstream.name, owners)
    cost = (
        weights.wait_weight * (wait_s + 2 * hop_s)
        + price * recompute_s
        + price * placing * query.prompt_tokens / speed
    )
    return _Rated(upstream, wait_s + recompute_s + 2 * hop_s, cost)


def _placing_share(policy, name, owners):
    if name in owners:
        return policy.rank_share * owners.index(name)
    return policy.away_share


def _check_deadline(rated, query, now_s):
    soonest_s = min(each.first_token_s for each in rated)
    late_s = now_s + soonest_s - query.deadline_s
    if late_s <= 0:
        return
    # Work that will be late anyway would only delay the work that will
    # not; the caller hears at once and can do something else.
    raise errors.RudderError(
        errors.Code.DEADLINE_UNMET,
        f"first token expected in {soonest_s:.2f} s, too late",
        step=STEP,
        retry_after_s=max(MIN_RETRY_AFTER_S, round(late_s, 2)),
    )


def _hit_tokens(upstream, query):
    return min(upstream.expected_cached_tokens, query.prompt_tokens)


def _reason(chosen, owners):
    if chosen.expected_cached_tokens:
        return "cached"
    return "home" if chosen.name in owners else "spill"


def _decision(chosen, query, now_s, reason):
    return types.Decision(
        upstream=chosen.name,
        incarnation=chosen.incarnation,
        expected_hit_tokens=_hit_tokens(chosen, query),
        expected_wait_s=waiting.expected_s(chosen, now_s),
        reason=reason,
    )
