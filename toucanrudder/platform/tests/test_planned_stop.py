"""Requests that come late in a planned stop."""

import asyncio
import random

import pytest

from toucanrudder import clock
from toucanrudder.http1 import client
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

GRACE_S = 8.0

#: Time of the stop after which the load balancer sends nothing more, so that
#: no request may be cut.
LATE_S = 3.0

#: Time limit of the routes, and the times that upstreams take.
LIMIT_S = 2.0
WORK_S = (0.05, 1.5)

ROUTES = [
    {
        "name": name,
        "host": "app.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000 * LIMIT_S,
        "target_latency_ms": 100,
        "service": "desk",
        "max_attempts": attempts,
    }
    for name, prefix, kind, attempts in (
        ("read", "/r/", "safe", 2),
        ("write", "/w/", "unsafe", 1),
    )
]


def takes(rng, low_s, high_s):
    """Return a behaviour that answers after a random time."""

    async def answer_late(upstream, run, answer):
        upstream.runs.append(run)
        await asyncio.sleep(rng.uniform(low_s, high_s))
        await answer.send_whole(200, upstream.answer_headers(run), b"done")

    return answer_late


async def stopping_router(cluster, behaviour, grace_s=GRACE_S):
    """Return a router that begins its planned stop, and its upstreams."""
    routes = {**clusters.CONFIGURATION, "version": 4, "routes": ROUTES}
    cluster.store.put("config", "main", routes)
    upstreams = [await cluster.server() for _ in range(2)]
    for each in upstreams:
        each.default_behaviour = behaviour
    router = await cluster.router()
    router.conf.set_override("grace_s", grace_s, group="shutdown")
    router.conf.set_override("notice_s", 2.5, group="shutdown")
    await clusters.wait_until(lambda: router.state.generation == 4)
    return router, upstreams


async def stop(router):
    """Stop a router as its process does, without what ends with it."""
    await router.drain()
    await router.request_listener.stop()


async def send(router, number, sent):
    """Send a request; note when, and what came of it."""
    path, method = (b"/r/x", b"GET") if number % 2 else (b"/w/x", b"POST")
    request_id = f"late-{number}"
    at_s = clock.now_s() - router.state.stopping_since_s
    try:
        answer = await clusters.send_request(
            router, path, method=method, Request_Id=request_id
        )
    except client.ExchangeError:
        # The process is about to end, and listens no more.
        return
    sent[request_id] = (at_s, answer)


@pytest.mark.parametrize("seed", [907, 3119])
async def test_no_late_request_is_cut_after_it_has_reached_an_upstream(
    cluster, seed
):
    """Guards against requests that are passed on and cut by the stop."""
    behaviour = takes(random.Random(seed), *WORK_S)
    router, upstreams = await stopping_router(cluster, behaviour)
    stopped = asyncio.ensure_future(stop(router))
    await asyncio.sleep(0)
    sent, tasks = {}, []
    while not stopped.done():
        tasks.append(asyncio.ensure_future(send(router, len(tasks), sent)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    ran = {run.request_id for each in upstreams for run in each.runs}
    cut = {
        name: at_s
        for name, (at_s, answer) in sent.items()
        if not answer.is_whole and name in ran and at_s > LATE_S
    }
    assert not cut
    for name, (_, answer) in sent.items():
        # A refusal is a promise.
        assert not (answer.status == 503 and name in ran)
    served = [at_s for at_s, each in sent.values() if each.status == 200]
    # What can be whole by the end in any case is served.
    assert max(served) > GRACE_S - LIMIT_S - 1.0


@pytest.mark.parametrize(
    ("behaviour", "status", "code"),
    [
        (standins.hangs, 504, b"upstream_timeout"),
        (standins.sheds, 503, None),
    ],
    ids=("at an upstream", "not run"),
)
async def test_request_that_outlasts_the_stop_is_answered(
    cluster, behaviour, status, code
):
    """Guards against connections that end without a word."""
    router, _ = await stopping_router(cluster, behaviour, grace_s=1.5)
    stopped = asyncio.ensure_future(stop(router))
    await asyncio.sleep(0)
    answers = await asyncio.gather(
        *(
            clusters.send_request(router, path, method=method)
            for path, method in ((b"/r/x", b"GET"), (b"/w/x", b"POST"))
        )
    )
    await stopped
    for answer in answers:
        assert (answer.status, answer.is_whole) == (status, True)
        assert code is None or code in answer.body


async def test_request_that_waits_at_the_end_of_the_stop_has_not_run(cluster):
    """Guards against waiting requests whose end looks like a run."""
    router, upstreams = await stopping_router(
        cluster, standins.hangs, grace_s=1.5
    )
    for each in upstreams:
        router.state.upstream_stats.record_full(
            each.incarnation, clock.now_s(), 60.0
        )
    stopped = asyncio.ensure_future(stop(router))
    await asyncio.sleep(0)
    answer = await clusters.send_request(router, b"/w/x", method=b"POST")
    await stopped
    assert (answer.status, answer.is_whole) == (503, True)
    assert not any(each.runs for each in upstreams)
