"""Translation of the platform's objects into the router's types."""

from collections.abc import Iterable

import orjson

from toucanrudder.forwarding import model
from toucanrudder.platform import records
from toucanrudder.store import interface
from toucanrudder.store import strange
from toucanrudder.store import typed

#: Kinds of objects in the store; the configuration has only one object.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
UPSTREAM_KIND = "servers"
WEIGHTS_KIND = "versions"

_REPETITIONS = {
    "safe": model.Repetition.IDEMPOTENT,
    "unsafe": model.Repetition.ONCE,
}


def decode_document(source: bytes) -> model.Document:
    """Parse a configuration document that a peer sent.

    Raises
    ------
    MalformedObject
        The bytes hold no valid configuration.
    """
    try:
        value = orjson.loads(source)
    except ValueError as error:
        raise interface.MalformedObject("peer", "invalid JSON") from error
    return model.Document(read_configuration(value, "peer"), source)


def encode_document(document: model.Document) -> bytes:
    """Return the document as bytes to send to a peer."""
    return document.source


def read_document(stored: interface.StoredObject) -> model.Document | None:
    """Parse a stored configuration; return None for any other object.

    Raises
    ------
    MalformedObject
        The object holds no valid configuration.
    """
    if stored.name != CONFIGURATION_NAME:
        return None
    source = _object_path(stored)
    return model.Document(
        read_configuration(stored.value, source),
        strange.encode(stored.value, source),
    )


def _object_path(stored: interface.StoredObject) -> str:
    return f"{stored.kind}/{stored.name}"


def read_configuration(value: object, source: str) -> model.Configuration:
    """Parse a configuration.

    Raises
    ------
    MalformedObject
        The value is no valid configuration.
    """
    record = typed.read(records.Configuration, value, source)
    services = record.services or ()
    return model.Configuration(
        generation=record.version,
        routes=tuple(map(_translate_route, record.routes or ())),
        services={
            service.name: model.Service(service.name, service.engine)
            for service in services
            if service.kv_store_addr is None
        },
        cache_stores=tuple(
            model.CacheStore(
                store.kv_store_addr, store.zone or "", store.link_bits_per_s
            )
            for store in services
            if store.kv_store_addr is not None
        ),
        organisations=strange.read_valid(
            model.Organisation, record.tenants or (), source
        ),
        limits=record.limits or model.CallerLimits(),
        requires_keys="tenants" in value,
    )


def _translate_route(spec: records.Route) -> model.Route:
    is_stream = spec.kind == "stream"
    repetition = _REPETITIONS.get(spec.kind, model.Repetition.ONCE)
    if is_stream and spec.resumable:
        repetition = model.Repetition.RESUMABLE
    splits = spec.traffic_split or ()
    if not splits and spec.service:
        splits = (model.Split(spec.service),)
    return model.Route(
        name=spec.name,
        host=spec.host.lower(),
        path_prefix=spec.path_prefix,
        splits=splits,
        repetition=repetition,
        is_stream=is_stream,
        max_upstreams=spec.max_attempts or 1,
        timeout_s=spec.timeout_ms / 1000,
        objective_s=spec.target_latency_ms / 1000,
        event_gap_s=spec.target_gap_ms / 1000,
        priority=spec.priority,
        is_public=bool(spec.public),
    )


def read_upstream(stored: interface.StoredObject) -> model.Upstream:
    """Parse the registry entry of an upstream.

    Raises
    ------
    MalformedObject
        The entry is invalid.
    """
    name = typed.header_name(stored.name, _object_path(stored))
    entry = typed.read(records.Entry, stored.value, _object_path(stored))
    return model.Upstream(
        incarnation=model.incarnation(name, entry.born),
        name=name,
        started_at_ms=entry.born,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state == "draining",
        software_version=entry.version,
        weights=weights_by_model(entry.models),
    )


def weights_by_model(models: Iterable[records.LoadedModel]) -> dict[str, int]:
    """Map each model to the version of its weights."""
    return {loaded.name: loaded.version for loaded in models}


def read_target_weights(stored: interface.StoredObject) -> tuple[str, int]:
    """Parse the target version of a model's weights.

    Raises
    ------
    MalformedObject
        The object names no model and version.
    """
    target = typed.read(records.Weights, stored.value, _object_path(stored))
    return target.model, target.version
