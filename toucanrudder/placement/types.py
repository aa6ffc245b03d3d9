"""Inputs and result of a placement decision."""

from collections.abc import Mapping
import random

import attrs

from toucanrudder.document import model
from toucanrudder.messages import request


@attrs.frozen
class UpstreamView:
    """State of one candidate engine, as this router knows it.

    Parameters
    ----------
    name, zone : str
        As in the configuration document.
    incarnation : str
        Identity of the engine's process; changes with a cold start.
    weights_version : str
        Version of the weights that it has reported for the request's model.
    slots : int
        Requests that it runs concurrently.
    running, waiting : int
        Requests, as last reported.
    queued_prefill_tokens : int
        Prompt tokens still to be computed, as last reported.
    prefill_tokens_per_s : float
        Speed of prefill, as last reported.
    reported_at_s : float
        Monotonic time at which the report arrived.
    own_in_flight : int
        Requests of this router in flight there.
    own_prefill_tokens : int
        Tokens expected to be computed there for this router's requests
        that have produced no first token yet.
    peer_prefill_tokens : int
        The same for the other routers, as they report it.
    ahead_share : float
        Fraction of the queued work that runs before the request, being of
        the same or a more urgent priority class.
    peer_in_flight : int
        Requests of the other routers in flight there, as they report them.
    expected_cached_tokens : int
        Leading prompt tokens expected in its cache, at this incarnation,
        for this organisation and these weights.
    computed_share : float
        Recent fraction of prompt tokens that it had to compute, the rest
        having been cached; load reports count whole prompts.
    """

    name: str
    zone: str
    incarnation: str
    weights_version: str
    slots: int = 8
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    prefill_tokens_per_s: float = 10000.0
    reported_at_s: float = 0.0
    own_in_flight: int = 0
    own_prefill_tokens: int = 0
    peer_prefill_tokens: int = 0
    ahead_share: float = 1.0
    peer_in_flight: int = 0
    expected_cached_tokens: int = 0
    computed_share: float = 1.0


@attrs.frozen
class FleetView:
    """The candidate engines, and the traffic over all routers.

    Parameters
    ----------
    upstreams : tuple of UpstreamView
        Live, undrained engines with the required weights, by name.
    zone : str
        Availability zone of this router.
    routers : int
        Live routers, this one included.
    prefix_rates : mapping of bytes to float
        Requests a second by prefix key, over all routers.
    total_rate_per_s : float
        Requests a second with any prefix, over all routers; 0 if unknown.
    """

    upstreams: tuple[UpstreamView, ...]
    zone: str = ""
    routers: int = 1
    prefix_rates: Mapping[bytes, float] = attrs.field(factory=dict)
    total_rate_per_s: float = 0.0


@attrs.frozen
class Decision:
    """The engine chosen for a request, and the reason.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    incarnation : str
        Incarnation for which the decision was made.
    expected_hit_tokens : int
        Prompt tokens expected to be served from its cache.
    expected_wait_s : float
        Expected seconds until prefill starts.
    reason : str
        Label for metrics.
    """

    upstream: str
    incarnation: str
    expected_hit_tokens: int
    expected_wait_s: float
    reason: str


@attrs.frozen
class Context:
    """Inputs of a policy besides the fleet and the request.

    Parameters
    ----------
    policy : model.Policy
        Trade-offs set by the operators.
    rng : random.Random
        Generator that breaks ties, seeded by the daemon.
    excluded : frozenset of str
        Upstreams not to choose, for example those already tried.
    """

    policy: model.Policy
    rng: random.Random
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Query:
    """The properties of a request that placement depends on.

    Parameters
    ----------
    request_id, organisation, priority, prefix_keys, prompt_tokens
        As in `messages.ModelRequest`.
    deadline_s : float
        Monotonic time by which the first token must be sent.
    """

    request_id: str
    organisation: str
    priority: request.Priority
    prefix_keys: tuple[bytes, ...]
    prompt_tokens: int
    deadline_s: float
