"""Most new connections go to one router."""

import asyncio
import itertools

import pytest

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

ROUTERS, DESKS, SLOTS = 8, 3, 8

#: Time of one run, and requests per second: seven tenths of the capacity.
RUN_S = 0.2
REQUESTS_PER_S = 0.7 * DESKS * SLOTS / RUN_S

#: Time over which answers are counted, before and in the crowd.
SPAN_S = 2.0

#: Share of the answers before that must be served in the crowd.
AIM = 0.95


class Desks:
    """Upstreams that refuse beyond their slots, and may crash at requests.

    Parameters
    ----------
    brittle : bool
        Whether they say that they bear few refusals.
    reset_every : int
        Every so-manieth request is reset; 0 for none.
    """

    def __init__(self, brittle, reset_every):
        self._running = {}
        self._brittle = brittle
        self._reset_every = reset_every
        self._numbers = itertools.count(1)
        self.refusals = 0

    async def behave(self, upstream, run, answer):
        """Answer a request after `RUN_S`."""
        name = upstream.incarnation
        fields = ((b"Server-Brittle", b"4"),) if self._brittle else ()
        if self._running.get(name, 0) >= SLOTS:
            self.refusals += 1
            not_run = (
                (b"Request-Id", run.request_id.encode()),
                (b"Not-Executed", b"1"),
            )
            await answer.send_whole(503, (*not_run, *fields), b"")
            return
        if self._reset_every and not next(self._numbers) % self._reset_every:
            await standins.resets(upstream, run, answer)
            return
        self._running[name] = self._running.get(name, 0) + 1
        try:
            await asyncio.sleep(RUN_S)
            headers = (*upstream.answer_headers(run), *fields)
            await answer.send_whole(200, headers, b"done")
        finally:
            self._running[name] -= 1


async def served_share(routers, span_s):
    """Return the share of requests that are served at the first attempt."""
    tasks = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + span_s
    for router in itertools.cycle(routers):
        if loop.time() >= end_s:
            break
        tasks.append(asyncio.ensure_future(clusters.send_request(router)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    answers = await asyncio.gather(*tasks)
    return sum(each.status == 200 for each in answers) / len(answers)


CROWDS = {
    "sound upstreams": (False, 0),
    "upstreams that reset some": (False, 12),
    "brittle upstreams": (True, 0),
}


@pytest.mark.parametrize(
    ("brittle", "reset_every"), CROWDS.values(), ids=CROWDS.keys()
)
async def test_crowd_at_one_router_is_served_as_when_it_is_spread(
    cluster, brittle, reset_every
):
    desks = Desks(brittle, reset_every)
    for _ in range(DESKS):
        desk = await cluster.server()
        desk.default_behaviour = desks.behave
    routers = await cluster.routers(ROUTERS)
    await served_share(routers, SPAN_S / 2)
    spread = await served_share(routers, SPAN_S)
    await served_share(routers[:1], SPAN_S / 2)
    crowd = await served_share(routers[:1], SPAN_S)
    assert crowd >= AIM * spread, (spread, crowd, desks.refusals)
