"""Upstreams that say that they fail if they refuse too often."""

import pytest

from toucanrudder import clock
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import heads

BRITTLE = (b"Server-Brittle", b"4")


async def answers_brittle(upstream, run, answer):
    upstream.runs.append(run)
    headers = (*upstream.answer_headers(run), BRITTLE)
    await answer.send_whole(200, headers, b"done")


async def refuses_brittle(upstream, run, answer):
    headers = (
        (b"Request-Id", run.request_id.encode()),
        (b"Instance-Id", upstream.incarnation.encode()),
        (b"Not-Executed", b"1"),
        BRITTLE,
    )
    await answer.send_whole(503, headers, b"full")


async def start_pair(cluster, behaviour):
    desk = await cluster.server()
    desk.default_behaviour = behaviour
    first = await cluster.router("r1")
    second = await cluster.router("r2", first.peering.node.address)
    await clusters.wait_until(lambda: first.state.live_routers() == 2)
    return desk, first, second


async def test_peers_learn_of_brittle_services(cluster):
    _, first, second = await start_pair(cluster, answers_brittle)
    assert (await clusters.send_request(first)).status == 200
    await clusters.wait_until(
        lambda: second.state.brittle.limit_per_s("desk", clock.now_s()) == 4
    )


async def test_refusal_keeps_all_routers_from_a_brittle_upstream(cluster):
    desk, first, second = await start_pair(cluster, refuses_brittle)
    assert (await clusters.send_request(first)).status == 503
    stats = second.state.upstream_stats.of(desk.incarnation)
    await clusters.wait_until(lambda: stats.full_until_s > clock.now_s())
    answer = await clusters.send_request(second)
    assert answer.status == 503
    assert answer.get(b"retry-after") is not None


LIMITS = [(b"5", 5.0), (b"0", 0.0), (b"-1", None), (b"many", None)]


@pytest.mark.parametrize(("text", "limit"), LIMITS)
def test_limit_is_read_leniently(text, limit):
    facts = heads.read_facts(200, (b"Server-Brittle", text))
    assert facts.refusals_per_s == limit
