"""What a placement decision is made from, and the decision itself."""

from collections.abc import Mapping
import random

import attrs

from toucanrudder.document import model
from toucanrudder.messages import request


@attrs.frozen
class UpstreamView:
    """What this router knows of one engine that may be chosen.

    Parameters
    ----------
    name, zone : str
        As in the configuration document.
    incarnation : str
        Identity of the engine's process; changes with a cold start.
    weights_version : str
        Weights that it has reported for the request's model.
    slots : int
        Requests it runs at once.
    running, waiting : int
        As last reported.
    queued_prefill_tokens : int
        Prompt tokens it has still to compute, as last reported.
    prefill_tokens_per_s : float
        Speed of prefill, as last reported.
    reported_at_s : float
        Monotonic time at which the report arrived.
    own_in_flight : int
        Requests of this router that are there now.
    own_prefill_tokens : int
        Tokens this router expects to be computed there for its requests
        that have given no first token yet.
    peer_prefill_tokens : int
        The same as told by the other routers.
    ahead_share : float
        Part of the queued work that goes before the request, being of its
        own class or a more urgent one.
    peer_in_flight : int
        Requests of the other routers that are there, as they told.
    expected_cached_tokens : int
        Leading prompt tokens believed cached there, at this incarnation,
        for this organisation and these weights.
    computed_share : float
        Part of the prompt tokens that it computed of late, the rest having
        been cached; load reports count whole prompts.
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
    """The engines that may be chosen, and where this router stands.

    Parameters
    ----------
    upstreams : tuple of UpstreamView
        Live, undrained engines with the right weights, by name.
    zone : str
        Availability zone of this router.
    routers : int
        Live routers, this one included.
    heat : mapping of bytes to float
        Requests a second seen for a prefix key, over all routers.
    total_rate_per_s : float
        Requests a second of any prefix, over all routers; 0 if unknown.
    """

    upstreams: tuple[UpstreamView, ...]
    zone: str = ""
    routers: int = 1
    heat: Mapping[bytes, float] = attrs.field(factory=dict)
    total_rate_per_s: float = 0.0


@attrs.frozen
class Decision:
    """Where the request goes, and why.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    incarnation : str
        Incarnation that the decision relied on.
    expected_hit_tokens : int
        Prompt tokens expected to come from its cache.
    expected_wait_s : float
        Expected seconds until prefill starts.
    reason : str
        Short word for metrics.
    """

    upstream: str
    incarnation: str
    expected_hit_tokens: int
    expected_wait_s: float
    reason: str


@attrs.frozen
class Context:
    """What a policy may use besides the fleet and the request.

    Parameters
    ----------
    policy : model.Policy
        Trade-offs set by the operators.
    rng : random.Random
        Source of tie-breaking randomness, seeded by the daemon.
    excluded : frozenset of str
        Upstreams not to use, for example those a retry has tried.
    """

    policy: model.Policy
    rng: random.Random
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Query:
    """The part of a request that placement looks at.

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
