"""Entries of another writer among those of the upstreams."""

import orjson
import pytest

from toucanrudder.http1 import json_text
from toucanrudder.leases import holder
from toucanrudder.peers import changes
from toucanrudder.platform import objects
from toucanrudder.platform import records
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.store import fanout
from toucanrudder.store import feed
from toucanrudder.store import interface
from toucanrudder.store import typed


def nested(depth):
    return b'{"service": ' + b"[" * depth + b"]" * depth + b"}"


def entry(**fields):
    upstream = {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "za",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "models": [],
    }
    return orjson.dumps({**upstream, **fields})


#: What no record of any kind can be read from.
STRANGE_VALUES = {
    "nested 300 deep": nested(300),
    "nested 1100 deep": nested(1100),
    "nested 1500 deep": nested(1500),
    "nested 100,000 deep": nested(100_000),
    "brackets in a string": b'{"service": "' + b"[" * 3000 + b'"}',
    "a number of 5,000 digits": b'{"slots": ' + b"9" * 5000 + b"}",
    "a number beyond floats": b'{"slots": 1e400}',
    "bytes that are no text": b'{"service": "\xff"}',
}

#: Content of an entry that another writer left.
STRANGE = {
    **STRANGE_VALUES,
    "a port of 5 digits": entry(address="127.0.0.1:99999"),
    "a port of 5,000 digits": entry(address="127.0.0.1:" + "9" * 5000),
    "a port in other digits": entry(address="127.0.0.1:\u0663"),
    "a negative port": entry(address="127.0.0.1:-1"),
    "nested beside a sound entry": entry()[:-1] + b"," + nested(1500)[1:],
}


@pytest.mark.parametrize("content", STRANGE.values(), ids=STRANGE.keys())
@pytest.mark.parametrize("is_first", [True, False])
async def test_registry_is_followed_beside_a_strange_entry(
    cluster, content, is_first
):
    """Upstreams are found and lost though one entry cannot be read."""
    strange = orjson.Fragment(content)
    if is_first:
        cluster.store.put("servers", "i-strange", strange)
    first = await cluster.server()
    router = await cluster.router()
    if not is_first:
        cluster.store.put("servers", "i-strange", strange)
    second = await cluster.server()
    await clusters.wait_until(
        lambda: router.state.registry.by_name(second.incarnation)
    )
    cluster.store.delete("servers", first.incarnation)
    await clusters.wait_until(
        lambda: not router.state.registry.by_name(first.incarnation)
    )
    assert [each.name for each in router.state.registry.upstreams()] == [
        second.incarnation
    ]


@pytest.mark.parametrize("content", STRANGE.values(), ids=STRANGE.keys())
def test_reader_passes_a_strange_entry_on(content):
    """Followers of a reader get the changes beside one it cannot encode."""
    value = json_text.parse(content)
    stored = interface.StoredObject("servers", "i-strange", 8, value)
    sound = interface.StoredObject("servers", "i-1", 9, {"service": "desk"})
    reply = fanout.ReaderReply(
        feed.Changes(
            (feed.Change(stored), feed.Change(sound)), feed.Position(1, 9)
        ),
        0.1,
    )
    back = changes.from_wire("servers", changes.to_wire(reply))
    strange, other = back.changes.changes
    assert other.object == sound
    for each in (strange.object, stored):
        with pytest.raises(interface.MalformedObject):
            objects.read_upstream(each)


@pytest.mark.parametrize("content", STRANGE.values(), ids=STRANGE.keys())
async def test_weights_and_configuration_are_followed_beside_strange_ones(
    cluster, content
):
    """Versions are learned though an object beside theirs is strange."""
    router = await cluster.router()
    for kind in ("versions", "config", holder.KIND):
        cluster.store.put(kind, "a-strange", orjson.Fragment(content))
    cluster.store.put("versions", "m", {"model": "m", "version": 2})
    configuration = {**clusters.CONFIGURATION, "version": 4}
    cluster.store.put("config", "main", configuration)
    await clusters.wait_until(
        lambda: (
            "m" in router.state.newest_weights and router.state.generation == 4
        )
    )


#: Readers of objects and messages of other programs.
READERS = {
    "configuration": lambda value: objects.read_document(
        interface.StoredObject("config", "main", 8, value)
    ),
    "weights": lambda value: objects.read_target_weights(
        interface.StoredObject("versions", "m", 8, value)
    ),
    "report": lambda value: typed.read(records.Report, value, "engine"),
    "cache events": lambda value: typed.read(
        records.CacheNews, value, "engine"
    ),
}


@pytest.mark.parametrize(
    "content", STRANGE_VALUES.values(), ids=STRANGE_VALUES.keys()
)
@pytest.mark.parametrize("read", READERS.values(), ids=READERS.keys())
def test_strange_object_is_malformed(read, content):
    with pytest.raises(interface.MalformedObject):
        read(json_text.parse(content))


@pytest.mark.parametrize("content", STRANGE.values(), ids=STRANGE.keys())
def test_strange_document_of_a_peer_is_malformed(content):
    with pytest.raises(interface.MalformedObject):
        objects.decode_document(content)


@pytest.mark.parametrize(
    "name", ["a\r\nX: b", "a b\x00", "\u0663", "x" * 9999]
)
def test_name_that_no_header_may_hold_is_malformed(name):
    stored = interface.StoredObject("servers", name, 8, orjson.loads(entry()))
    with pytest.raises(interface.MalformedObject):
        objects.read_upstream(stored)


async def test_list_is_read_on_after_a_strange_name(cluster):
    """A name that ends a page of the list is quoted in the next call."""
    for name in ("a", "b b\r\n?after=z&watch=1#"):
        cluster.store.put("servers", name, orjson.Fragment(entry()))
    servers = [await cluster.server() for _ in range(3)]
    router = await cluster.router()
    names = {each.name for each in router.state.registry.upstreams()}
    assert names == {"a", *(each.incarnation for each in servers)}
