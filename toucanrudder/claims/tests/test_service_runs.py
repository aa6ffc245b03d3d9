"""Promise 6 with real processes; the service's own count is the judge."""

import asyncio
import signal

import aiohttp
import pytest

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import proxy

DISPATCH_WITHIN_S = 0.5
CLAIM_WRITE = b"PUT /objects/claims"
ROUTES = [
    {"method": "POST", "path_prefix": "/bookings", "repeatable": False},
    {"method": "POST", "path_prefix": "/quotes", "repeatable": True},
]


def plan(**sections):
    settings = {"claims": {"dispatch_within_s": DISPATCH_WITHIN_S}}
    return fleets.Plan(
        engines=0,
        services=2,
        routers=2,
        routes=ROUTES,
        settings=settings | sections,
    )


async def book(fleet, router=0, key="k", body=b"stage 4", organisation="acme"):
    """Return the status and the body of one try."""
    headers = fleets.authorization(organisation) | {"Idempotency-Key": key}
    url = f"{fleet.routers[router].url}/services/desk/bookings"
    async with fleet.session.post(url, data=body, headers=headers) as answer:
        return answer.status, await answer.json()


def said(answer):
    status, body = answer
    if status == 200:
        return "answered"
    return body["error"]["code"], body["error"]["ran"]


async def runs(fleet):
    return len(await fleet.runs())


async def service_faults(fleet, **faults):
    for name in fleet.upstreams:
        await fleet.put_faults(name, **faults)


async def stored_claims(fleet):
    url = f"{fleet.platform.url}/objects/claims"
    async with fleet.session.get(url) as response:
        return (await response.json())["items"]


async def one_run(fleet):
    async def begun():
        return await runs(fleet) == 1

    await control.until(begun)


async def claimed(fleet):
    async def there():
        return len(await stored_claims(fleet)) == 1

    await control.until(there)


async def until_answered(fleet, router):
    """Send again until the answer comes, as a patient caller does."""
    answers = []

    async def answered():
        answers.append(await book(fleet, router))
        return answers[-1][0] == 200

    await control.until(answered)
    return answers[-1]


async def killed(fleet, router, call):
    await fleet.routers[router].process.kill()
    with pytest.raises(aiohttp.ClientError):
        await call


STARTED = ("already_started", "outcome_unknown")


async def test_double_click_at_two_routers_at_one_moment():
    """Eight tries of one booking reach two routers at once.

    One of them gets the claim.  The others are told that it was started,
    and a later try gets its answer.
    """
    async with fleets.running(plan()) as fleet:
        await service_faults(fleet, delay_s=0.5)
        tries = await asyncio.gather(
            *(book(fleet, number % 2) for number in range(8))
        )
        assert sorted(map(said, tries), key=str) == sorted(
            ["answered"] + [STARTED] * 7, key=str
        )
        first = next(body for status, body in tries if status == 200)
        assert await book(fleet, 1) == (200, first)
        assert await runs(fleet) == 1
        # Another organisation's key of the same name is another key.
        other = await book(fleet, 0, organisation="birch")
        assert said(other) == "answered"
        assert await runs(fleet) == 2
        reused = await book(fleet, 1, body=b"stage 5")
        assert said(reused) == ("idempotency_key_reused", "not_run")
        assert await runs(fleet) == 2


async def test_a_caller_that_left_finds_the_answer_at_its_next_try():
    """The caller's connection breaks while the service works.

    The router goes on and retains the answer.  Were the call given up
    with its caller, the resend could only be told "unknown".
    """
    async with fleets.running(plan()) as fleet:
        await service_faults(fleet, delay_s=0.5)
        call = asyncio.ensure_future(book(fleet))
        await one_run(fleet)
        call.cancel()
        status, body = await until_answered(fleet, router=1)
        assert (status, body["run"]) == (200, 1)
        assert await runs(fleet) == 1


async def test_a_lost_answer_of_the_service_is_an_unknown_outcome():
    async with fleets.running(plan()) as fleet:
        await service_faults(fleet, fail="lost_answer")
        assert said(await book(fleet)) == (
            "upstream_failed",
            "outcome_unknown",
        )
        await service_faults(fleet)
        for router in (1, 0):
            assert said(await book(fleet, router)) == STARTED
        assert await runs(fleet) == 1


async def test_router_killed_before_its_claim_took_effect():
    """The claim is on its way when the router dies; it arrives later.

    Whichever try's claim the store takes first, no two tries run.
    """
    async with fleets.running(plan()) as fleet:
        await fleet.put_faults(
            "platform", mode="slow", kind="claims", delay_s=0.4
        )
        call = asyncio.ensure_future(book(fleet))

        async def sent():
            async with fleet.session.get(
                f"{fleet.platform.url}/counts"
            ) as got:
                counts = await got.json()
            return counts["by_kind"].get("claims.writes", 0) > 0

        await control.until(sent)
        await killed(fleet, 0, call)
        await fleet.put_faults("platform", mode="ok")
        assert said(await book(fleet, 1)) in ("answered", STARTED)
        assert await runs(fleet) <= 1
        await claimed(fleet)


KILLED = [
    # where the router dies, the resend's answer, runs
    ("between claim and dispatch", STARTED, 0),
    ("after dispatch", STARTED, 1),
    ("after the answer", "answered", 1),
]


@pytest.mark.parametrize(("point", "resend", "count"), KILLED)
async def test_router_killed(point, resend, count):
    """A router dies at one point of a booking; the caller tries the other.

    What the first router sent nobody can tell but the service.  Once there
    is a claim the resend gets the retained answer, or hears that the
    outcome is unknown: never "not run", never a second run.
    """
    async with fleets.running(plan()) as fleet:
        if point == "between claim and dispatch":
            fleet.platform_proxy.add(
                proxy.Rule(proxy.Action.FREEZE, match=CLAIM_WRITE)
            )
        elif point == "after dispatch":
            await service_faults(fleet, delay_s=5.0)
        call = asyncio.ensure_future(book(fleet))
        if point == "after the answer":
            assert said(await call) == "answered"
            await fleet.routers[0].process.kill()
        else:
            await claimed(fleet)
            if count:
                await one_run(fleet)
            await killed(fleet, 0, call)
        assert said(await book(fleet, 1)) == resend
        assert await runs(fleet) == count


async def test_a_paused_router_that_wakes_up_does_not_dispatch():
    """A router is stopped between its claim and the dispatch.  Meanwhile
    its claim ends, and the caller's resend runs elsewhere.

    Without the check of the claim's age the router would wake, read the
    store's old answer from its socket, and run the booking again.
    """
    async with fleets.running(plan(store={"timeout_s": 10})) as fleet:
        process = fleet.routers[0].process
        fleet.platform_proxy.add(
            proxy.Rule(proxy.Action.DELAY, match=CLAIM_WRITE, delay_s=2.0)
        )
        call = asyncio.ensure_future(book(fleet))
        await claimed(fleet)
        process.signal(signal.SIGSTOP)
        held = (await stored_claims(fleet))[0]
        url = f"{fleet.platform.url}/objects/claims/{held['name']}"
        async with fleet.session.delete(
            url, headers={"If-Match": str(held["version"])}
        ) as response:
            assert response.status == 204
        assert said(await book(fleet, 1)) == "answered"
        # The pause itself: long enough for the claim to be too old.
        await asyncio.sleep(DISPATCH_WITHIN_S)
        process.signal(signal.SIGCONT)
        assert said(await call) == ("claim_expired", "not_run")
        assert await runs(fleet) == 1


LOST = [
    {"mode": "lose_answers", "times": 1},
    {"mode": "lose_answers", "times": 2},
]


@pytest.mark.parametrize("fault", LOST)
async def test_lost_answers_of_the_store(fault):
    async with fleets.running(plan()) as fleet:
        await fleet.put_faults("platform", kind="claims", **fault)
        assert said(await book(fleet)) == "answered"
        first = await until_answered(fleet, router=1)
        assert first[1]["run"] == 1
        assert await runs(fleet) == 1


async def test_a_store_that_is_down_for_long():
    """Bookings are refused at once and truly; quotes go on.

    When the store is back the same key works.
    """
    async with fleets.running(plan()) as fleet:
        await fleet.put_faults("platform", mode="down")
        for router in (0, 1, 0):
            status, body = await book(fleet, router)
            assert (status, body["error"]["ran"]) == (503, "not_run")
            assert body["error"]["code"] == "store_unavailable"
            assert body["error"]["retry_after_s"] > 0
        assert await runs(fleet) == 0
        url = f"{fleet.routers[0].url}/services/desk/quotes"
        async with fleet.session.post(
            url, data=b"x", headers=fleets.authorization()
        ) as answer:
            assert answer.status == 200
        await fleet.put_faults("platform", mode="ok")
        assert said(await book(fleet, 1)) == "answered"
        assert await runs(fleet) == 2
