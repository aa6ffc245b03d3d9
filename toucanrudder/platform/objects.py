"""The platform's own objects, translated into the project's types."""

import attrs
import orjson

from toucanrudder.forwarding import model
from toucanrudder.store import interface

#: Kinds that the platform writes, and the one name of its configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
UPSTREAM_KIND = "servers"
WEIGHTS_KIND = "versions"

#: A service with this field is a store of cached parts at that address.
_STORE_ADDRESS = "kv_store_addr"

_REPETITIONS = {
    "safe": model.Repetition.IDEMPOTENT,
    "unsafe": model.Repetition.ONCE,
}


@attrs.frozen
class Document:
    """A configuration together with the bytes that it was read from.

    Parameters
    ----------
    configuration : model.Configuration
        Its meaning.
    source : bytes
        Its platform form, for other routers.
    """

    configuration: model.Configuration
    source: bytes = attrs.field(repr=False)

    @property
    def generation(self) -> int:
        """Rises with each accepted change."""
        return self.configuration.generation


def decode(source: bytes) -> Document:
    """Return the document in another router's bytes."""
    return Document(configuration(orjson.loads(source)), source)


def encode(document: Document) -> bytes:
    """Return the document's bytes, for another router."""
    return document.source


def document(stored: interface.StoredObject) -> Document | None:
    """Return the document in a stored object; None if it is another."""
    if stored.name != CONFIGURATION_NAME:
        return None
    return Document(configuration(stored.value), orjson.dumps(stored.value))


def configuration(spec: dict) -> model.Configuration:
    """Translate a configuration."""
    limits = spec.get("limits") or {}
    services = spec.get("services") or ()
    return model.Configuration(
        generation=spec["version"],
        routes=tuple(_route(each) for each in spec.get("routes", ())),
        services={
            each["name"]: _service(each)
            for each in services
            if _STORE_ADDRESS not in each
        },
        cache_stores=tuple(
            model.CacheStore(each[_STORE_ADDRESS], each.get("zone", ""))
            for each in services
            if _STORE_ADDRESS in each
        ),
        organisations=tuple(
            _organisation(each) for each in spec.get("tenants") or ()
        ),
        limits=model.CallerLimits(
            max_head_bytes=limits.get("max_header_bytes", 16_384),
            max_body_bytes=limits.get("max_body_bytes", 4_194_304),
            head_timeout_s=limits.get("header_timeout_ms", 5_000) / 1000,
            idle_timeout_s=limits.get("idle_timeout_ms", 60_000) / 1000,
        ),
    )


def _route(spec: dict) -> model.Route:
    is_stream = spec["kind"] == "stream"
    repetition = _REPETITIONS.get(spec["kind"], model.Repetition.ONCE)
    if is_stream and spec.get("resumable"):
        repetition = model.Repetition.RESUMABLE
    splits = tuple(
        model.Split(each["service"], each["weight"])
        for each in spec.get("traffic_split") or ()
    )
    if not splits and spec.get("service"):
        splits = (model.Split(spec["service"]),)
    return model.Route(
        name=spec["name"],
        host=spec["host"].lower(),
        path_prefix=spec["path_prefix"],
        splits=splits,
        repetition=repetition,
        is_stream=is_stream,
        max_upstreams=spec.get("max_attempts") or 1,
        timeout_s=spec.get("timeout_ms", 60_000) / 1000,
        objective_s=spec.get("target_latency_ms", 1_000) / 1000,
        event_gap_s=spec.get("target_gap_ms", 1_000) / 1000,
        priority=spec.get("priority", 5),
        is_public=bool(spec.get("public")),
    )


def _service(spec: dict) -> model.Service:
    engine = spec.get("engine")
    return model.Service(
        spec["name"],
        model.Engine(
            engine["slots"],
            engine["kv_capacity_tokens"],
            bool(engine.get("backups")),
        )
        if engine
        else None,
    )


def _organisation(spec: dict) -> model.Organisation:
    return model.Organisation(
        spec["name"],
        frozenset(spec.get("api_keys") or ()),
        spec.get("priority"),
        bool(spec.get("isolated")),
    )


def upstream(stored: interface.StoredObject) -> model.Upstream:
    """Translate the entry by which an upstream registers itself."""
    spec = stored.value
    return model.Upstream(
        incarnation=stored.name,
        service=spec["service"],
        address=spec["address"],
        zone=spec.get("zone", ""),
        slots=spec.get("slots") or 1,
        is_leaving=spec.get("state") == "draining",
        # "version" is that of the upstream's software; the weights' stand
        # with the models.
        weights=weights_of(spec),
    )


def weights_of(spec: dict) -> dict[str, int]:
    """Return the versions of the weights by model."""
    return {each["name"]: each["version"] for each in spec.get("models") or ()}


def named_weights(stored: interface.StoredObject) -> tuple[str, int]:
    """Return the model and the version that its weights are to have."""
    return stored.value["model"], stored.value["version"]
