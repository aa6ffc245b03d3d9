"""Whole requests: runs that may exist only once, and whose answer breaks."""

import asyncio
import socket
import time

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins
from toucanrudder.testing import resets
from toucanrudder.testing import servers

#: Longest time of a stream whose engine was gone: without a pause of note.
AT_ONCE_S = standins.COPY_AFTER_S + 0.4


async def start_engines(cluster, first):
    """Start two engines; the one that is tried first behaves so, once."""
    engines = [await cluster.engine(), await cluster.engine()]
    script = [first]
    for each in engines:
        each.behaviours = script
    return engines


def run_count(engines):
    """Return how many runs the engines have begun."""
    return sum(len(each.runs) for each in engines)


async def test_run_is_not_continued_while_its_engine_works_on(cluster):
    """Guards against two engines that work on one run after a reset."""
    engines = await start_engines(cluster, standins.resets_and_works_on)
    listed = []

    async def checks_and_answers(engine, run, answer):
        listed.extend(name for e in engines for name in e.reported_runs)
        await standins.answers_normally(engine, run, answer)

    for each in engines:
        each.default_behaviour = checks_and_answers
    router = await cluster.router()
    answer = await clusters.send_request(router, b"/once/x")
    assert (answer.is_whole, answer.body) == (True, clusters.EVENTS)
    assert run_count(engines) == 2
    assert not listed


@pytest.mark.parametrize("first", ["crashes", "restarts"])
async def test_run_of_an_engine_that_is_gone_continues_at_once(cluster, first):
    """Guards against streams that wait for the report of a dead process."""
    engines = await start_engines(cluster, getattr(standins, first))
    router = await cluster.router()
    began_s = time.monotonic()
    answer = await clusters.send_request(router, b"/once/x")
    assert (answer.is_whole, answer.body) == (True, clusters.EVENTS)
    assert time.monotonic() - began_s < AT_ONCE_S
    assert run_count(engines) == 2


@pytest.mark.parametrize(
    "first",
    ["resets_and_never_ends", "resets_with_a_queue", "resets_without_reports"],
)
async def test_run_is_given_up_without_proof_of_its_end(cluster, first):
    """Guards against a continuation on the mere word of a reset."""
    engines = await start_engines(cluster, getattr(standins, first))
    router = await cluster.router()
    began_s = time.monotonic()
    answer = await clusters.send_request(router, b"/once/x")
    assert (answer.is_whole, answer.body) == (False, standins.event(1))
    assert time.monotonic() - began_s < 2.5
    assert run_count(engines) == 1


async def test_runs_that_break_together_share_requests_for_reports(cluster):
    """Guards against a flood of requests for reports after a crash."""
    engines = await start_engines(cluster, standins.answers_normally)
    asked = []
    routers = await cluster.routers(1)
    script = [standins.resets_and_works_on] * 8
    for each in engines:
        each.behaviours = script
    report = routers[0].state.reports.ask

    async def count(upstream, *, timeout_s):
        asked.append(upstream.incarnation)
        return await report(upstream, timeout_s=timeout_s)

    routers[0].state.reports.ask = count
    answers = await asyncio.gather(
        *(clusters.send_request(routers[0], b"/once/x") for _ in range(8))
    )
    assert all(each.is_whole for each in answers)
    # Once per interval and engine, for as long as the runs go on.
    assert len(asked) <= 2 * (standins.RUN_STOP_DELAY_S / 0.1 + 3)


async def names_another_process(upstream, run, answer):
    headers = (
        (b"Request-Id", run.request_id.encode()),
        (b"Instance-Id", b"i-other"),
    )
    await answer.send_whole(421, headers, b"")


@pytest.mark.parametrize(
    "behaviour", (names_another_process, standins.answers_as_other_instance)
)
async def test_answer_of_another_process_does_not_withdraw_a_crash(
    cluster, behaviour
):
    """Guards against requests that crash engines without end."""
    engine = await cluster.engine()
    engine.behaviours = [standins.resets]
    router = await cluster.router()
    await clusters.send_request(router, b"/once/x")
    upstream = router.state.registry.get(engine.incarnation)
    crash_counts = router.state.crash_counts
    assert crash_counts.is_presumed_dead(upstream, time.time())
    engine.behaviours = [behaviour] * 9
    await clusters.send_request(router, b"/s/y")
    assert len(engine.behaviours) < 9
    assert crash_counts.is_presumed_dead(upstream, time.time())


async def loads_weights_and_crashes(upstream, run, answer):
    """Make the second event with new weights, say so, then crash."""
    await standins.begins_with_copy(upstream, run, answer)
    upstream.version = 2
    await answer.write(b"weight-versions: 2\n" + standins.event(2))
    # The event must reach the router before the connection breaks.
    await asyncio.sleep(standins.CATCH_UP_S)
    upstream.crash()
    await asyncio.Event().wait()


async def loads_weights_and_dies_unheard(upstream, run, answer):
    """Load new weights and crash before any event with them is sent."""
    await standins.begins_with_copy(upstream, run, answer)
    upstream.version = 2
    upstream.crash()
    await asyncio.Event().wait()


async def test_run_is_not_continued_after_its_stream_states_new_weights(
    cluster,
):
    """Guards against runs continued on old weights from mixed memory."""
    engines = await start_engines(cluster, loads_weights_and_crashes)
    router = await cluster.router()
    answer = await clusters.send_request(router, b"/once/x")
    assert not answer.is_whole
    assert run_count(engines) == 1
    registry = router.state.registry
    versions = {each.version for each in engines}
    assert versions == {1, 2}
    assert {
        registry.get(each.incarnation).weights["m"] for each in engines
    } == versions


async def name_weights(cluster, router, version):
    """Publish weights that no engine loads while it is busy."""
    cluster.store.put("versions", "m", {"model": "m", "version": version})
    newest = router.state.newest_weights
    await clusters.wait_until(
        lambda: "m" in newest and newest["m"].version == version
    )


@pytest.mark.parametrize(
    ("first", "newest", "is_whole"),
    (
        (loads_weights_and_dies_unheard, 2, False),
        (standins.crashes, 2, False),
        (standins.crashes, 1, True),
        # Its own report shows the weights that the engine had at the end.
        (standins.resets_and_works_on, 2, True),
    ),
    ids=("loaded", "unknown", "none newer", "reported"),
)
async def test_copy_is_continued_on_proof_of_its_weights(
    cluster, first, newest, is_whole
):
    """Guards against a heartbeat's weights being taken for the present."""
    engines = await start_engines(cluster, first)
    for each in engines:
        each.busy = True
    router = await cluster.router()
    await name_weights(cluster, router, newest)
    answer = await clusters.send_request(router, b"/once/x")
    assert answer.is_whole is is_whole
    assert run_count(engines) == 1 + is_whole


async def test_run_is_not_continued_while_its_engine_resets_connections(
    cluster,
):
    """Guards against a reset connection that counts as none."""

    async def resets_all_and_works_on(upstream, run, answer):
        await standins.begins_with_copy(upstream, run, answer)
        upstream.crash()
        host, port = upstream.address.rsplit(":", 1)
        listening = socket.create_server((host, int(port)))
        await cluster.stack.enter_async_context(
            servers.running(resets_at_once, listening=listening)
        )
        await asyncio.Event().wait()

    async def resets_at_once(reader, writer):
        resets.reset_on_close(writer.get_extra_info("socket"))
        writer.transport.abort()

    engines = await start_engines(cluster, resets_all_and_works_on)
    router = await cluster.router()
    answer = await clusters.send_request(router, b"/once/x")
    assert not answer.is_whole
    assert run_count(engines) == 1
