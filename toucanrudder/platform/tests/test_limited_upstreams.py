"""Upstreams that state how many requests per second they take."""

import asyncio
import math

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import heads

LIMITS = [
    (b"1.7", 1.7),
    (b" 0.25 ", 0.25),
    (b"0", 0.0),
    (b"-1", math.nan),
    (b"inf", math.nan),
    (b"nan", math.nan),
    (b"", math.nan),
    (b"many", math.nan),
    (None, None),
]


@pytest.mark.parametrize(("text", "limit"), LIMITS)
def test_limit_is_read_leniently(text, limit):
    headers = () if text is None else ((b"Server-Limit", text),)
    facts = heads.read_facts(200, *headers)
    assert facts.rate_limit_per_s == pytest.approx(limit, nan_ok=True)


class Stating:
    """A behaviour of upstreams that state a limit, or none."""

    def __init__(self, limit):
        self.limit = limit

    async def __call__(self, upstream, run, answer):
        upstream.runs.append(run)
        headers = upstream.answer_headers(run)
        if self.limit is not None:
            headers = (*headers, (b"Server-Limit", self.limit))
        await answer.send_whole(200, headers, b"done")


async def start(cluster, limit, upstreams=1):
    """Start upstreams that state a limit, and two routers."""
    behaviour = Stating(limit)
    desks = [await cluster.server() for _ in range(upstreams)]
    for desk in desks:
        desk.default_behaviour = behaviour
    routers = await cluster.routers(2)
    await clusters.wait_until(
        lambda: all(each.state.is_settled() for each in routers)
    )
    return behaviour, desks, routers


def rates(desk, routers):
    limits = (each.state.limits for each in routers)
    return [each.stated_rate_per_s(desk.incarnation) for each in limits]


async def send_until_served(router):
    """Send requests until the router with the turn has room for one."""
    async with asyncio.timeout(clusters.DEADLINE_S):
        while (await clusters.send_request(router)).status != 200:
            await asyncio.sleep(0.1)


async def test_peers_learn_of_a_limit_and_of_its_end(cluster):
    behaviour, (desk,), routers = await start(cluster, b"50")
    assert (await clusters.send_request(routers[0])).status == 200
    await clusters.wait_until(lambda: rates(desk, routers) == [50.0, 50.0])
    behaviour.limit = b"many"
    await send_until_served(routers[0])
    assert rates(desk, routers) == [50.0, 50.0]
    behaviour.limit = None
    await send_until_served(routers[1])
    await clusters.wait_until(lambda: rates(desk, routers) == [None, None])


async def test_one_router_sends_what_an_upstream_takes_of_all(cluster):
    _, (desk,), routers = await start(cluster, b"0.5")
    assert (await clusters.send_request(routers[0])).status == 200
    await clusters.wait_until(lambda: None not in rates(desk, routers))
    answers = [
        await clusters.send_request(router, path)
        for path in (b"/r/x", b"/w/x")
        for router in routers * 6
    ]
    refused = [answer for answer in answers if answer.status != 200]
    assert len(desk.runs) <= 2
    assert len(refused) >= 23
    assert {answer.status for answer in refused} == {503}
    delays_s = {float(answer.get(b"retry-after")) for answer in refused}
    # Two routers share half a request per second.
    assert min(delays_s) >= 4.0
    assert len(delays_s) > len(refused) / 2


async def test_requests_go_where_no_limit_is_stated(cluster):
    _, (limited, other), routers = await start(cluster, b"0", upstreams=2)
    other.default_behaviour = Stating(None)
    while not limited.runs:
        assert (await clusters.send_request(routers[0])).status == 200
    await clusters.wait_until(lambda: None not in rates(limited, routers))
    for router in routers * 6:
        assert (await clusters.send_request(router)).status == 200
    assert len(limited.runs) <= 2


async def test_a_limit_of_another_process_at_the_address_is_ignored(cluster):
    async def is_another(upstream, run, answer):
        headers = (
            (b"Request-Id", run.request_id.encode()),
            (b"Instance-Id", b"another"),
            (b"Not-Executed", b"1"),
            (b"Server-Limit", b"1"),
        )
        await answer.send_whole(421, headers, b"")

    _, (desk,), routers = await start(cluster, None)
    desk.default_behaviour = is_another
    assert (await clusters.send_request(routers[0])).status == 503
    assert rates(desk, routers) == [None, None]
