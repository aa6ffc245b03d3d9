"""Answers of sound upstreams that are silent for a while."""

import asyncio
import time

import pytest

from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

#: Silence that exceeds each limit of the configuration: 0.5 s between two
#: events, 0.6 and 0.3 s before the first part of an answer.
PAUSE_S = 0.9

#: Time by which a report overtakes the rest of an answer.
OVERTAKEN_S = 0.3

RESUMABLE, ONCE, SAFE = b"/s/x", b"/once/x", b"/r/x"


def pauses_after(count, pause_s=PAUSE_S):
    """Return the behaviour of an engine that pauses once in each run."""

    async def pause(engine, run, answer):
        engine.runs.append(run)
        first = int(run.headers.get("last-event-id", 0)) + 1
        if count == 0:
            await asyncio.sleep(pause_s)
        await answer.start(200, engine.answer_headers(run))
        for number in range(first, 4):
            await answer.write(standins.event(number))
            if number == first + count - 1:
                await asyncio.sleep(pause_s)
        await answer.end()

    return pause


async def answers_late(desk, run, answer):
    """Answer a plain request after a pause."""
    desk.runs.append(run)
    await asyncio.sleep(PAUSE_S)
    await answer.send_whole(200, desk.answer_headers(run), b"done")


def is_overtaken(reported):
    """Return the behaviour of an engine whose report overtakes its events.

    Parameters
    ----------
    reported : int or None
        Events that the report counts; None if the run has ended by then.
    """

    async def behave(engine, run, answer):
        engine.runs.append(run)
        engine.report_requested.clear()
        await answer.start(200, engine.answer_headers(run))
        await answer.write(standins.event(1))
        if reported is not None:
            engine.reported_runs[run.request_id] = reported
        await engine.report_requested.wait()
        await asyncio.sleep(OVERTAKEN_S)
        await answer.write(standins.event(2) + standins.event(3))
        engine.reported_runs.pop(run.request_id, None)
        await answer.end()

    return behave


#: Path, engines, behaviour of each engine, behaviour of the first run alone,
#: and runs in all.
SILENT = {
    "resumable, no better engine": (RESUMABLE, 2, pauses_after(1), None),
    "resumable, no other engine": (RESUMABLE, 1, pauses_after(1), None),
    "resumable, before its first event": (
        RESUMABLE,
        2,
        standins.hangs,
        pauses_after(0),
    ),
    "resumable, the other never answers": (
        RESUMABLE,
        2,
        standins.hangs,
        pauses_after(1),
    ),
    "once, the copy is gone as the run has ended": (
        ONCE,
        2,
        standins.answers_normally,
        is_overtaken(None),
    ),
    "once, the report counts events on their way": (
        ONCE,
        2,
        standins.answers_normally,
        is_overtaken(9),
    ),
}


def set_behaviours(servers, behaviour, first):
    """Set the behaviour of all runs, and that of the first one."""
    script = [first] if first else []
    for each in servers:
        each.default_behaviour = behaviour
        each.behaviours = script


@pytest.mark.parametrize(
    ("path", "engines", "behaviour", "first"),
    SILENT.values(),
    ids=SILENT.keys(),
)
async def test_sound_stream_is_not_cut_for_its_silence(
    cluster, path, engines, behaviour, first
):
    engines = [await cluster.engine() for _ in range(engines)]
    set_behaviours(engines, behaviour, first)
    router = await cluster.router()
    answer = await clusters.send_request(router, path)
    assert (answer.is_whole, answer.body) == (True, clusters.EVENTS)
    if path == ONCE:
        assert sum(len(each.runs) for each in engines) == 1


async def test_silent_answer_is_waited_for_beside_another_attempt(cluster):
    desks = [await cluster.server(), await cluster.server()]
    set_behaviours(desks, standins.hangs, answers_late)
    router = await cluster.router()
    answer = await clusters.send_request(router, SAFE)
    assert (answer.status, answer.body) == (200, b"done")


async def test_run_that_one_report_misses_is_not_continued(cluster):
    async def is_listed_late(engine, run, answer):
        engine.runs.append(run)
        engine.report_requested.clear()
        await answer.start(200, engine.answer_headers(run))
        await answer.write(standins.event(1))
        engine.send_copy(run)
        await engine.report_requested.wait()
        engine.reported_runs[run.request_id] = 1
        await asyncio.sleep(PAUSE_S)
        await answer.write(standins.event(2) + standins.event(3))
        await answer.end()

    engines = [await cluster.engine(), await cluster.engine()]
    set_behaviours(engines, standins.answers_normally, is_listed_late)
    router = await cluster.router()
    answer = await clusters.send_request(router, ONCE)
    assert (answer.is_whole, answer.body) == (True, clusters.EVENTS)
    assert sum(len(each.runs) for each in engines) == 1


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
async def test_silent_stream_is_not_cut_without_retry_budget(cluster, path):
    engines = [await cluster.engine(), await cluster.engine()]
    first = pauses_after(1) if path == RESUMABLE else is_overtaken(None)
    set_behaviours(engines, standins.answers_normally, first)
    router = await cluster.router()
    router.state.budget_bounds = retry_window.RetryBounds(0.0, 0, 10.0)
    answer = await clusters.send_request(router, path)
    assert (answer.is_whole, answer.body) == (True, clusters.EVENTS)


@pytest.mark.parametrize("path", [RESUMABLE, SAFE])
async def test_standstill_of_the_router_begins_no_second_run(cluster, path):
    async def halts(upstream, run, answer):
        upstream.runs.append(run)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, time.sleep, PAUSE_S)
        if not upstream.model:
            await asyncio.sleep(0.2)
            await answer.send_whole(200, upstream.answer_headers(run), b"done")
            return
        await answer.start(200, upstream.answer_headers(run))
        await answer.write(standins.event(1))
        await asyncio.sleep(0.2)
        await answer.write(standins.event(2) + standins.event(3))
        await answer.end()

    add = cluster.engine if path == RESUMABLE else cluster.server
    upstreams = [await add(), await add()]
    set_behaviours(upstreams, standins.answers_normally, halts)
    router = await cluster.router()
    answer = await clusters.send_request(router, path)
    assert answer.is_whole
    assert answer.body == (clusters.EVENTS if path == RESUMABLE else b"done")
    assert sum(len(each.runs) for each in upstreams) == 1
