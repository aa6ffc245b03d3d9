"""Types of the configuration document.

The document is one JSON object.  Its organisations, models, upstreams and
services refer to each other by name; :mod:`toucanrudder.document.validation`
checks those references before a document is accepted.
"""

import attrs

ENGINE = "engine"
SERVICE = "service"


@attrs.frozen
class Organisation:
    """A tenant with its API keys, limits and share of capacity.

    Parameters
    ----------
    name : str
        Unique name.
    api_key_sha256s : tuple of str
        Hex SHA-256 digests of the organisation's API keys.
    weight : float
        Share of contended capacity relative to other organisations.
    requests_per_s : float
        Rate limit over all routers together, in requests per second.
    burst_requests : float
        Requests that may arrive at once above the rate, over all routers.
    default_priority : str
        Priority of requests that specify none.
    max_priority : str
        Highest priority that the organisation may request.
    models : tuple of str
        Models that it may use; empty means all.
    """

    name: str
    api_key_sha256s: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_s: float = 100.0
    burst_requests: float = 200.0
    default_priority: str = "normal"
    max_priority: str = "urgent"
    models: tuple[str, ...] = ()


@attrs.frozen
class Model:
    """A model as callers name it, and the weights that must serve it."""

    name: str
    weights_version: str
    adapter: str = ""
    context_tokens: int = 131072


@attrs.frozen
class Upstream:
    """An instance that requests are sent to.

    Parameters
    ----------
    name : str
        Unique name.
    kind : str
        ``"engine"`` or ``"service"``.
    address : str
        ``IP:port``.
    zone : str
        Availability zone.
    pool : str
        Group that it belongs to; for services, the service's name.
    models : tuple of str
        Models that an engine can serve.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    slots : int
        Requests that it runs concurrently.
    drained : bool
        Whether operators have taken it out of use.
    """

    name: str
    kind: str
    address: str
    zone: str
    pool: str
    models: tuple[str, ...] = ()
    checks_fencing: bool = True
    slots: int = 8
    drained: bool = False


@attrs.frozen
class Route:
    """A rule on whether calls below a path of a service may be repeated."""

    method: str
    path_prefix: str
    repeatable: bool


@attrs.frozen
class Service:
    """A plain HTTP service; the first matching route applies."""

    name: str
    routes: tuple[Route, ...] = ()
    max_body_bytes: int = 1_048_576
    timeout_s: float = 30.0


@attrs.frozen
class Policy:
    """Trade-offs and limits that operators set.

    Parameters
    ----------
    wait_weight : float
        Cost of a second of expected queue wait.
    recompute_weight : float
        Cost of a second of prefix recomputation.  Above `wait_weight` it
        favours hit rate, below it favours time to first token.
    zone_hop_s : float
        One-way latency between availability zones, in seconds.
    weight_loads_at_once : int
        Engines that may load weights at the same time.
    kv_store : str
        Name of the KV cache store, or empty.
    retry_ratio : float
        Retries allowed per request, averaged over time.
    max_tries : int
        Largest number of upstreams tried for one request.
    first_token_deadline_s : float
        Deadline for the first token when the caller specifies none.
    claim_retention_s : float
        Time for which a claim is retained.
    max_body_bytes : int
        Largest request body of model calls.
    """

    wait_weight: float = 1.0
    recompute_weight: float = 1.0
    zone_hop_s: float = 0.0015
    weight_loads_at_once: int = 2
    kv_store: str = ""
    retry_ratio: float = 0.2
    max_tries: int = 3
    first_token_deadline_s: float = 60.0
    claim_retention_s: float = 86400.0
    max_body_bytes: int = 4_194_304


@attrs.frozen
class Document:
    """Everything that operators configure, as one value."""

    organisations: tuple[Organisation, ...] = ()
    models: tuple[Model, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    services: tuple[Service, ...] = ()
    policy: Policy = Policy()


@attrs.frozen
class Accepted:
    """A document with the generation under which it was accepted.

    Parameters
    ----------
    generation : int
        Rises by one with each accepted document; never falls.
    apply_id : str
        ID of the operator's write; resolves writes whose answer was lost.
    author : str
        Operator who applied it.
    document : Document
        The accepted document.
    """

    generation: int
    apply_id: str
    author: str
    document: Document
