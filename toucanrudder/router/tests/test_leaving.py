"""Promise 7: a leaving upstream gets no new work; real processes."""

import pytest

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

LEAVING_ENGINE = "engine-0"
REQUESTS = 20


async def leave_by_instance_list(fleet):
    url = f"{fleet.platform.url}/instances/{LEAVING_ENGINE}"
    row = {"kind": "upstream", "address": "127.0.0.1:1", "state": "leaving"}
    async with fleet.session.put(url, json=row) as response:
        response.raise_for_status()


async def leave_by_load_report(fleet):
    await fleet.put_faults(LEAVING_ENGINE, leaving=True)


async def drain_by_operator(fleet):
    headers = {"Authorization": f"Bearer {fleets.ADMIN_TOKEN}"}
    url = f"{fleet.routers[1].admin_url}/upstreams/{LEAVING_ENGINE}/drain"
    async with fleet.session.post(url, headers=headers) as response:
        response.raise_for_status()


SOURCES = {
    "instance list": (leave_by_instance_list, {}, "ok"),
    "lagging instance list": (
        leave_by_instance_list,
        {"instances_lag_s": 1.5},
        "ok",
    ),
    "load report": (leave_by_load_report, {}, "ok"),
    "load report, store down": (leave_by_load_report, {}, "down"),
    "operator drain": (drain_by_operator, {}, "ok"),
}


@pytest.mark.parametrize("source", SOURCES)
async def test_a_leaving_upstream_gets_no_new_work(source):
    """Requests go to other engines once one is known to be leaving.

    Either the platform's instance list, the engine's load report or an
    operator's drain says so.  Each source alone must be enough, while the
    others lag or report nothing.
    """
    leave, options, store = SOURCES[source]
    plan = fleets.Plan(engines=2, routers=2, platform_options=options)
    async with fleets.running(plan) as fleet:
        await fleet.put_faults("platform", mode=store)
        await leave(fleet)
        for router in fleet.routers:
            operator = control.Operator(fleet.session, router)

            async def is_known(operator=operator):
                page = await operator.get("/status")
                (row,) = [
                    upstream
                    for upstream in page["upstreams"]
                    if upstream["name"] == LEAVING_ENGINE
                ]
                return row["state"] == "leaving" or row["drained"]

            await control.until(is_known)
        runs_before = len((await fleet.journal(LEAVING_ENGINE))["runs"])
        for number in range(REQUESTS):
            router = fleet.routers[number % 2]
            prompt = f"prompt {number}"
            assert (await control.ask(fleet, router, prompt))[0] == 200
        assert (
            len((await fleet.journal(LEAVING_ENGINE))["runs"]) == runs_before
        )
        assert len(await fleet.runs()) >= REQUESTS
        for router in fleet.routers:
            # A retry would mean that the engine was sent a request and
            # refused it.
            page = await control.Operator(fleet.session, router).metrics()
            assert 'toucanrudder_retries_total{reason="refused"' not in page


async def test_the_last_instance_list_stays_in_force_without_the_store():
    """An engine listed as leaving stays unused when the store goes down.

    The list is read once, then the store stays down.
    """
    plan = fleets.Plan(engines=2, routers=1)
    async with fleets.running(plan) as fleet:
        await leave_by_instance_list(fleet)
        operator = control.Operator(fleet.session, fleet.routers[0])

        async def states():
            page = await operator.get("/status")
            return [upstream["state"] for upstream in page["upstreams"]]

        async def is_known():
            return "leaving" in await states()

        await control.until(is_known)
        await fleet.put_faults("platform", mode="down")
        url = f"{fleet.platform.url}/counts"

        async def poll_count():
            async with fleet.session.get(url) as response:
                counts = await response.json()
            return counts["by_kind"]["instances.reads"]

        target = await poll_count() + 2

        async def polled():
            return await poll_count() >= target

        await control.until(polled)
        assert "leaving" in await states()
        for number in range(REQUESTS):
            answer = await control.ask(fleet, fleet.routers[0], f"p {number}")
            assert answer[0] == 200
        assert not (await fleet.journal(LEAVING_ENGINE))["runs"]
