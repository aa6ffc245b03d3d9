"""Tests of parsing the platform's objects, valid and malformed."""

import attrs
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from toucanrudder.forwarding import model
from toucanrudder.http1 import json_text
from toucanrudder.platform import objects
from toucanrudder.platform import records
from toucanrudder.store import interface
from toucanrudder.store import strange
from toucanrudder.store import typed

ENTRY = {
    "service": "engines",
    "address": "10.0.0.1:8080",
    "zone": "za",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "seq": 4,
    "born": 1_700_000_000_000,
}

REPORT = {
    "stage": "unified",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "seq": 2,
    "queued": 1,
    "active": 12,
    "kv_used": 41000,
    "kv_total": 90000,
    "runs": [["a1", 300, 4, 5]],
    "born": 1_700_000_000_000,
}

CACHE_NEWS = {
    "boot_epoch": 77120,
    "next": 120,
    "lost": False,
    "events": [[119, "+", "s1", "5c1e07a2", 800, "m"]],
}

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "H.example",
            "path_prefix": "/a/",
            "kind": "stream",
            "resumable": True,
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "target_gap_ms": 400,
            "priority": 1,
            "max_attempts": 2,
            "public": False,
            "traffic_split": [{"service": "engines", "weight": 90}],
        }
    ],
    "services": [
        {
            "name": "engines",
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 90_000,
                "backups": True,
            },
        },
        {
            "name": "parts",
            "kv_store_addr": "10.0.0.9:80",
            "zone": "za",
            "link_mbps": 2_000.0,
        },
    ],
    "limits": {"max_body_bytes": 10, "idle_timeout_ms": 15_000},
    "tenants": [{"name": "n", "api_keys": ["k"], "priority": 1}],
}


def stored(kind, name, value):
    return interface.StoredObject(kind, name, 5, value)


def read_upstream(value):
    return objects.read_upstream(stored("servers", "i1", value))


def read_weights(value):
    return objects.read_target_weights(stored("versions", "m", value))


def read_document(value):
    return objects.read_document(stored("config", "main", value))


def read_report(value):
    return typed.read(records.Report, value, "10.0.0.1:80")


def read_cache_news(value):
    return typed.read(records.CacheNews, value, "10.0.0.1:80")


READERS = {
    "entry": (read_upstream, ENTRY),
    "weights": (read_weights, {"model": "m", "version": 2}),
    "configuration": (read_document, CONFIGURATION),
    "report": (read_report, REPORT),
    "cache news": (read_cache_news, CACHE_NEWS),
}


def test_valid_objects_are_parsed():
    upstream = read_upstream(ENTRY)
    assert upstream == model.Upstream(
        "i1@1700000000000",
        "engines",
        "10.0.0.1:8080",
        "za",
        8,
        False,
        {"m": 3},
        name="i1",
        started_at_ms=1_700_000_000_000,
        software_version="v1",
    )
    configuration = read_document(CONFIGURATION).configuration
    (route,) = configuration.routes
    assert (route.host, route.timeout_s, route.objective_s) == (
        "h.example",
        4.0,
        0.6,
    )
    assert route.repetition is model.Repetition.RESUMABLE
    assert route.splits == (model.Split("engines", 90.0),)
    assert configuration.services["engines"].engine == model.Engine(
        64, 90_000, True
    )
    assert configuration.cache_stores == (
        model.CacheStore("10.0.0.9:80", "za", 2e9),
    )
    assert configuration.organisations == (
        model.Organisation("n", frozenset({"k"}), 1, False),
    )
    assert configuration.limits == model.CallerLimits(
        max_body_bytes=10, idle_timeout_s=15.0
    )


MALFORMED_ENTRIES = {
    "no service": {"service": None},
    "address is a number": {"address": 8080},
    "address is a name": {"address": "host.example:80"},
    "address without a port": {"address": "10.0.0.1"},
    "address in brackets": {"address": "[10.0.0.1]:80"},
    "port out of range": {"address": "10.0.0.1:70000"},
    "slots are a text": {"slots": "8"},
    "no slots": {"slots": 0},
    "slots are true": {"slots": True},
    "unknown state": {"state": "sleeping"},
    "state is a table": {"state": {}},
    "models are a text": {"models": "m"},
    "a model is a text": {"models": ["m"]},
    "a version is a text": {"models": [{"name": "m", "version": "3"}]},
    "a version is a fraction": {"models": [{"name": "m", "version": 1.5}]},
    "born is a text": {"born": "1700000000000"},
    "born is a fraction": {"born": 1.5},
    "a service that is no word": {"service": "a\r\nb"},
    "a text that cannot be encoded": {"zone": "\ud800"},
}


@pytest.mark.parametrize(
    "change", MALFORMED_ENTRIES.values(), ids=MALFORMED_ENTRIES.keys()
)
def test_malformed_entry_is_rejected(change):
    with pytest.raises(interface.MalformedObject):
        read_upstream(ENTRY | change)


@pytest.mark.parametrize("value", [None, "text", [], 7, {}, [ENTRY]])
@pytest.mark.parametrize("read", [each for each, _ in READERS.values()])
def test_values_that_are_no_records_are_rejected(read, value):
    with pytest.raises(interface.MalformedObject):
        read(value)


def test_malformed_object_is_logged_once(caplog):
    for _ in range(3):
        entry = stored("servers", "once", ENTRY | {"slots": "many"})
        assert strange.decode_or_none(objects.read_upstream, entry) is None
    logged = [each for each in caplog.records if each.name == strange.__name__]
    assert len(logged) == 1


ANY_JSON_VALUE = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def paths(value, before=()):
    """Yield the path of each value nested in a value."""
    yield before
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, inner in children:
        yield from paths(inner, (*before, key))


def replace_at(value, path, replacement, *, leave_out):
    """Return a copy with the value at a path replaced or left out."""
    if not path:
        return replacement
    copy = value.copy()
    key, *rest = path
    if not rest and leave_out and isinstance(copy, dict):
        del copy[key]
    else:
        copy[key] = replace_at(
            copy[key], rest, replacement, leave_out=leave_out
        )
    return copy


def check_types(value):
    """Check that an attrs object's fields have their declared types."""
    for field in attrs.fields(type(value)):
        actual = getattr(value, field.name)
        if field.type in (int, str, bool):
            assert type(actual) is field.type
        if attrs.has(type(actual)):
            check_types(actual)
        if isinstance(actual, tuple):
            for each in filter(lambda item: attrs.has(type(item)), actual):
                check_types(each)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(data=strategies.data())
@pytest.mark.parametrize(
    ("read", "valid"), READERS.values(), ids=READERS.keys()
)
def test_corrupted_objects_are_rejected_or_have_valid_types(read, valid, data):
    # Any field of an object may hold any value.  The reader must return a
    # record whose fields have their declared types, or raise
    # `MalformedObject`, which affects only this object.
    path = data.draw(strategies.sampled_from(list(paths(valid))))
    value = replace_at(
        valid,
        path,
        data.draw(ANY_JSON_VALUE),
        leave_out=data.draw(strategies.booleans()),
    )
    try:
        parsed = read(value)
    except interface.MalformedObject:
        return
    if attrs.has(type(parsed)):
        check_types(parsed)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(content=strategies.binary(max_size=60))
def test_unparsable_bytes_raise_one_error(content):
    try:
        json_text.parse(content)
    except json_text.Unreadable:
        return


def test_invalid_utf8_in_one_entry_does_not_affect_the_list():
    # The strict JSON parser rejects the whole list if one entry holds
    # invalid UTF-8, so no entry would be read any more.
    content = orjson.dumps({"items": [{"a": "good"}, {"a": "XX"}]})
    parsed = json_text.parse(content.replace(b"XX", b"\xff\xfe"))
    assert parsed["items"][0] == {"a": "good"}


def test_unreadable_document_of_a_peer_is_rejected():
    for content in (b"", b"\xff", b"[]", b'{"version": "7"}'):
        with pytest.raises(interface.MalformedObject):
            objects.decode_document(content)
