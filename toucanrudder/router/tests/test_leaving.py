"""Promise 7: a leaving upstream gets no new work; real processes."""

import pytest

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

LEAVING = "engine-0"
REQUESTS = 20


async def leave_by_list(fleet):
    url = f"{fleet.platform.url}/instances/{LEAVING}"
    row = {"kind": "upstream", "address": "127.0.0.1:1", "state": "leaving"}
    async with fleet.session.put(url, json=row) as response:
        response.raise_for_status()


async def leave_by_own_word(fleet):
    await fleet.put_faults(LEAVING, leaving=True)


async def leave_by_drain(fleet):
    headers = {"Authorization": f"Bearer {fleets.ADMIN_TOKEN}"}
    url = f"{fleet.routers[1].admin_url}/upstreams/{LEAVING}/drain"
    async with fleet.session.post(url, headers=headers) as response:
        response.raise_for_status()


WORDS = {
    "the list": (leave_by_list, {}, "ok"),
    "a list that lags": (leave_by_list, {"instances_lag_s": 1.5}, "ok"),
    "its own word": (leave_by_own_word, {}, "ok"),
    "its own word, store down": (leave_by_own_word, {}, "down"),
    "an operator": (leave_by_drain, {}, "ok"),
}


@pytest.mark.parametrize("word", WORDS)
async def test_a_leaving_upstream_gets_no_new_work(word):
    """Requests go elsewhere once a router has learnt that one leaves.

    Either the platform's list or the engine itself says so, or an
    operator.  The others stay silent or lag; each alone must do.
    """
    leave, options, store = WORDS[word]
    plan = fleets.Plan(engines=2, routers=2, platform_options=options)
    async with fleets.running(plan) as fleet:
        await fleet.put_faults("platform", mode=store)
        await leave(fleet)
        for router in fleet.routers:
            operator = control.Operator(fleet.session, router)

            async def known(operator=operator):
                page = await operator.get("/status")
                (row,) = [
                    each
                    for each in page["upstreams"]
                    if each["name"] == LEAVING
                ]
                return row["state"] == "leaving" or row["drained"]

            await control.until(known)
        before = len((await fleet.journal(LEAVING))["runs"])
        for number in range(REQUESTS):
            router = fleet.routers[number % 2]
            prompt = f"prompt {number}"
            assert (await control.ask(fleet, router, prompt))[0] == 200
        assert len((await fleet.journal(LEAVING))["runs"]) == before
        assert len(await fleet.runs()) >= REQUESTS
        for router in fleet.routers:
            # Else the engine was asked and had to refuse.
            page = await control.Operator(fleet.session, router).metrics()
            assert 'toucanrudder_retries_total{reason="refused"' not in page


async def test_the_last_list_stays_in_force_while_the_store_is_down():
    """An engine listed as leaving is not used because nobody can say so.

    The list is read, then the store goes down for good.
    """
    plan = fleets.Plan(engines=2, routers=1)
    async with fleets.running(plan) as fleet:
        await leave_by_list(fleet)
        operator = control.Operator(fleet.session, fleet.routers[0])

        async def state():
            page = await operator.get("/status")
            return [each["state"] for each in page["upstreams"]]

        async def known():
            return "leaving" in await state()

        await control.until(known)
        await fleet.put_faults("platform", mode="down")
        url = f"{fleet.platform.url}/counts"

        async def polls():
            async with fleet.session.get(url) as response:
                counts = await response.json()
            return counts["by_kind"]["instances.reads"]

        enough = await polls() + 2

        async def polled():
            return await polls() >= enough

        await control.until(polled)
        assert "leaving" in await state()
        for number in range(REQUESTS):
            answer = await control.ask(fleet, fleet.routers[0], f"p {number}")
            assert answer[0] == 200
        assert not (await fleet.journal(LEAVING))["runs"]
