"""The platform's own objects, translated into the project's types."""

from collections.abc import Iterable

import orjson

from toucanrudder.forwarding import model
from toucanrudder.platform import records
from toucanrudder.store import interface
from toucanrudder.store import typed

#: Kinds that the platform writes, and the one name of its configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
UPSTREAM_KIND = "servers"
WEIGHTS_KIND = "versions"

_REPETITIONS = {
    "safe": model.Repetition.IDEMPOTENT,
    "unsafe": model.Repetition.ONCE,
}


def decode(source: bytes) -> model.Document:
    """Return the document in another router's bytes.

    Raises
    ------
    MalformedObject
        They hold none.
    """
    try:
        value = orjson.loads(source)
    except ValueError as error:
        raise interface.MalformedObject("peer", "unreadable bytes") from error
    return model.Document(configuration(value, "peer"), source)


def encode(document: model.Document) -> bytes:
    """Return the document's bytes, for another router."""
    return document.source


def document(stored: interface.StoredObject) -> model.Document | None:
    """Return the document in a stored object; None if it is another.

    Raises
    ------
    MalformedObject
        The object holds no configuration.
    """
    if stored.name != CONFIGURATION_NAME:
        return None
    return model.Document(
        configuration(stored.value, _source(stored)),
        orjson.dumps(stored.value),
    )


def _source(stored: interface.StoredObject) -> str:
    return f"{stored.kind}/{stored.name}"


def configuration(value: object, source: str) -> model.Configuration:
    """Translate a configuration.

    Raises
    ------
    MalformedObject
        The value holds none.
    """
    found = typed.read(records.Configuration, value, source)
    services = found.services or ()
    return model.Configuration(
        generation=found.version,
        routes=tuple(map(_route, found.routes or ())),
        services={
            each.name: model.Service(each.name, each.engine)
            for each in services
            if each.kv_store_addr is None
        },
        cache_stores=tuple(
            model.CacheStore(
                each.kv_store_addr, each.zone or "", each.link_bits_per_s
            )
            for each in services
            if each.kv_store_addr is not None
        ),
        organisations=found.tenants or (),
        limits=found.limits or model.CallerLimits(),
    )


def _route(spec: records.Route) -> model.Route:
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


def upstream(stored: interface.StoredObject) -> model.Upstream:
    """Translate the entry by which an upstream registers itself.

    Raises
    ------
    MalformedObject
        The entry names no upstream to use.
    """
    entry = typed.read(records.Entry, stored.value, _source(stored))
    return model.Upstream(
        incarnation=_incarnation(stored.name, entry.born),
        name=stored.name,
        born_ms=entry.born,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state == "draining",
        # "version" is that of the upstream's software; the weights' stand
        # with the models.
        weights=weights_of(entry.models),
    )


def _incarnation(name: str, born_ms: int) -> str:
    """Return the identity of one start of an upstream.

    A process that starts again keeps its name and remembers nothing: what
    was believed of the one before must not be found under the new one's.
    """
    return f"{name}@{born_ms}" if born_ms else name


def weights_of(models: Iterable[records.LoadedModel]) -> dict[str, int]:
    """Return the versions of the weights by model."""
    return {each.name: each.version for each in models}


def named_weights(stored: interface.StoredObject) -> tuple[str, int]:
    """Return the model and the version that its weights are to have.

    Raises
    ------
    MalformedObject
        The object names none.
    """
    found = typed.read(records.Weights, stored.value, _source(stored))
    return found.model, found.version
