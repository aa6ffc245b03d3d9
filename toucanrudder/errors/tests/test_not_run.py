"""Promise 5: a refusal that says "not run" is true."""

import asyncio
import hashlib
import json

import pytest

from toucanrudder import errors
from toucanrudder.filters import model_call
from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

GOOD = {"model": fleets.MODEL, "prompt": "cue sheet", "max_tokens": 3}
COMPLETIONS, BOOKINGS = "/v1/completions", "/services/desk/bookings"
ROUTES = [{"method": "POST", "path_prefix": "/bookings", "repeatable": False}]
AUTHORIZED = fleets.authorization()
KEYED = AUTHORIZED | {"Idempotency-Key": "k"}
SLOW = fleets.authorization("birch")

#: Codes of refused requests, and the tests that show what those say.
ELSEWHERE = {
    "idempotency_key_reused": "test_service_runs",
    "already_started": "test_service_runs",
    "outcome_unknown": "test_keeper",
    "already_done": "test_keeper",
    "claim_expired": "test_service_runs",
    "body_too_slow": "test_bad_callers",
    "stream_broken": "test_streams",
    "upstream_crossed_answer": "test_own_answers",
    "quarantined": "test_poison_fleet",
}

#: Codes of operators' calls and of the routers' own affairs; no request
#: of a caller is refused with them.
NOT_FOR_CALLERS = {
    "config_invalid",
    "config_conflict",
    "settings_invalid",
    "lease_lost",
    "order_fenced",
    "peer_refused",
    "not_found",
    # Routers that stop serve what still comes.
    "stopping",
    # Unforeseen; the guard says that the outcome is unknown.
    "internal",
}

INPUT = [
    # path, body, headers, code
    (COMPLETIONS, b"{", AUTHORIZED, "malformed_json"),
    (COMPLETIONS, {"model": 3}, AUTHORIZED, "invalid_request"),
    (COMPLETIONS, GOOD | {"model": "no"}, AUTHORIZED, "unknown_model"),
    (COMPLETIONS, GOOD, {}, "unauthorized"),
    (COMPLETIONS, GOOD, AUTHORIZED | {"X-Priority": "?"}, "bad_header"),
    (COMPLETIONS, {"prompt": "x" * 9000}, AUTHORIZED, "body_too_large"),
    ("/services/no/x", b"", AUTHORIZED, "unknown_service"),
    (BOOKINGS, b"", AUTHORIZED, "idempotency_key_required"),
]


def plan(**policy):
    return fleets.Plan(
        engines=1,
        services=1,
        routes=ROUTES,
        settings={"router": {"max_queued": 1}},
        document={"policy": {"max_body_bytes": 8000} | policy},
    )


async def refusal(fleet, path, body, headers):
    data = body if isinstance(body, bytes) else json.dumps(body)
    async with fleet.session.post(
        fleet.routers[0].url + path, data=data, headers=headers
    ) as response:
        assert response.status >= 400, await response.text()
        return (await response.json())["error"]


async def runs_of(fleet, body):
    """Return how often upstreams ran requests with this prompt."""
    digest = hashlib.sha256(body["prompt"].encode()).hexdigest()
    runs = await fleet.runs()
    return sum(run.get("prompt_sha256") == digest for run in runs)


async def check(fleet, path, body, headers, code):
    error = await refusal(fleet, path, body, headers)
    assert (error["code"], error["ran"]) == (code, "not_run"), error


async def test_requests_that_are_wrong_run_nowhere():
    async with fleets.running(plan()) as fleet:
        for path, body, headers, code in INPUT:
            await check(fleet, path, body, headers, code)
        url = f"{fleet.routers[0].url}/v1/streams/none"
        async with fleet.session.get(url, headers=AUTHORIZED) as response:
            error = (await response.json())["error"]
        assert (error["code"], error["ran"]) == ("unknown_stream", "not_run")
        assert await fleet.runs() == []


async def test_requests_that_find_no_place_run_nowhere():
    """All slots are busy and the queue is full; deadlines cannot be met;
    upstreams are leaving, or gone; the store is down.
    """
    async with fleets.running(plan(max_tries=1)) as fleet:
        # Down first: later the service is gone, which is told earlier.
        await fleet.put_faults("platform", mode="down", kind="claims")
        await check(fleet, BOOKINGS, b"", KEYED, "store_unavailable")
        await fleet.put_faults("platform", mode="ok")
        await fleet.put_faults("service-0", fail="before")
        await check(fleet, BOOKINGS, b"", KEYED, "no_upstream")
        assert (await fleet.journal("service-0"))["runs"] == []
        await fleet.put_faults("engine-0", stall=True)
        tries = [
            asyncio.ensure_future(
                refusal(fleet, COMPLETIONS, GOOD, AUTHORIZED)
            )
            for _ in range(18)
        ]
        code = {}

        async def refused():
            done = [each for each in tries if each.done()]
            code.update(done[0].result() if done else {})
            return bool(done)

        await control.until(refused)
        assert (code["code"], code["ran"]) == ("queue_full", "not_run")
        hurry = GOOD | {"prompt": "hurry"}
        soon = AUTHORIZED | {"X-Deadline-S": "0.001"}
        await check(fleet, COMPLETIONS, hurry, soon, "deadline_unmet")
        assert await runs_of(fleet, hurry) == 0
        for each in tries:
            each.cancel()
        await asyncio.gather(*tries, return_exceptions=True)


async def test_requests_above_the_limit_run_nowhere():
    organisations = [
        {
            "name": "birch",
            "api_key_sha256s": [
                hashlib.sha256(fleets.api_key("birch").encode()).hexdigest()
            ],
            "requests_per_s": 0.01,
            "burst_requests": 1,
        }
    ]
    limited = plan()
    limited.document["organisations"] = organisations
    async with fleets.running(limited) as fleet:
        await check(fleet, "/services/no/x", b"", SLOW, "unknown_service")
        await check(fleet, COMPLETIONS, GOOD, SLOW, "limit_exceeded")
        assert await fleet.runs() == []


#: Nothing listens at its address.
GONE = {
    "name": "engine-0",
    "kind": "engine",
    "address": "127.0.0.1:1",
    "zone": "zone-a",
    "pool": "llm",
    "models": [fleets.MODEL],
}

ENGINES = [
    # faults of the only engine, code, what is said, runs seen
    ({"refuse": True}, "no_upstream", "not_run", 0),
    ("gone", "upstream_not_reached", "not_run", 0),
    ({"fail_every": 1}, "upstream_failed", "outcome_unknown", None),
    ({"stall": True}, "upstream_timeout", "outcome_unknown", None),
]


@pytest.mark.parametrize(("faults", "code", "ran", "count"), ENGINES)
async def test_what_is_said_when_an_engine_fails(faults, code, ran, count):
    """The only engine refuses, is gone, fails, or falls silent.

    The first two prove that nothing ran.  After the others nobody can
    know, and the answer says so.
    """
    failing = plan(max_tries=1)
    if faults == "gone":
        failing.document["upstreams"] = [GONE]
    async with fleets.running(failing) as fleet:
        if faults != "gone":
            await fleet.put_faults("engine-0", **faults)
        hurried = AUTHORIZED | {"X-Deadline-S": "2"}
        error = await refusal(fleet, COMPLETIONS, GOOD, hurried)
        if faults == "gone" and error["code"] == "no_upstream":
            # The load poll noticed first.
            code = "no_upstream"
        assert (error["code"], error["ran"]) == (code, ran), error
        if count is not None:
            assert len(await fleet.runs()) == count


async def test_not_run_is_not_said_after_a_try_that_may_have_run():
    """The only engine dies of a request, and then none is left to try.

    Whatever refuses the request in the end, the first try makes "not run"
    untrue.
    """
    async with fleets.running(plan(max_tries=3)) as fleet:
        await fleet.put_faults("engine-0", crash_marker=GOOD["prompt"])
        error = await refusal(fleet, COMPLETIONS, GOOD, AUTHORIZED)
        assert error["ran"] == "outcome_unknown", error


class Nowhere(model_call.ModelCall):
    """A call for which no engine is found."""

    async def _place(self):
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM, "none is left", step="place"
        )


@pytest.mark.parametrize(
    ("before", "ran"),
    [(False, errors.Ran.NOT_RUN), (True, errors.Ran.UNKNOWN)],
)
async def test_no_place_after_a_try(before, ran):
    call = Nowhere(exchange=None, sink=None, order=None, may_have_run=before)
    with pytest.raises(errors.RudderError) as caught:
        await call._placed()
    assert caught.value.ran is ran


async def test_a_router_without_configuration_runs_nothing():
    unready = plan()
    async with fleets.running(unready) as fleet:
        await fleet.put_faults("platform", mode="down")
        router = await alone(fleet)
        async with fleet.session.post(
            f"{router.url}{COMPLETIONS}", json=GOOD, headers=AUTHORIZED
        ) as response:
            error = (await response.json())["error"]
        assert (error["code"], error["ran"]) == ("not_configured", "not_run")
        assert await fleet.runs() == []


async def alone(fleet):
    """Start a router that knows no others, and do not wait for it."""
    fleet.routers.clear()
    until_ready = fleets.Fleet._until_ready
    fleets.Fleet._until_ready = lambda self, router: asyncio.sleep(0)
    try:
        return await fleet.start_router()
    finally:
        fleets.Fleet._until_ready = until_ready


def test_every_code_of_a_refused_request_is_shown():
    shown = {code for *_, code in INPUT} | {code for _, code, *_ in ENGINES}
    shown |= {"unknown_stream", "store_unavailable", "queue_full"}
    shown |= {"deadline_unmet", "limit_exceeded", "not_configured"}
    # Its decision's table has both what it may say.
    shown |= {"retry_budget_spent"}
    # Shown where a registry's engines lag behind new weights.
    shown |= {"weights_too_old"}
    known = shown | set(ELSEWHERE) | NOT_FOR_CALLERS
    assert {code.value for code in errors.Code} == known
