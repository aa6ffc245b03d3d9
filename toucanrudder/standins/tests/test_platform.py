import asyncio

import aiohttp
import pytest

from toucanrudder.standins import platform
from toucanrudder.standins import service

CREATE = {"If-None-Match": "*"}


class Client:
    def __init__(self, session, address):
        self.session = session
        self.base = f"http://{address}"

    async def call(self, method, path, value=None, headers=None):
        async with self.session.request(
            method, self.base + path, json=value, headers=headers
        ) as response:
            if response.content_type == "application/json":
                return response.status, await response.json()
            return response.status, None


@pytest.fixture
async def served():
    async with platform.opened() as served:
        yield served


@pytest.fixture
async def client(served):
    async with aiohttp.ClientSession() as session:
        # aiohttp sends a PUT whose connection broke a second time, unseen.
        session._retry_connection = False
        yield Client(session, served.address)


async def test_conditional_writes(client):
    path = "/objects/leases/a"
    table = [
        ("GET", None, None, 404),
        ("PUT", {"n": 1}, CREATE, 200),
        ("PUT", {"n": 2}, CREATE, 409),
        ("PUT", {"n": 2}, {"If-Match": "1"}, 200),
        ("PUT", {"n": 3}, {"If-Match": "1"}, 409),
        ("PUT", {"n": 3}, {}, 428),
        ("DELETE", None, {"If-Match": "1"}, 409),
        ("DELETE", None, {"If-Match": "2"}, 204),
        ("DELETE", None, {"If-Match": "2"}, 404),
    ]
    for method, value, headers, expected in table:
        status, _ = await client.call(method, path, value, headers)
        assert (method, headers, status) == (method, headers, expected)


async def test_list_by_prefix_and_page(client):
    for name in ("a.1", "a.2", "a.3", "b.1"):
        await client.call("PUT", f"/objects/claims/{name}", {}, CREATE)
    _, page = await client.call(
        "GET", "/objects/claims?prefix=a.&after=a.1&limit=1"
    )
    assert [item["name"] for item in page["items"]] == ["a.2"]


async def test_watch_answers_on_change_and_after_restore(client):
    path = "/objects/configuration/current"
    await client.call("PUT", path, {"n": 1}, CREATE)
    await client.call("POST", "/snapshot")
    watch = f"{path}?after_version=1&wait_s=30"
    waiting = asyncio.ensure_future(client.call("GET", watch))
    await client.call("PUT", path, {"n": 2}, {"If-Match": "1"})
    assert (await waiting)[1]["value"] == {"n": 2}
    watch = f"{path}?after_version=2&wait_s=30"
    waiting = asyncio.ensure_future(client.call("GET", watch))
    await client.call("POST", "/restore")
    assert (await waiting)[1]["value"] == {"n": 1}
    watch = f"{path}?after_version=1&wait_s=0.01"
    assert (await client.call("GET", watch))[0] == 304


async def test_lost_answer_after_effect_then_down(client):
    path = "/objects/leases/a"
    fault = {"mode": "lose_answers", "times": 1}
    await client.call("PUT", "/faults", fault)
    with pytest.raises(aiohttp.ClientError):
        await client.call("PUT", path, {"n": 1}, CREATE)
    assert (await client.call("GET", path))[1]["value"] == {"n": 1}
    await client.call("PUT", "/faults", {"mode": "down"})
    assert (await client.call("GET", path))[0] == 503
    _, counts = await client.call("GET", "/counts")
    assert (counts["reads"], counts["writes"]) == (2, 1)


async def test_rate_limit():
    async with (
        platform.opened(writes_per_s=1) as served,
        aiohttp.ClientSession() as session,
    ):
        client = Client(session, served.address)
        statuses = set()
        for count in range(10):
            path = f"/objects/leases/{count}"
            statuses.add((await client.call("PUT", path, {}, CREATE))[0])
    assert statuses == {200, 429}


@pytest.mark.parametrize(
    ("fail", "runs"), [("", 1), ("before", 0), ("after", 1)]
)
async def test_service_counts_runs(fail, runs):
    async with (
        service.opened() as served,
        aiohttp.ClientSession() as session,
    ):
        client = Client(session, served.address)
        await client.call("PUT", "/faults", {"fail": fail})
        await client.call(
            "POST", "/bookings", {"studio": 1}, {"Idempotency-Key": "k"}
        )
        _, journal = await client.call("GET", "/journal")
    assert journal["by_key"].get("k", 0) == runs
