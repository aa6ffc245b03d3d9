"""Engines whose weights were superseded before a router started."""

import asyncio

import pytest

from toucanrudder import clock
from toucanrudder.platform.testing import cluster as clusters

#: Time in which a router that has started is told what its peers know.
TOLD_S = 3.0


def weights_age_s(router):
    """Return for how long a router counts the first weights as superseded."""
    history = router.state.newest_weights.get("m")
    return history.age_s(1, clock.now_s()) if history else 0.0


@pytest.mark.parametrize("newer", ((2,), (2, 3)), ids=("one", "two"))
async def test_started_router_sends_nothing_to_weights_past_their_bound(
    cluster, newer
):
    engine = await cluster.engine()
    engine.busy = True
    first = await cluster.router("r1")
    bound_s = first.state.pace.bound_s
    # The last version is as young as the time that it was named.
    at_s = clock.now_s() - bound_s
    for version in newer:
        cluster.store.put("versions", "m", {"model": "m", "version": version})
        first.state.record_weights_version("m", version, at_s)
        at_s = clock.now_s()
    second = await cluster.router("r2", first.peering.node.address)
    async with asyncio.timeout(TOLD_S):
        while weights_age_s(second) < bound_s:
            await asyncio.sleep(0.01)
    answer = await clusters.send_request(second, b"/s/x")
    assert answer.status == 503
    assert b"weights_too_old" in answer.body
    assert not engine.runs
