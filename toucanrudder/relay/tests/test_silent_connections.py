import asyncio

import aiohttp
import pytest

from toucanrudder.standins import output
from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

WITHIN_S = 60
BODY = {"model": "demo", "prompt": "spindle", "max_tokens": 3}
SETTINGS = {
    "store": {"watch_wait_s": 0.5, "timeout_s": 0.5},
    "upstreams": {"load_interval_s": 0.05, "silent_event_s": 0.5},
}


async def _until(condition):
    async with asyncio.timeout(WITHIN_S):
        while not await condition():
            await asyncio.sleep(0.02)


async def _status(fleet):
    headers = {"Authorization": f"Bearer {fleets.ADMIN_TOKEN}"}
    url = f"{fleet.routers[0].admin_url}/status"
    async with fleet.session.get(url, headers=headers) as response:
        return await response.json()


async def test_idle_engine_connections_gone_silent():
    """All idle connections to the engines stop delivering data; new ones
    work.  Requests written to them are lost without an error.  After
    `silent_event_s` the router asks on a new connection, learns that the
    engine does not know the request, and runs it; each caller is answered.
    """
    plan = fleets.Plan(engines=2, settings=SETTINGS)
    async with fleets.running(plan) as fleet:
        url = fleet.routers[0].url
        for _ in range(2):
            await asyncio.gather(
                *(callers.stream(fleet.session, url, BODY) for _ in range(8))
            )
        frozen = [proxied.freeze() for proxied in fleet.proxies.values()]
        assert min(frozen) > 0
        async with asyncio.timeout(WITHIN_S):
            answers = await asyncio.gather(
                *(callers.stream(fleet.session, url, BODY) for _ in range(8))
            )
        expected = output.expected_text("/v1/completions", BODY)
        for answer in answers:
            assert (answer.end, answer.text) == (callers.End.DONE, expected)


async def test_load_polls_gone_silent():
    """The connection of the load polls stops delivering data.  Each poll
    has a deadline, the next one uses a new connection, and the router
    learns that the engine is leaving.
    """
    async with fleets.running(fleets.Plan(settings=SETTINGS)) as fleet:

        async def live():
            return (await _status(fleet))["upstreams"][0]["state"] == "live"

        async def leaving():
            state = (await _status(fleet))["upstreams"][0]["state"]
            return state == "leaving"

        await _until(live)
        assert fleet.proxies["engine-0"].freeze() > 0
        await fleet.put_faults("engine-0", leaving=True)
        await _until(leaving)


async def test_store_watch_gone_silent():
    """The configuration watch stops delivering data, which looks like "no
    change".  It has a deadline longer than its wait, so the router opens a
    new watch on a new connection, and the new generation takes effect.
    """
    async with fleets.running(fleets.Plan(settings=SETTINGS)) as fleet:
        await callers.whole(fleet.session, fleet.routers[0].url, BODY)
        assert fleet.platform_proxy.freeze() > 0
        document = fleet.document()
        document["models"].append({"name": "late", "weights_version": "w1"})
        url = f"{fleet.platform.url}/objects/configuration/current"
        async with fleet.session.get(url) as response:
            current = await response.json()
        value = current["value"] | {"generation": 2, "document": document}
        headers = {"If-Match": str(current["version"])}
        async with fleet.session.put(
            url, json=value, headers=headers
        ) as response:
            response.raise_for_status()

        async def in_force():
            url = f"{fleet.routers[0].url}/v1/models"
            async with fleet.session.get(
                url, headers=fleets.authorization()
            ) as response:
                models = (await response.json())["data"]
            return "late" in [model["id"] for model in models]

        await _until(in_force)


@pytest.mark.parametrize("fail", ["lost_answer"])
@pytest.mark.parametrize("method", ["PUT", "POST", "DELETE"])
async def test_lost_answer_of_a_service_is_not_sent_again(method, fail):
    """The service runs a call that may not be repeated and the connection
    breaks before its answer.  The client library would resend a PUT or a
    DELETE on its own.  The service must run the call once, and the caller
    must get "outcome unknown".
    """
    routes = [{"method": method, "path_prefix": "/book", "repeatable": False}]
    plan = fleets.Plan(engines=0, services=1, routes=routes)
    async with fleets.running(plan) as fleet:
        await fleet.put_faults("service-0", fail=fail)
        url = f"{fleet.routers[0].url}/services/desk/book/1"
        headers = fleets.authorization() | {"Idempotency-Key": "k1"}
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, url, json={"studio": 1}, headers=headers
            ) as response,
        ):
            error = (await response.json())["error"]
        assert error["ran"] == "outcome_unknown"
        assert len((await fleet.journal("service-0"))["runs"]) == 1
