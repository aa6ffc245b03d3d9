"""Routers that are cut off from upstreams which other routers reach."""

import asyncio
import contextlib

import pytest

from toucanrudder import clock
from toucanrudder.forwarding.handover import contact
from toucanrudder.http1 import client
from toucanrudder.peers import handovers
from toucanrudder.peers import server as peer_servers
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

ROUTERS = 3
ENGINES = 3
PATHS = (b"/r/x", b"/w/x", b"/s/x", b"/once/x")


async def start_fleet(cluster):
    """Start upstreams of two services and routers that know each other."""
    upstreams = [await cluster.engine() for _ in range(ENGINES)]
    upstreams += [await cluster.server(), await cluster.server()]
    routers = [await cluster.router("r1")]
    address = routers[0].peering.node.address
    for number in range(2, ROUTERS + 1):
        routers.append(await cluster.router(f"r{number}", address))
    await clusters.wait_until(
        lambda: all(each.state.live_routers() == ROUTERS for each in routers)
    )
    return upstreams, routers


@pytest.mark.parametrize("how", [clusters.refuse, clusters.hang])
async def test_callers_of_a_cut_off_router_are_served_through_peers(
    cluster, how
):
    _, routers = await start_fleet(cluster)
    with clusters.cut_off(routers[0], how):
        statuses = [
            (await clusters.send_request(routers[0], path)).status
            for path in PATHS * 3
        ]
    assert statuses == [200] * len(statuses)


@pytest.mark.parametrize("how", [clusters.refuse, clusters.hang])
async def test_without_upstreams_all_routers_refuse_as_not_run(cluster, how):
    upstreams, routers = await start_fleet(cluster)
    with contextlib.ExitStack() as stack:
        for router in routers:
            stack.enter_context(clusters.cut_off(router, how))
        for path in PATHS:
            answer = await clusters.send_request(routers[0], path)
            assert answer.status == 503
            assert answer.get(b"retry-after") is not None
    assert not any(upstream.runs for upstream in upstreams)


async def test_router_in_contact_sends_requests_itself(cluster):
    upstreams, routers = await start_fleet(cluster)
    for path in PATHS:
        assert (await clusters.send_request(routers[0], path)).status == 200
    assert routers[0].state.pool.opened
    assert not any(each.state.pool.opened for each in routers[1:])
    assert sum(len(each.runs) for each in upstreams) == len(PATHS)


async def test_upstream_that_is_down_does_not_look_like_a_cut(cluster):
    _, routers = await start_fleet(cluster)
    pool = routers[0].state.pool
    first = routers[0].state.addresses("engines")[0]

    async def connect(address, timeout_s):
        if address == first:
            await clusters.hang(address, timeout_s)
        return await client.connect(address, timeout_s)

    pool.connect = connect
    for _ in range(6):
        assert (await clusters.send_request(routers[0], b"/s/x")).status == 200
    assert not any(each.state.pool.opened for each in routers[1:])


async def test_router_sends_requests_itself_once_contact_returns(cluster):
    _, routers = await start_fleet(cluster)
    state = routers[0].state
    with clusters.cut_off(routers[0], clusters.refuse):
        for path in PATHS:
            await clusters.send_request(routers[0], path)
        await clusters.wait_until(routers[0].contact_monitor.lost_services)
    await clusters.wait_until(
        lambda: not routers[0].contact_monitor.lost_services()
    )
    handed_over = []
    state.hand_over = lambda *offer: handed_over.append(offer)
    for path in PATHS:
        assert (await clusters.send_request(routers[0], path)).status == 200
    assert not handed_over
    assert not state.has_lost_contact("engines", clock.now_s())


async def test_handed_over_request_is_forwarded_unchanged(cluster):
    upstreams, routers = await start_fleet(cluster)
    body = bytes(range(256)) * 20
    with clusters.cut_off(routers[0], clusters.refuse):
        answer = await clusters.send_request(
            routers[0], b"/w/x?q=%2F", body=body, method=b"POST", X_Own="kept"
        )
    assert answer.body == body
    assert answer.get(b"server-seal") is not None
    (run,) = (run for each in upstreams for run in each.runs)
    assert (run.target, run.body) == (b"/w/x?q=%2F", body)
    assert run.headers["x-own"] == "kept"
    assert run.headers["tenant"] == "north"
    assert "authorization" not in run.headers
    assert int(run.headers["deadline-ms"]) <= 600


async def test_request_that_was_handed_over_is_not_handed_on(cluster):
    upstreams, routers = await start_fleet(cluster)
    with contextlib.ExitStack() as stack:
        for router in routers[:2]:
            stack.enter_context(clusters.cut_off(router, clusters.refuse))
        for path in PATHS * 2:
            answer = await clusters.send_request(routers[0], path)
            assert answer.status == 200
    assert sum(len(each.runs) for each in upstreams) == 2 * len(PATHS)
    assert not routers[1].state.retries_for("desk")._requests


async def start_pair(
    cluster, monkeypatch, *, is_after_sending=False, is_silent=False
):
    """Start a cut off router with one sound peer and one that breaks."""
    upstreams = [await cluster.engine(), await cluster.engine()]
    upstreams += [await cluster.server(), await cluster.server()]
    first = await cluster.router("r1")
    address = first.peering.node.address
    serve = peer_servers.serve

    def broken(
        node, host, port, credentials, heard, encode, logs, caps, _, origins
    ):
        async def take_over(exchange):
            await exchange.read_offer()
            if is_silent:
                await asyncio.Event().wait()
            if is_after_sending:
                await exchange.reply(handovers.Verdict.ACCEPTED)
                await exchange.read_request()
            raise handovers.BadExchange("broken by the test")

        return serve(
            node,
            host,
            port,
            credentials,
            heard,
            encode,
            logs,
            caps,
            take_over,
            origins,
        )

    with monkeypatch.context() as patched:
        patched.setattr(peer_servers, "serve", broken)
        await cluster.router("r2", address)
    await cluster.router("r3", address)
    await clusters.wait_until(lambda: len(first.state.peers()) == 2)
    first.state.rng.choice = lambda members: min(
        members, key=lambda member: getattr(member, "name", "")
    )
    return upstreams, first


BROKEN_EXCHANGES = [
    (False, b"/w/x", 200, 1),
    (False, b"/once/x", 200, 1),
    (True, b"/w/x", 502, 0),
    (True, b"/once/x", 502, 0),
    (True, b"/r/x", 200, 1),
    (True, b"/s/x", 200, 1),
]


@pytest.mark.parametrize(
    ("is_after_sending", "path", "status", "runs"), BROKEN_EXCHANGES
)
async def test_broken_exchange_is_repeated_only_if_that_is_safe(
    cluster, monkeypatch, is_after_sending, path, status, runs
):
    upstreams, first = await start_pair(
        cluster, monkeypatch, is_after_sending=is_after_sending
    )
    with clusters.cut_off(first, clusters.refuse):
        answer = await clusters.send_request(first, path)
    assert answer.status == status
    assert sum(len(each.runs) for each in upstreams) == runs


async def test_peer_that_is_silent_delays_one_request_only(
    cluster, monkeypatch
):
    _, first = await start_pair(cluster, monkeypatch, is_silent=True)
    offers = []
    hand_over = first.state.hand_over

    def count_offers(address, deadline_s):
        offers.append(address)
        return hand_over(address, deadline_s)

    first.state.hand_over = count_offers
    monkeypatch.setattr(contact.PeerContacts, "replace", lambda *_: None)
    with clusters.cut_off(first, clusters.refuse):
        for _ in range(3):
            answer = await clusters.send_request(first, b"/w/x")
            assert answer.status == 200
    assert len(offers) == 4


async def test_caller_that_leaves_cancels_a_handed_over_run(cluster):
    upstreams, routers = await start_fleet(cluster)
    for upstream in upstreams:
        upstream.default_behaviour = standins.hangs
    with clusters.cut_off(routers[0], clusters.refuse):
        head, body = clusters.build_request(b"/once/x")
        connection = await client.connect(
            routers[0].request_listener.address, clusters.DEADLINE_S
        )
        connection.send(head, body)
        await clusters.wait_until(lambda: any(each.runs for each in upstreams))
        connection.abort()
        (engine,) = (each for each in upstreams if each.runs)
        await asyncio.wait_for(
            engine.run_cancelled.wait(), clusters.DEADLINE_S
        )
    await clusters.wait_until(
        lambda: not any(each.receiver.taken for each in routers)
    )


async def test_long_run_is_waited_for_while_its_peer_is_at_work(
    cluster, monkeypatch
):
    monkeypatch.setattr(handovers, "WORKING_INTERVAL_S", 0.1)
    monkeypatch.setattr(handovers, "MAX_SILENCE_S", 0.3)
    upstreams, routers = await start_fleet(cluster)

    async def answers_late(upstream, run, answer):
        await asyncio.sleep(0.8)
        await standins.answers_normally(upstream, run, answer)

    for upstream in upstreams:
        upstream.default_behaviour = answers_late
    with clusters.cut_off(routers[0], clusters.refuse):
        answer = await clusters.send_request(routers[0], b"/once/x")
    assert answer.body == clusters.EVENTS
    assert sum(len(each.runs) for each in upstreams) == 1


@pytest.mark.parametrize("path", [b"/once/x", b"/s/x", b"/w/x"])
async def test_answer_of_a_peer_that_stands_still_is_waited_for(
    cluster, monkeypatch, path
):
    # The peer shows for longer than the limit not that it is at work.
    monkeypatch.setattr(handovers, "MAX_SILENCE_S", 0.1)
    monkeypatch.setattr(handovers, "WORKING_INTERVAL_S", 10.0)

    async def pauses(upstream, run, answer):
        await asyncio.sleep(0.4)
        await standins.answers_normally(upstream, run, answer)

    add = cluster.server if path == b"/w/x" else cluster.engine
    upstream = await add()
    upstream.behaviours = [pauses]
    first, _ = await cluster.routers(2)
    with clusters.cut_off(first, clusters.refuse):
        answer = await clusters.send_request(first, path)
    assert (answer.is_whole, answer.status) == (True, 200)
    assert len(upstream.runs) == 1


async def test_stream_that_breaks_goes_on_by_way_of_a_peer(cluster):
    upstreams, routers = await start_fleet(cluster)
    cuts = contextlib.ExitStack()

    async def break_and_cut(upstream, run, answer):
        cuts.enter_context(clusters.cut_off(routers[0], clusters.refuse))
        # The peer may know of the load at the first engine, and avoid it.
        for each in upstreams:
            each.behaviours.clear()
        await standins.breaks_mid_event(upstream, run, answer)

    for upstream in upstreams[:ENGINES]:
        upstream.behaviours.append(break_and_cut)
    with cuts:
        answer = await clusters.send_request(routers[0], b"/s/x")
    assert answer.is_whole
    assert answer.body == clusters.EVENTS
    assert sum(len(each.runs) for each in upstreams) == 2


async def test_handed_over_request_counts_once_for_the_retry_budget(cluster):
    _, routers = await start_fleet(cluster)
    with clusters.cut_off(routers[0], clusters.refuse):
        await clusters.send_request(routers[0], b"/r/x")
    counts = [
        each.state.retries_for("desk")._requests.total() for each in routers
    ]
    assert counts == [1, 0, 0]
