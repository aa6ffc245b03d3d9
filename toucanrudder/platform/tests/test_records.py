"""What other writers may put where the platform's own objects belong."""

import attrs
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from toucanrudder.forwarding import model
from toucanrudder.http1 import calls
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

NEWS = {
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


def read_news(value):
    return typed.read(records.CacheNews, value, "10.0.0.1:80")


READERS = {
    "entry": (read_upstream, ENTRY),
    "weights": (read_weights, {"model": "m", "version": 2}),
    "configuration": (read_document, CONFIGURATION),
    "report": (read_report, REPORT),
    "cache news": (read_news, NEWS),
}


def test_what_the_platform_writes_is_read():
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
    )
    found = read_document(CONFIGURATION).configuration
    (route,) = found.routes
    assert (route.host, route.timeout_s, route.objective_s) == (
        "h.example",
        4.0,
        0.6,
    )
    assert route.repetition is model.Repetition.RESUMABLE
    assert route.splits == (model.Split("engines", 90.0),)
    assert found.services["engines"].engine == model.Engine(64, 90_000, True)
    assert found.cache_stores == (model.CacheStore("10.0.0.9:80", "za", 2e9),)
    assert found.organisations == (
        model.Organisation("n", frozenset({"k"}), 1, False),
    )
    assert found.limits == model.CallerLimits(
        max_body_bytes=10, idle_timeout_s=15.0
    )


STRANGE_ENTRIES = {
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
    "change", STRANGE_ENTRIES.values(), ids=STRANGE_ENTRIES.keys()
)
def test_a_strange_entry_names_no_upstream(change):
    with pytest.raises(interface.MalformedObject):
        read_upstream(ENTRY | change)


@pytest.mark.parametrize("value", [None, "text", [], 7, {}, [ENTRY]])
@pytest.mark.parametrize("read", [each for each, _ in READERS.values()])
def test_what_is_no_record_is_refused(read, value):
    with pytest.raises(interface.MalformedObject):
        read(value)


def test_a_strange_object_is_logged_once(caplog):
    for _ in range(3):
        entry = stored("servers", "once", ENTRY | {"slots": "many"})
        assert strange.decode_or_none(objects.read_upstream, entry) is None
    found = [each for each in caplog.records if each.name == strange.__name__]
    assert len(found) == 1


ANYTHING = strategies.recursive(
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
    """Return the way to each place in a value."""
    yield before
    places = ()
    if isinstance(value, dict):
        places = value.items()
    elif isinstance(value, list):
        places = enumerate(value)
    for key, inner in places:
        yield from paths(inner, (*before, key))


def spoilt(value, path, replacement, *, leave_out):
    """Return a copy in which one place holds something else, or nothing."""
    if not path:
        return replacement
    copy = value.copy()
    key, *rest = path
    if not rest and leave_out and isinstance(copy, dict):
        del copy[key]
    else:
        copy[key] = spoilt(copy[key], rest, replacement, leave_out=leave_out)
    return copy


def check_types(value):
    """Check that an attrs object's fields have the types that they say."""
    for field in attrs.fields(type(value)):
        held = getattr(value, field.name)
        if field.type in (int, str, bool):
            assert type(held) is field.type
        if attrs.has(type(held)):
            check_types(held)
        if isinstance(held, tuple):
            for each in filter(lambda one: attrs.has(type(one)), held):
                check_types(each)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(data=strategies.data())
@pytest.mark.parametrize(
    ("read", "good"), READERS.values(), ids=READERS.keys()
)
def test_spoilt_words_are_refused_or_read_with_their_types(read, good, data):
    # Another writer, or a broken one, changes any field to anything.  The
    # reader gives a record whose fields have their types, or the one
    # error that costs this object alone.
    path = data.draw(strategies.sampled_from(list(paths(good))))
    value = spoilt(
        good,
        path,
        data.draw(ANYTHING),
        leave_out=data.draw(strategies.booleans()),
    )
    try:
        found = read(value)
    except interface.MalformedObject:
        return
    if attrs.has(type(found)):
        check_types(found)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(content=strategies.binary(max_size=60))
def test_bytes_that_cannot_be_read_have_one_error(content):
    try:
        calls.parsed(content)
    except calls.Unreadable:
        return


def test_one_unreadable_entry_leaves_the_list_readable():
    # One entry of a list holds bytes that are no text.  The strict parser
    # refuses the whole list, so no entry would be read any more.
    content = orjson.dumps({"items": [{"a": "good"}, {"a": "XX"}]})
    found = calls.parsed(content.replace(b"XX", b"\xff\xfe"))
    assert found["items"][0] == {"a": "good"}


def test_a_peers_unreadable_document_is_refused():
    for content in (b"", b"\xff", b"[]", b'{"version": "7"}'):
        with pytest.raises(interface.MalformedObject):
            objects.decode_document(content)
