"""The platform's objects, with the field names that it uses."""

import typing

import attrs

from toucanrudder.forwarding import model
from toucanrudder.store import typed


@attrs.frozen
class Metadata:
    """Name and revision of an object in the store."""

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    revision: int


@attrs.frozen
class Item:
    """An object of the store; its kind determines how `spec` is parsed."""

    metadata: Metadata
    spec: typing.Any = None


@attrs.frozen
class Page:
    """A page of a list of objects."""

    items: list[typing.Any]
    current_rev: int
    more: bool = False


@attrs.frozen
class Event:
    """A change to an object."""

    object: Item
    deleted: bool


@attrs.frozen
class News:
    """The answer to a watch."""

    events: list[typing.Any]
    current_rev: int


@attrs.frozen
class Weights:
    """Target version of a model's weights, for all upstreams."""

    model: str = attrs.field(validator=typed.HEADER_VALUE)
    version: int = attrs.field(validator=typed.POSITIVE)


@attrs.frozen
class LoadedModel:
    """A model that an upstream has loaded, and its weights' version."""

    name: str = attrs.field(validator=typed.HEADER_VALUE)
    version: int = attrs.field(validator=typed.POSITIVE)


@attrs.frozen
class Entry:
    """The registry entry that an upstream writes for itself."""

    service: str = attrs.field(validator=typed.HEADER_VALUE)
    address: str = attrs.field(validator=typed.ADDRESS)
    state: str = attrs.field(
        validator=attrs.validators.in_(("ready", "draining"))
    )
    #: Unix time of its start in milliseconds; 0 if unknown.
    born: int = attrs.field(default=0, validator=typed.NOT_NEGATIVE)
    zone: str = ""
    version: str = ""
    slots: int = attrs.field(default=1, validator=typed.COUNT)
    models: tuple[LoadedModel, ...] = ()


#: A run: request ID, tokens in the KV cache, events produced, priority.
Run = tuple[str, int, int, int]


@attrs.frozen
class Report:
    """An engine's report of its load and its runs."""

    models: tuple[LoadedModel, ...]
    born: int = attrs.field(default=0, validator=typed.NOT_NEGATIVE)
    busy: bool = False
    seq: int = attrs.field(default=0, validator=typed.NOT_NEGATIVE)
    queued: int = attrs.field(default=0, validator=typed.NOT_NEGATIVE)
    active: int = attrs.field(default=0, validator=typed.NOT_NEGATIVE)
    kv_used: int = 0
    kv_total: int = 0
    runs: tuple[Run, ...] = ()


@attrs.frozen
class CacheNews:
    """Cache events of an engine or of a store of cached parts."""

    boot_epoch: int
    next: int = attrs.field(validator=typed.NOT_NEGATIVE)
    events: list[typing.Any] = attrs.field(
        validator=typed.rows_of(int, str, str, str, int, str)
    )
    born: int = attrs.field(default=0, validator=typed.NOT_NEGATIVE)


_MS = 0.001
_MBPS = 1e6

# These records differ from the router's types only in names and units.
typed.set_wire_fields(
    model.Engine,
    cache_tokens=typed.wire_field("kv_capacity_tokens"),
    takes_copies=typed.wire_field("backups"),
    token_bytes=typed.wire_field("kv_token_bytes"),
    link_bits_per_s=typed.wire_field("link_mbps", _MBPS),
)
typed.set_wire_fields(
    model.Organisation,
    is_isolated=typed.wire_field("isolated"),
    api_keys=typed.own_field(typed.texts_of),
)
typed.set_wire_fields(
    model.CallerLimits,
    max_head_bytes=typed.wire_field("max_header_bytes"),
    head_timeout_s=typed.wire_field("header_timeout_ms", _MS),
    idle_timeout_s=typed.wire_field("idle_timeout_ms", _MS),
)


@attrs.frozen
class Service:
    """A service; a store of cached parts if `kv_store_addr` is set."""

    name: str
    engine: model.Engine | None = None
    kv_store_addr: str | None = attrs.field(
        default=None, validator=typed.ADDRESS
    )
    zone: str | None = None
    link_bits_per_s: float = 0.0


typed.set_wire_fields(
    Service, link_bits_per_s=typed.wire_field("link_mbps", _MBPS)
)


@attrs.frozen
class Route:
    """A route; `kind` and `resumable` determine how it may be repeated."""

    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: tuple[model.Split, ...] | None = None
    resumable: bool | None = None
    max_attempts: int | None = None
    timeout_ms: float = 60_000.0
    target_latency_ms: float = 1_000.0
    target_gap_ms: float = 1_000.0
    priority: int = 5
    public: bool | None = None


@attrs.frozen
class Configuration:
    """The operator's configuration."""

    version: int = attrs.field(validator=typed.POSITIVE)
    routes: tuple[Route, ...] | None = None
    services: tuple[Service, ...] | None = None
    tenants: list[typing.Any] | None = None
    limits: model.CallerLimits | None = None
