"""Engines whose weights were superseded before a router started."""

import pytest

from toucanrudder import clock
from toucanrudder.platform.testing import cluster as clusters

#: Time in which a router that has started is told what its peers know.
TOLD_S = 3.0


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
    upstream = first.state.registry.get(engine.incarnation)
    await clusters.wait_until(
        lambda: (
            "m" in second.state.newest_weights
            and second.state.weights_age_s(upstream, "m") >= bound_s
        ),
        within_s=TOLD_S,
    )
    answer = await clusters.send_request(second, b"/s/x")
    assert answer.status == 503
    assert b"weights_too_old" in answer.body
    assert not engine.runs
