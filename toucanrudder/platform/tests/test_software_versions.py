"""Streams of a service whose upstreams have several software versions."""

import asyncio

import pytest

from toucanrudder.http1 import client
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 24


def breaks_first(behaviour):
    """Return a behaviour for new streams; others are answered normally."""

    async def behave(upstream, run, answer):
        if "last-event-id" in run.headers:
            await standins.answers_normally(upstream, run, answer)
        else:
            await behaviour(upstream, run, answer)

    return behave


async def hangs_after_event(upstream, run, answer):
    """Send the first event, then nothing more."""
    upstream.runs.append(run)
    await answer.start(200, upstream.answer_headers(run))
    await answer.write(standins.event(1))
    await asyncio.Event().wait()


async def start_engines(cluster, versions=VERSIONS):
    return [await cluster.engine(version) for version in versions]


async def start_routers(cluster, count=3):
    routers = [await cluster.router("r1")]
    address = routers[0].peering.node.address
    for number in range(2, count + 1):
        routers.append(await cluster.router(f"r{number}", address))
    await clusters.wait_until(
        lambda: all(each.state.live_routers() == count for each in routers)
    )
    return routers


def versions_of(engines, *request_ids):
    """Return the software versions that have run the requests."""
    return {
        engine.software_version
        for engine in engines
        for run in engine.runs
        if run.request_id in request_ids
    }


def set_behaviour(engines, behaviour):
    for engine in engines:
        engine.default_behaviour = breaks_first(behaviour)


def prompt_of(number):
    """Return a prompt that no other stream shares."""
    return f"a{number:x}:100,b{number:x}:200"


async def receive_first_event(router, number):
    """Begin a stream; disconnect after its first event."""
    head, body = clusters.build_request(
        b"/s/x", Request_Id=f"stream{number}", Prompt_Prefix=prompt_of(number)
    )
    connection = await client.connect(
        router.request_listener.address, clusters.DEADLINE_S
    )
    async with asyncio.timeout(clusters.DEADLINE_S):
        connection.send(head, body)
        assert (await connection.next_event()).status == 200
        assert (await connection.next_event()).content == standins.event(1)
    connection.abort()


async def take_up(router, number):
    """Resume a stream after its first event."""
    return await clusters.send_request(
        router,
        b"/s/x",
        Request_Id=f"next{number}",
        Prompt_Prefix=prompt_of(number),
        Last_Event_Id="1",
        Resumes=f"stream{number}",
    )


async def leave(cluster, routers, engines):
    """Let engines leave; wait until all routers know."""
    for engine in engines:
        engine.state = "draining"
        cluster.store.put("servers", engine.incarnation, engine.entry())
    await clusters.wait_until(
        lambda: all(
            router.state.registry.get(engine.incarnation).is_leaving
            for router in routers
            for engine in engines
        )
    )


BREAKS = [
    (b"/s/x", standins.breaks_mid_event),
    (b"/once/x", standins.breaks_after_copy),
]


@pytest.mark.parametrize(("path", "behaviour"), BREAKS)
async def test_broken_stream_goes_on_at_the_software_that_began_it(
    cluster, path, behaviour
):
    engines = await start_engines(cluster)
    set_behaviour(engines, behaviour)
    (router,) = await start_routers(cluster, 1)
    for number in range(STREAMS):
        answer = await clusters.send_request(
            router, path, Request_Id=f"stream{number}"
        )
        assert answer.is_whole
        assert answer.body == clusters.EVENTS
        assert len(versions_of(engines, f"stream{number}")) == 1


async def test_stream_taken_up_at_another_router_keeps_its_software(cluster):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    routers = await start_routers(cluster)
    for number in range(STREAMS):
        await receive_first_event(routers[number % 3], number)
    await leave(cluster, routers, engines[::2])
    for number in range(STREAMS):
        answer = await take_up(routers[(number + 1) % 3], number)
        assert answer.is_whole
        ids = (f"stream{number}", f"next{number}")
        assert len(versions_of(engines, *ids)) == 1
