"""Upstreams that have failed for a long time."""

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

FAILURES = 2_000


def _fail(router, upstream):
    stats = router.state.upstream_stats
    stats.of(upstream.incarnation).failures_in_row = FAILURES


@pytest.mark.parametrize("path", [b"/r/x", b"/w/x"])
async def test_upstream_that_failed_long_is_refused_and_used_again(
    cluster, path
):
    """Guards against callers that are cut by an overflow."""
    desk = await cluster.server()
    router = await cluster.router()
    _fail(router, desk)
    desk.behaviours.append(standins.resets)
    answer = await clusters.send_request(router, path)
    assert answer.is_whole
    assert answer.status in (502, 503, 200)
    answer = await clusters.send_request(router, path)
    assert (answer.status, answer.is_whole) == (200, True)
    state = router.state.upstream_stats.of(desk.incarnation)
    assert state.failures_in_row == 0


async def test_another_upstream_serves_beside_one_that_failed_long(cluster):
    """Guards against callers that are cut by an overflow."""
    desk, other = await cluster.server(), await cluster.server()
    router = await cluster.router()
    _fail(router, desk)
    _fail(router, other)
    desk.default_behaviour = standins.resets
    for _ in range(4):
        answer = await clusters.send_request(router)
        assert (answer.status, answer.is_whole) == (200, True)
