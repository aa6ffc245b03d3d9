"""Streams of a service whose upstreams have several software versions."""

import asyncio
import contextlib

import pytest

from toucanrudder import clock
from toucanrudder.forwarding.streams import resuming
from toucanrudder.http1 import client
from toucanrudder.peers import handovers
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 24
CUT_STREAMS = 8

#: Time after a restart that is longer than two timeouts of the route.
AFTER_RESTART_S = 8.0

#: Wait of callers in tests in which streams cannot be taken up for long.
SHORT_WAIT_S = 3.0


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


async def take_up(router, number, **fields):
    """Resume a stream after its first event."""
    return await clusters.send_request(
        router,
        b"/s/x",
        Request_Id=f"next{number}",
        Prompt_Prefix=prompt_of(number),
        Last_Event_Id="1",
        Resumes=f"stream{number}",
        **fields,
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


def backed_off(router, engines):
    """Return the engines that the router leaves alone for a while."""
    stats, now_s = router.state.upstream_stats, clock.now_s()
    return [
        engine
        for engine in engines
        if stats.of(engine.incarnation).backoff_until_s > now_s
    ]


BREAKS = [
    (b"/s/%d", standins.breaks_mid_event),
    (b"/once/%d", standins.breaks_after_copy),
]


@pytest.mark.parametrize(("path", "behaviour"), BREAKS)
async def test_broken_stream_goes_on_at_the_software_that_began_it(
    cluster, path, behaviour
):
    engines = await start_engines(cluster)
    set_behaviour(engines, behaviour)
    (router,) = await cluster.routers(1)
    for number in range(STREAMS):
        await clusters.wait_until(lambda: not backed_off(router, engines))
        answer = await clusters.send_request(
            router, path % number, Request_Id=f"stream{number}"
        )
        assert answer.is_whole
        assert answer.body == clusters.EVENTS
        assert len(versions_of(engines, f"stream{number}")) == 1


async def test_stream_taken_up_at_another_router_keeps_its_software(cluster):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    routers = await cluster.routers(3)
    for number in range(STREAMS):
        await receive_first_event(routers[number % 3], number)
    await leave(cluster, routers, engines[::2])
    for number in range(STREAMS):
        answer = await take_up(routers[(number + 1) % 3], number)
        assert answer.is_whole
        ids = (f"stream{number}", f"next{number}")
        assert len(versions_of(engines, *ids)) == 1


async def test_router_that_has_just_started_keeps_to_the_software(cluster):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    routers = await cluster.routers(3)
    for number in range(STREAMS):
        await receive_first_event(routers[number % 3], number)
    await leave(cluster, routers, engines[::2])
    address = routers[0].peering.node.address
    started = await cluster.router("r4", address)
    await clusters.wait_until(lambda: len(started.state.peers()) == 3)
    for number in range(STREAMS):
        answer = await take_up(started, number)
        assert answer.is_whole
        ids = (f"stream{number}", f"next{number}")
        assert len(versions_of(engines, *ids)) == 1


async def test_stream_goes_on_after_the_router_that_began_it_has_died(
    cluster, tmp_path
):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    async with contextlib.AsyncExitStack() as stack:
        mortal = clusters.Cluster(tmp_path, stack)
        mortal.store = cluster.store
        first = await mortal.router("r0")
        address = first.peering.node.address
        routers = [
            await cluster.router(f"r{number}", address)
            for number in range(1, 4)
        ]
        await clusters.wait_until(
            lambda: all(each.state.live_routers() == 4 for each in routers)
        )
        await clusters.wait_until(lambda: first.state.live_routers() == 4)
        for number in range(STREAMS):
            await receive_first_event(first, number)
    for number in range(STREAMS):
        answer = await take_up(routers[number % 3], number)
        assert answer.is_whole
        ids = (f"stream{number}", f"next{number}")
        assert len(versions_of(engines, *ids)) == 1


#: Versions that serve before and after all routers restart, and for how long
#: the caller says that it still waits when it returns.
RESTARTS = {
    "both versions stay": (("v1", "v2"), ("v1", "v2"), "20000"),
    "the old one is gone": (("v1", "v2"), ("v2",), "20000"),
    "replaced meanwhile": (("v1",), ("v2",), "20000"),
    "little wait is left": (("v1",), ("v2",), "2000"),
    "no wait is stated": (("v1",), ("v2",), None),
}


async def begin_before_restart(cluster, tmp_path, before, after):
    """Begin a stream, then change the versions and start a new router.

    Return the engines and the router, after more than two timeouts.
    """
    engines = await start_engines(cluster, before)
    set_behaviour(engines, hangs_after_event)
    async with contextlib.AsyncExitStack() as stack:
        mortal = clusters.Cluster(tmp_path, stack)
        mortal.store = cluster.store
        first = await mortal.router("r0")
        await receive_first_event(first, 0)
    for engine in engines:
        if engine.software_version not in after:
            cluster.store.delete("servers", engine.incarnation)
    for version in set(after) - set(before):
        engines.append(await cluster.engine(version))
    router = await cluster.router()
    until_s = clock.now_s() + AFTER_RESTART_S
    await clusters.wait_until(lambda: clock.now_s() > until_s)
    return engines, router


@pytest.mark.parametrize(
    ("before", "after", "wait_ms"), RESTARTS.values(), ids=RESTARTS.keys()
)
async def test_stream_begun_before_all_routers_restart_is_not_joined(
    cluster, tmp_path, before, after, wait_ms
):
    """Guards against streams joined from two versions after a restart."""
    engines, router = await begin_before_restart(
        cluster, tmp_path, before, after
    )
    answer = await take_up(router, 0, Deadline_Ms=wait_ms)
    assert is_refused_at_once(answer, b"stream_origin_unknown")
    assert not versions_of(engines, "next0")


async def test_stream_of_a_single_version_goes_on_after_a_restart(
    cluster, tmp_path
):
    """Guards against streams that are refused for good after a restart."""
    _, router = await begin_before_restart(cluster, tmp_path, ("v1",), ("v1",))
    router.state.streams.max_wait_s = SHORT_WAIT_S
    answer = await take_up(router, 0)
    assert (answer.status, answer.is_whole) == (200, True)


def is_refused_at_once(answer, code):
    """Whether an answer says that the request was not run, and why."""
    return answer.status == 503 and code in answer.body


@pytest.mark.parametrize("resumes", [None, "nobody's", "x" * 4000])
async def test_stream_of_unknown_software_is_refused_as_not_run(
    cluster, resumes
):
    engines = await start_engines(cluster)
    routers = await cluster.routers(3)
    answer = await clusters.send_request(
        routers[0], b"/s/x", Last_Event_Id="1", Resumes=resumes
    )
    assert is_refused_at_once(answer, b"stream_origin_unknown")
    assert not any(engine.runs for engine in engines)


async def test_stream_whose_software_is_gone_is_refused_as_not_run(cluster):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    routers = await cluster.routers(3)
    await receive_first_event(routers[0], 0)
    (version,) = versions_of(engines, "stream0")
    gone = [each for each in engines if each.software_version == version]
    await leave(cluster, routers, gone)
    began_s = clock.now_s()
    answer = await take_up(routers[1], 0)
    assert is_refused_at_once(answer, b"stream_software_gone")
    assert clock.now_s() - began_s < 1.0
    assert not versions_of(engines, "next0")


async def test_another_organisation_does_not_change_where_a_stream_goes_on(
    cluster,
):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    routers = await cluster.routers(3)
    await receive_first_event(routers[0], 0)
    answer = await clusters.send_request(
        routers[1],
        b"/s/x",
        Last_Event_Id="1",
        Resumes="stream0",
        Authorization="Bearer key-of-south",
    )
    assert is_refused_at_once(answer, b"stream_origin_unknown")


async def test_single_software_lets_any_stream_go_on(cluster, monkeypatch):
    monkeypatch.setattr(resuming, "WINDOW_MARGIN_S", -5.5)
    await start_engines(cluster, ("v1", "v1"))
    routers = await cluster.routers(3)
    for each in routers:
        each.state.streams.max_wait_s = SHORT_WAIT_S
    await clusters.wait_until(
        lambda: all(
            each.state.streams.sole_version("engines", clock.now_s())
            for each in routers
        )
    )
    shared = [each.state.streams.directory for each in routers]
    for each in shared:
        each.keep_at = each.ask_at = None
    answer = await clusters.send_request(
        routers[0], b"/s/x", Last_Event_Id="1"
    )
    assert answer.is_whole


async def test_stream_that_goes_on_by_way_of_a_peer_keeps_its_software(
    cluster,
):
    engines = await start_engines(cluster)
    routers = await cluster.routers(3)
    cut = contextlib.ExitStack()

    async def break_and_cut(upstream, run, answer):
        cut.enter_context(clusters.cut_off(routers[0], clusters.refuse))
        await standins.breaks_mid_event(upstream, run, answer)

    set_behaviour(engines, break_and_cut)
    for number in range(CUT_STREAMS):
        await clusters.wait_until(
            lambda: (
                not routers[0].contact_monitor.lost_services()
                and not any(backed_off(each, engines) for each in routers)
            )
        )
        request_id = f"stream{number}"
        with cut:
            answer = await clusters.send_request(
                routers[0],
                b"/s/%d" % number,
                Request_Id=request_id,
                Prompt_Prefix=prompt_of(number),
            )
        assert answer.is_whole
        assert len(versions_of(engines, request_id)) == 1


async def test_begun_stream_is_not_handed_to_a_peer_that_ignores_software(
    cluster, monkeypatch
):
    engines = await start_engines(cluster)
    routers = await cluster.routers(3)
    set_behaviour(engines, hangs_after_event)
    await receive_first_event(routers[1], 0)
    runs = [run for engine in engines for run in engine.runs]
    offer = handovers.OutgoingExchange.offer

    async def offer_to_earlier_version(exchange, *args):
        verdict = await offer(exchange, *args)
        exchange.keeps_software = False
        return verdict

    monkeypatch.setattr(
        handovers.OutgoingExchange, "offer", offer_to_earlier_version
    )
    with clusters.cut_off(routers[0], clusters.refuse):
        answer = await take_up(routers[0], 0)
    assert answer.status == 503
    assert runs == [run for engine in engines for run in engine.runs]


async def test_begun_stream_that_a_peer_relays_is_known_to_others(cluster):
    engines = await start_engines(cluster)
    set_behaviour(engines, hangs_after_event)
    routers = await cluster.routers(3)
    with clusters.cut_off(routers[0], clusters.refuse):
        for number in range(CUT_STREAMS):
            await receive_first_event(routers[0], number)
    await leave(cluster, routers, engines[::2])
    for number in range(CUT_STREAMS):
        answer = await take_up(routers[2], number)
        assert answer.is_whole
        ids = (f"stream{number}", f"next{number}")
        assert len(versions_of(engines, *ids)) == 1


async def test_new_version_begins_no_resumable_streams_at_first(cluster):
    engines = await start_engines(cluster, ("v1", "v1"))
    routers = await cluster.routers(3)
    new = await start_engines(cluster, ("v2", "v2"))
    await clusters.wait_until(
        lambda: all(
            router.state.registry.get(engine.incarnation)
            for router in routers
            for engine in new
        )
    )
    for number in range(STREAMS):
        answer = await clusters.send_request(
            routers[number % 3], b"/s/x", Prompt_Prefix=prompt_of(number)
        )
        assert answer.is_whole
    assert sum(len(engine.runs) for engine in engines) == STREAMS
    await leave(cluster, routers, engines)
    answer = await clusters.send_request(routers[0], b"/s/x")
    assert answer.is_whole
    assert sum(len(engine.runs) for engine in new) == 1
