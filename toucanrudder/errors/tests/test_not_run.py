"""Promise 5: a request refused as "not run" was not run by any upstream."""

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
LIMITED = fleets.authorization("birch")

#: Codes of refused requests that other test modules cover.
TESTED_ELSEWHERE = {
    "idempotency_key_reused": "test_service_runs",
    "already_started": "test_service_runs",
    "outcome_unknown": "test_keeper",
    "already_done": "test_keeper",
    "claim_expired": "test_service_runs",
    "body_too_slow": "test_bad_callers",
    "stream_broken": "test_streams",
    "stream_origin_unknown": "test_software_versions",
    "stream_software_gone": "test_software_versions",
    "upstream_crossed_answer": "test_own_answers",
    "quarantined": "test_poison_fleet",
    "crashed_upstreams": "test_crashing_parts",
}

#: Codes of operators' calls and of the routers' internal operations; no
#: caller's request is refused with them.
NOT_FOR_CALLERS = {
    "config_invalid",
    "config_conflict",
    "settings_invalid",
    "lease_lost",
    "order_fenced",
    "peer_refused",
    "not_found",
    # Routers that are stopping still serve incoming requests.
    "stopping",
    # Unexpected error; the guard reports that the outcome is unknown.
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


async def test_invalid_requests_run_nowhere():
    async with fleets.running(plan()) as fleet:
        for path, body, headers, code in INPUT:
            await check(fleet, path, body, headers, code)
        url = f"{fleet.routers[0].url}/v1/streams/none"
        async with fleet.session.get(url, headers=AUTHORIZED) as response:
            error = (await response.json())["error"]
        assert (error["code"], error["ran"]) == ("unknown_stream", "not_run")
        assert await fleet.runs() == []


async def test_unplaceable_requests_run_nowhere():
    """Requests that cannot be placed are refused as not run.

    The store is down, the service has failed, the queue is full, or the
    deadline cannot be met.
    """
    async with fleets.running(plan(max_tries=1)) as fleet:
        # The store is tested first: once the service has failed, requests are
        # refused for that reason instead.
        await fleet.put_faults("platform", mode="down", kind="claims")
        await check(fleet, BOOKINGS, b"", KEYED, "store_unavailable")
        await fleet.put_faults("platform", mode="ok")
        await fleet.put_faults("service-0", fail="before")
        await check(fleet, BOOKINGS, b"", KEYED, "no_upstream")
        assert (await fleet.journal("service-0"))["runs"] == []
        await fleet.put_faults("engine-0", stall=True)
        requests = [
            asyncio.ensure_future(
                refusal(fleet, COMPLETIONS, GOOD, AUTHORIZED)
            )
            for _ in range(18)
        ]
        first_error = {}

        async def refused():
            done = [request for request in requests if request.done()]
            first_error.update(done[0].result() if done else {})
            return bool(done)

        await control.until(refused)
        assert (first_error["code"], first_error["ran"]) == (
            "queue_full",
            "not_run",
        )
        late = GOOD | {"prompt": "hurry"}
        short_deadline = AUTHORIZED | {"X-Deadline-S": "0.001"}
        await check(fleet, COMPLETIONS, late, short_deadline, "deadline_unmet")
        assert await runs_of(fleet, late) == 0
        for request in requests:
            request.cancel()
        await asyncio.gather(*requests, return_exceptions=True)


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
        await check(fleet, "/services/no/x", b"", LIMITED, "unknown_service")
        await check(fleet, COMPLETIONS, GOOD, LIMITED, "limit_exceeded")
        assert await fleet.runs() == []


#: Engine at whose address nothing listens.
UNREACHABLE_ENGINE = {
    "name": "engine-0",
    "kind": "engine",
    "address": "127.0.0.1:1",
    "zone": "zone-a",
    "pool": "llm",
    "models": [fleets.MODEL],
}

ENGINES = [
    # faults of the only engine, code, reported execution, number of runs
    ({"refuse": True}, "no_upstream", "not_run", 0),
    ("gone", "upstream_not_reached", "not_run", 0),
    ({"fail_every": 1}, "upstream_failed", "outcome_unknown", None),
    ({"stall": True}, "upstream_timeout", "outcome_unknown", None),
]


@pytest.mark.parametrize(("faults", "code", "ran", "count"), ENGINES)
async def test_error_when_the_only_engine_fails(faults, code, ran, count):
    """The only engine refuses, is unreachable, fails, or stalls.

    The first two prove that nothing ran.  After the others this is
    unknown, and the error must say so.
    """
    failing = plan(max_tries=1)
    if faults == "gone":
        failing.document["upstreams"] = [UNREACHABLE_ENGINE]
    async with fleets.running(failing) as fleet:
        if faults != "gone":
            await fleet.put_faults("engine-0", **faults)
        with_deadline = AUTHORIZED | {"X-Deadline-S": "2"}
        error = await refusal(fleet, COMPLETIONS, GOOD, with_deadline)
        if faults == "gone" and error["code"] == "no_upstream":
            # The load poll found the engine unreachable first.
            code = "no_upstream"
        assert (error["code"], error["ran"]) == (code, ran), error
        if count is not None:
            assert len(await fleet.runs()) == count


async def test_not_run_is_not_reported_after_an_attempt_that_may_have_run():
    """The request crashes the only engine, and none is left to retry on.

    Whatever the final refusal, "not run" would be false, because the first
    attempt may have run.
    """
    async with fleets.running(plan(max_tries=3)) as fleet:
        await fleet.put_faults("engine-0", crash_marker=GOOD["prompt"])
        error = await refusal(fleet, COMPLETIONS, GOOD, AUTHORIZED)
        assert error["ran"] == "outcome_unknown", error


class UnplaceableCall(model_call.ModelCall):
    """Model call for which there is no engine."""

    async def _place(self):
        raise errors.RudderError(
            errors.Code.NO_UPSTREAM, "none is left", step="place"
        )


@pytest.mark.parametrize(
    ("may_have_run", "ran"),
    [(False, errors.Ran.NOT_RUN), (True, errors.Ran.UNKNOWN)],
)
async def test_refusal_without_an_engine_after_an_attempt(may_have_run, ran):
    call = UnplaceableCall(
        exchange=None, sink=None, sequencer=None, may_have_run=may_have_run
    )
    with pytest.raises(errors.RudderError) as caught:
        await call._place_with_outcome()
    assert caught.value.ran is ran


async def test_a_router_without_configuration_runs_nothing():
    unready = plan()
    async with fleets.running(unready) as fleet:
        await fleet.put_faults("platform", mode="down")
        router = await start_isolated_router(fleet)
        async with fleet.session.post(
            f"{router.url}{COMPLETIONS}", json=GOOD, headers=AUTHORIZED
        ) as response:
            error = (await response.json())["error"]
        assert (error["code"], error["ran"]) == ("not_configured", "not_run")
        assert await fleet.runs() == []


async def start_isolated_router(fleet):
    """Start a router without peers and do not wait until it is ready."""
    fleet.routers.clear()
    until_ready = fleets.Fleet._until_ready
    fleets.Fleet._until_ready = lambda self, router: asyncio.sleep(0)
    try:
        return await fleet.start_router()
    finally:
        fleets.Fleet._until_ready = until_ready


def test_every_code_of_a_refused_request_is_tested():
    tested = {code for *_, code in INPUT} | {code for _, code, *_ in ENGINES}
    tested |= {"unknown_stream", "store_unavailable", "queue_full"}
    tested |= {"deadline_unmet", "limit_exceeded", "not_configured"}
    # The decision table of retries covers both of its outcomes.
    tested |= {"retry_budget_spent"}
    # Tested with crowds of clients.
    tested |= {"memory_full"}
    # Tested with engines that lag behind new weights.
    tested |= {"weights_too_old"}
    known = tested | set(TESTED_ELSEWHERE) | NOT_FOR_CALLERS
    assert {code.value for code in errors.Code} == known
