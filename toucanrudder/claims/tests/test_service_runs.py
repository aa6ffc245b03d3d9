"""At-most-once execution with real processes; see docs/promises.md, 6."""

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
    """Return the status and the body of one attempt."""
    headers = fleets.authorization(organisation) | {"Idempotency-Key": key}
    url = f"{fleet.routers[router].url}/services/desk/bookings"
    async with fleet.session.post(url, data=body, headers=headers) as response:
        return response.status, await response.json()


def outcome(response):
    status, body = response
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
    async def has_run():
        return await runs(fleet) == 1

    await control.until(has_run)


async def claimed(fleet):
    async def is_stored():
        return len(await stored_claims(fleet)) == 1

    await control.until(is_stored)


async def until_answered(fleet, router):
    """Retry until the response comes, as a patient caller does."""
    responses = []

    async def answered():
        responses.append(await book(fleet, router))
        return responses[-1][0] == 200

    await control.until(answered)
    return responses[-1]


async def kill_during(fleet, router, call):
    await fleet.routers[router].process.kill()
    with pytest.raises(aiohttp.ClientError):
        await call


STARTED = ("already_started", "outcome_unknown")


async def test_concurrent_attempts_at_two_routers():
    """Eight attempts of one booking reach two routers at once.

    One of them acquires the claim.  The others are told that the booking
    was started, and a later attempt gets its response.
    """
    async with fleets.running(plan()) as fleet:
        await service_faults(fleet, delay_s=0.5)
        attempts = await asyncio.gather(
            *(book(fleet, number % 2) for number in range(8))
        )
        assert sorted(map(outcome, attempts), key=str) == sorted(
            ["answered"] + [STARTED] * 7, key=str
        )
        first = next(body for status, body in attempts if status == 200)
        assert await book(fleet, 1) == (200, first)
        assert await runs(fleet) == 1
        # The same key of another organisation is a different key.
        other = await book(fleet, 0, organisation="birch")
        assert outcome(other) == "answered"
        assert await runs(fleet) == 2
        reused = await book(fleet, 1, body=b"stage 5")
        assert outcome(reused) == ("idempotency_key_reused", "not_run")
        assert await runs(fleet) == 2


async def test_a_disconnected_caller_gets_the_response_on_retry():
    """The caller's connection breaks while the service runs the call.

    The router continues and retains the response.  If the call were
    abandoned with its caller, a retry could only be told "unknown".
    """
    async with fleets.running(plan()) as fleet:
        await service_faults(fleet, delay_s=0.5)
        call = asyncio.ensure_future(book(fleet))
        await one_run(fleet)
        call.cancel()
        status, body = await until_answered(fleet, router=1)
        assert (status, body["run"]) == (200, 1)
        assert await runs(fleet) == 1


async def test_a_lost_response_of_the_service_is_an_unknown_outcome():
    async with fleets.running(plan()) as fleet:
        await service_faults(fleet, fail="lost_answer")
        assert outcome(await book(fleet)) == (
            "upstream_failed",
            "outcome_unknown",
        )
        await service_faults(fleet)
        for router in (1, 0):
            assert outcome(await book(fleet, router)) == STARTED
        assert await runs(fleet) == 1


async def test_router_killed_before_its_claim_took_effect():
    """A router dies while its claim is in flight; the claim arrives later.

    Whichever attempt's claim takes effect first, at most one attempt runs.
    """
    async with fleets.running(plan()) as fleet:
        await fleet.put_faults(
            "platform", mode="slow", kind="claims", delay_s=0.4
        )
        call = asyncio.ensure_future(book(fleet))

        async def is_sent():
            async with fleet.session.get(
                f"{fleet.platform.url}/counts"
            ) as response:
                counts = await response.json()
            return counts["by_kind"].get("claims.writes", 0) > 0

        await control.until(is_sent)
        await kill_during(fleet, 0, call)
        await fleet.put_faults("platform", mode="ok")
        assert outcome(await book(fleet, 1)) in ("answered", STARTED)
        assert await runs(fleet) <= 1
        await claimed(fleet)


KILLED = [
    # where the router dies, outcome of the retry, runs
    ("between claim and dispatch", STARTED, 0),
    ("after dispatch", STARTED, 1),
    ("after the answer", "answered", 1),
]


@pytest.mark.parametrize(("point", "retry_outcome", "run_count"), KILLED)
async def test_router_killed(point, retry_outcome, run_count):
    """A router dies during a booking, and the caller retries at the other.

    Only the service knows what the first router sent.  Once a claim
    exists, the retry gets the retained response or an unknown outcome:
    never "not run", never a second run.
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
            assert outcome(await call) == "answered"
            await fleet.routers[0].process.kill()
        else:
            await claimed(fleet)
            if run_count:
                await one_run(fleet)
            await kill_during(fleet, 0, call)
        assert outcome(await book(fleet, 1)) == retry_outcome
        assert await runs(fleet) == run_count


async def test_a_paused_router_does_not_dispatch_after_it_resumes():
    """A router is paused between its claim and the dispatch.

    Meanwhile its claim is deleted, and the caller's retry runs elsewhere.
    Without the check of the claim's age the resumed router would read the
    store's old response from its socket and run the booking again.
    """
    async with fleets.running(plan(store={"timeout_s": 10})) as fleet:
        process = fleet.routers[0].process
        fleet.platform_proxy.add(
            proxy.Rule(proxy.Action.DELAY, match=CLAIM_WRITE, delay_s=2.0)
        )
        call = asyncio.ensure_future(book(fleet))
        await claimed(fleet)
        process.signal(signal.SIGSTOP)
        stored = (await stored_claims(fleet))[0]
        url = f"{fleet.platform.url}/objects/claims/{stored['name']}"
        async with fleet.session.delete(
            url, headers={"If-Match": str(stored["version"])}
        ) as response:
            assert response.status == 204
        assert outcome(await book(fleet, 1)) == "answered"
        # Pauses until the claim is too old for its dispatch.
        await asyncio.sleep(DISPATCH_WITHIN_S)
        process.signal(signal.SIGCONT)
        assert outcome(await call) == ("claim_expired", "not_run")
        assert await runs(fleet) == 1


LOST_RESPONSES = [
    {"mode": "lose_answers", "times": 1},
    {"mode": "lose_answers", "times": 2},
]


@pytest.mark.parametrize("fault", LOST_RESPONSES)
async def test_lost_responses_of_the_store(fault):
    async with fleets.running(plan()) as fleet:
        await fleet.put_faults("platform", kind="claims", **fault)
        assert outcome(await book(fleet)) == "answered"
        first = await until_answered(fleet, router=1)
        assert first[1]["run"] == 1
        assert await runs(fleet) == 1


async def test_a_long_outage_of_the_store():
    """Bookings are refused at once as not run; quotes are still served.

    Once the store is available again, the same key works.
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
        assert outcome(await book(fleet, 1)) == "answered"
        assert await runs(fleet) == 2
