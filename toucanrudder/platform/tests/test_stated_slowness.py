"""Upstreams that state how long work takes there at the moment."""

from toucanrudder.platform.testing import cluster as clusters


class Stating:
    """A behaviour of upstreams that state a slowness, or none."""

    def __init__(self, load):
        self.load = load

    async def __call__(self, upstream, run, answer):
        upstream.runs.append(run)
        headers = tuple(
            header
            for header in upstream.answer_headers(run)
            if header[0] != b"Server-Load"
        )
        headers = (*headers, (b"Server-Load", self.load))
        await answer.send_whole(200, headers, b"done")


async def start(cluster, load):
    """Start an upstream that states a load, and two routers."""
    desk = await cluster.server()
    desk.default_behaviour = Stating(load)
    routers = await cluster.routers(2)
    await clusters.wait_until(
        lambda: all(each.state.is_settled() for each in routers)
    )
    return desk, [router.state.costs for router in routers], routers


async def test_costs_are_learned_and_shared(cluster):
    desk, costs, routers = await start(cluster, b"1,0,8,250")
    for _ in range(6):
        assert (await clusters.send_request(routers[0])).status == 200
    name = desk.incarnation
    await clusters.wait_until(
        lambda: (
            costs[1].servers.has_statement(name)
            and costs[1].servers.view(name, 0.0).samples > 0
        )
    )
    assert (await clusters.send_request(routers[1])).status == 200
    # The first answer only showed that the service is uneven.
    assert round(costs[0].calibrations.popitem()[1].samples) == 5
    assert not costs[0].told_work_s(0.0)


async def test_nothing_is_learned_of_other_services(cluster):
    _, costs, routers = await start(cluster, b"1,0,8")
    for _ in range(3):
        assert (await clusters.send_request(routers[0])).status == 200
    assert not costs[0].servers.time_factors()
    assert not costs[0].calibrations
