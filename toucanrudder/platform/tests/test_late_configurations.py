"""Routers whose watches of the configuration say nothing further."""

import asyncio
import contextlib
import time

import pytest

from toucanrudder import clock
from toucanrudder.peers import server
from toucanrudder.platform import objects
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.store import interface

#: Time after its acknowledgement by which a version must be in force.
BOUND_S = 2.0

#: Half of the shortest bound for new weights to be in place.
WEIGHTS_BOUND_S = 3.0

#: Enough for the store to handle a write that it has received.
HANDLED_S = 0.1

ROUTERS = 5


def put_version(cluster, version, **fields):
    configuration = {**clusters.CONFIGURATION, **fields, "version": version}
    cluster.store.put("config", "main", configuration)


async def settled_routers(cluster):
    """Return routers that know each other and watch for long."""
    cluster.watch_wait_s = 5.0
    routers = await cluster.routers(ROUTERS)
    await clusters.wait_until(
        lambda: all(each.store_watch.has_converged() for each in routers)
    )
    return routers


@contextlib.asynccontextmanager
async def answers_lost(cluster, kind):
    """Lose the answers to watches that what is written here ends."""
    cluster.store.lost_watches.add(kind)
    try:
        yield
        await asyncio.sleep(HANDLED_S)
    finally:
        cluster.store.lost_watches.clear()


async def late_routers(routers, version):
    """Return the names of the routers without a version at the bound."""
    until_s = time.monotonic() + BOUND_S
    while True:
        late = [
            each.state.name
            for each in routers
            if each.state.generation < version
        ]
        if not late or time.monotonic() > until_s:
            return late
        await asyncio.sleep(0.01)


async def test_no_version_is_late_if_all_watches_lose_their_answers(cluster):
    routers = await settled_routers(cluster)
    put_version(cluster, 4)
    assert not await late_routers(routers, 4)
    # All routers watch again, after the delay in which changes are batched.
    await asyncio.sleep(0.5)
    async with answers_lost(cluster, "config"):
        put_version(cluster, 5)
    assert not await late_routers(routers, 5)


WITHOUT_ROUTE = {
    "routes": [
        route
        for route in clusters.CONFIGURATION["routes"]
        if route["name"] != "read"
    ]
}
WITHOUT_KEY = {"tenants": clusters.CONFIGURATION["tenants"][1:]}

#: Fields of a version and of the next one, and status of a request by each.
CHANGES = {
    "a route is added": (WITHOUT_ROUTE, {}, 404, 200),
    "a route is removed": ({}, WITHOUT_ROUTE, 200, 404),
    "a key is added": (WITHOUT_KEY, {}, 401, 200),
    "a key is removed": ({}, WITHOUT_KEY, 200, 401),
}


@pytest.mark.parametrize(
    ("before", "after", "old_status", "new_status"),
    CHANGES.values(),
    ids=CHANGES.keys(),
)
async def test_no_request_is_handled_by_an_older_version_past_the_bound(
    cluster, before, after, old_status, new_status
):
    await cluster.server()
    routers = await settled_routers(cluster)

    async def statuses():
        return {
            (await clusters.send_request(router)).status for router in routers
        }

    put_version(cluster, 4, **before)
    assert not await late_routers(routers, 4)
    assert await statuses() == {old_status}
    await asyncio.sleep(0.5)
    async with answers_lost(cluster, "config"):
        put_version(cluster, 5, **after)
    await asyncio.sleep(BOUND_S - HANDLED_S)
    assert await statuses() == {new_status}


def never_answer_watches(router, monkeypatch):
    """Let a router's watches of the configuration end without an answer."""
    store = router.platform.store
    changes = store.changes

    async def watch(kind, position, *, wait_s):
        if kind != "config":
            return await changes(kind, position, wait_s=wait_s)
        await asyncio.sleep(wait_s + 1.0)
        raise interface.StoreUnavailable("no answer")

    monkeypatch.setattr(store, "changes", watch)


def never_give_documents(names, monkeypatch):
    """Let routers answer heartbeats, but no request for their document."""
    get_document = server.PeersService.GetDocument

    async def answer(service, request, context):
        if service._node.name in names:
            await asyncio.Event().wait()
        return await get_document(service, request, context)

    monkeypatch.setattr(server.PeersService, "GetDocument", answer)


SILENT_PEERS = {"none": 0, "one of four": 1, "two of four": 2, "three": 3}


@pytest.mark.parametrize(
    "silent", SILENT_PEERS.values(), ids=SILENT_PEERS.keys()
)
async def test_no_version_is_late_beside_peers_that_give_no_document(
    cluster, monkeypatch, silent
):
    cluster.watch_wait_s = 20.0
    never_give_documents(
        [f"r{number + 1}" for number in range(silent)], monkeypatch
    )
    routers = await cluster.routers(ROUTERS)
    never_answer_watches(routers[-1], monkeypatch)
    # The first version ends the watch that was open before.
    for version in range(4, 10):
        put_version(cluster, version)
        assert not await late_routers(routers, version), version
        await asyncio.sleep(HANDLED_S)


async def test_silent_watch_is_replaced_after_news_of_a_peer(cluster):
    """A router does not depend on its peers for the rest of a long wait."""
    cluster.watch_wait_s = 20.0
    routers = await cluster.routers(3)
    async with answers_lost(cluster, "config"):
        put_version(cluster, 4)
    # A peer learns of it, as if its watch had been open a moment later.
    document = objects.read_document(
        (
            await routers[0].platform.store.snapshot("config", timeout_s=1.0)
        ).objects[0]
    )
    taken_s = clock.now_s()
    routers[0].offer(document)
    assert not await late_routers(routers, 4)
    await clusters.wait_until(
        lambda: all(
            each.state.generation_news.is_confirmed_since(taken_s)
            for each in routers
        ),
        within_s=BOUND_S,
    )


async def test_no_weights_are_late_if_all_watches_lose_their_answers(cluster):
    routers = await settled_routers(cluster)

    def put_weights(version):
        spec = {"model": "m", "version": version}
        cluster.store.put("versions", "m", spec)

    def know_weights(version):
        known = [each.state.newest_weights.get("m") for each in routers]
        return all(each and each.version == version for each in known)

    put_weights(2)
    await clusters.wait_until(lambda: know_weights(2))
    await asyncio.sleep(0.5)
    async with answers_lost(cluster, "versions"):
        put_weights(3)
    await clusters.wait_until(
        lambda: know_weights(3), within_s=WEIGHTS_BOUND_S
    )
