"""What one answer of an upstream tells all routers about it."""

import pytest

from toucanrudder import clock
from toucanrudder.forwarding import upstream_news
from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

LARGE_FLEET = upstream_news.MAX_SELF_TAUGHT_ROUTERS + 1


async def start_routers(cluster, *, count=2, fleet=LARGE_FLEET):
    """Return routers that believe to be in a fleet of some size."""
    routers = await cluster.routers(count)
    for router in routers:
        router.state.live_routers = lambda: fleet
    return routers


def is_left_alone(router, incarnation):
    state = router.state.upstream_stats.of(incarnation)
    return state.full_until_s > clock.now_s()


async def replaced_engine(cluster, *, has_start_time):
    """Return an engine, and the name of the one before at its address."""
    engine = await cluster.engine()
    if has_start_time:
        engine.restart()
        cluster.store.put("servers", engine.incarnation, engine.entry())
    earlier = engine.incarnation
    routers = await start_routers(cluster)
    engine.incarnation = "i-after"
    [incarnation] = routers[0].state.registry.incarnations
    assert incarnation.partition("@")[0] == earlier
    return routers, incarnation


async def test_peers_do_not_try_a_process_that_another_has_replaced(cluster):
    """Guards against each router spending retries on a lost process."""
    routers, replaced = await replaced_engine(cluster, has_start_time=True)
    assert (await clusters.send_request(routers[0], b"/s/x")).status == 503
    await clusters.wait_until(lambda: is_left_alone(routers[1], replaced))
    until_s = routers[1].state.upstream_stats.of(replaced).full_until_s
    assert until_s - clock.now_s() > upstream_news.REPLACED_S / 2
    assert (await clusters.send_request(routers[1], b"/s/x")).status == 503


async def test_a_process_without_start_time_is_tried_again(cluster):
    """Guards against giving up a process that starts again under its name."""
    routers, replaced = await replaced_engine(cluster, has_start_time=False)
    assert (await clusters.send_request(routers[0], b"/s/x")).status == 503
    assert not is_left_alone(routers[0], replaced)


async def test_routers_of_a_small_fleet_learn_by_their_own_attempts(cluster):
    """Guards against news that come later than the next own attempt."""
    engine = await cluster.engine()
    engine.restart()
    cluster.store.put("servers", engine.incarnation, engine.entry())
    routers = await start_routers(cluster, fleet=8)
    told = []
    for router in routers:
        router.state.tell_full = lambda *news: told.append(news)
        router.state.tell_weights = lambda: told.append("weights")
    engine.behaviours = [standins.sheds] * upstream_news.TOLD_REFUSALS
    assert (await clusters.send_request(routers[0], b"/s/x")).status == 200
    engine.incarnation = "i-after"
    assert (await clusters.send_request(routers[0], b"/s/x")).status == 503
    assert not told


REFUSALS = [(1, False), (upstream_news.TOLD_REFUSALS, True)]


@pytest.mark.parametrize(("refusals", "is_told"), REFUSALS)
async def test_peers_leave_an_engine_alone_that_refuses_again(
    cluster, refusals, is_told
):
    """Guards against each router meeting an engine that loads weights."""
    engine = await cluster.engine()
    routers = await start_routers(cluster)
    told = []
    for router in routers:
        router.state.tell_full = lambda name, for_s: told.append((name, for_s))
    engine.behaviours = [standins.sheds] * refusals
    assert (await clusters.send_request(routers[0], b"/s/x")).status == 200
    expected_s = upstream_news.refusal_s(refusals)
    assert told == ([(engine.incarnation, expected_s)] if is_told else [])


async def test_an_answer_ends_the_sequence_of_refusals(cluster):
    engine = await cluster.engine()
    [router] = await start_routers(cluster, count=1)
    for _ in range(3):
        engine.behaviours = [standins.sheds]
        assert (await clusters.send_request(router, b"/s/x")).status == 200
    stats = router.state.upstream_stats.of(engine.incarnation)
    assert stats.refusals_in_row == 0


async def test_peers_hear_of_weights_that_one_router_has_met(cluster):
    """Guards against each router being refused for other weights."""
    engine = await cluster.engine()
    routers = await start_routers(cluster)
    engine.version = 2
    assert (await clusters.send_request(routers[0], b"/s/x")).status in (
        200,
        503,
    )
    registry = routers[1].state.registry
    await clusters.wait_until(
        lambda: registry.get(engine.incarnation).weights["m"] == 2
    )
    assert (await clusters.send_request(routers[1], b"/s/x")).status == 200
