"""Upstreams that say in their answers that they leave."""

import asyncio

import pytest

from toucanrudder.forwarding.statements import answers
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import heads
from toucanrudder.platform.testing import standins

WORD = (b"Server-Leaving", b"1")


LEAVING = [
    ((b"Server-Leaving", b"1"), True),
    ((b"Server-Leaving", b" 1 "), True),
    ((b"Server-Leaving", b"0"), False),
    ((b"Server-Leaving", b""), False),
    ((b"X", b"1"), False),
]


@pytest.mark.parametrize(("header", "expected"), LEAVING)
def test_leaving_is_read(header, expected):
    assert heads.read_facts(200, header).is_leaving is expected


def test_leaving_of_another_process_at_the_address_is_ignored():
    sealed = (b"Server-Seal", b"s")
    other, asked = (b"Instance-Id", b"v"), (b"Instance-Id", b"u")
    assert not answers.states_leaving(heads.read_facts(421, other, WORD))
    assert not answers.states_leaving(heads.read_facts(421, WORD))
    assert answers.states_leaving(heads.read_facts(421, asked, WORD))
    assert not answers.states_leaving(
        heads.read_facts(200, other, sealed, WORD)
    )
    assert answers.states_leaving(heads.read_facts(200, sealed, WORD))


async def leaves(upstream, run, answer):
    upstream.runs.append(run)
    headers = (*upstream.answer_headers(run), WORD)
    await answer.send_whole(200, headers, b"done")


async def leaves_and_fails(upstream, run, answer):
    upstream.runs.append(run)
    headers = (*upstream.answer_headers(run), WORD)
    await answer.send_whole(500, headers, b"failed")


async def leaves_and_refuses(upstream, run, answer):
    headers = (
        (b"Not-Executed", b"1"),
        (b"Request-Id", run.request_id.encode()),
        WORD,
    )
    await answer.send_whole(503, headers, b"")


async def unsealed(upstream, run, answer):
    headers = ((b"Request-Id", run.request_id.encode()), WORD)
    await answer.send_whole(200, headers, b"rubbish")


async def of_another_request(upstream, run, answer):
    headers = ((b"Request-Id", b"another"), (b"Server-Seal", b"s"), WORD)
    await answer.send_whole(200, headers, b"not yours")


async def of_another_process(upstream, run, answer):
    headers = (
        (b"Request-Id", run.request_id.encode()),
        (b"Instance-Id", b"another"),
        WORD,
    )
    await answer.send_whole(421, headers, b"")


def is_leaving(router, upstream):
    return router.state.registry.get(upstream.incarnation).is_leaving


ANSWERS = [
    (leaves, True),
    (leaves_and_fails, True),
    (leaves_and_refuses, True),
    (unsealed, False),
    (of_another_request, False),
    (of_another_process, False),
]


@pytest.mark.parametrize(("behaviour", "expected"), ANSWERS)
async def test_an_upstream_is_believed_for_itself_only(
    cluster, behaviour, expected
):
    desk = await cluster.server()
    router = await cluster.router()
    desk.default_behaviour = behaviour
    await clusters.send_request(router)
    assert is_leaving(router, desk) is expected


async def test_peers_learn_that_an_upstream_leaves_from_one_answer(cluster):
    desk = await cluster.server()
    routers = await cluster.routers(2)
    desk.default_behaviour = leaves
    assert (await clusters.send_request(routers[0])).status == 200
    await clusters.wait_until(lambda: is_leaving(routers[1], desk))
    refused = await clusters.send_request(routers[1])
    assert refused.status == 503
    assert len(desk.runs) == 1


async def test_a_start_under_the_same_name_does_not_leave(cluster):
    desk = await cluster.server()
    router = await cluster.router()
    desk.behaviours = [leaves]
    assert (await clusters.send_request(router)).status == 200
    assert (await clusters.send_request(router)).status == 503
    desk.restart()
    cluster.store.put("servers", desk.incarnation, desk.entry())
    await clusters.wait_until(
        lambda: not router.state.registry.by_name(desk.incarnation).is_leaving
    )
    assert (await clusters.send_request(router)).status == 200


async def test_an_upstream_that_leaves_during_the_connect_gets_nothing(
    cluster,
):
    desk = await cluster.server()
    router = await cluster.router()
    pool = router.state.pool
    connect = pool.connect

    async def connect_late(address, timeout_s):
        connection = await connect(address, timeout_s)
        router.state.record_leaving(desk.incarnation)
        return connection

    pool.connect = connect_late
    answer = await clusters.send_request(router)
    assert answer.status == 503
    assert not desk.runs


async def test_a_stream_goes_on_at_an_upstream_that_says_it_leaves(cluster):
    async def streams(upstream, run, answer):
        headers = (*upstream.answer_headers(run), WORD)
        await answer.start(200, headers)
        for number in (1, 2, 3):
            await answer.write(standins.event(number))
            await asyncio.sleep(0.05)
        await answer.end()

    engine = await cluster.engine()
    router = await cluster.router()
    engine.default_behaviour = streams
    answer = await clusters.send_request(router, b"/s/x")
    assert answer.is_whole
    assert answer.body == clusters.EVENTS
    assert is_leaving(router, engine)
