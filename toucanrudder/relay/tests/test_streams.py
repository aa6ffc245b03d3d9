import asyncio
import hashlib
import itertools
import signal

import pytest
import pytest_asyncio

from toucanrudder.standins import output
from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets
from toucanrudder.testing import proxy

pytestmark = pytest.mark.asyncio(loop_scope="module")

TOKENS = 4
LAST = TOKENS + 2
CONNECTION_FAULTS = (
    proxy.Action.CUT,
    proxy.Action.FREEZE,
    proxy.Action.DELAY,
)
EVENT_FAULTS = (
    "crossed_event",
    "duplicated_event",
    "skipped_event",
    "cut_after_event",
    "end_after_event",
    "stall_after_event",
)
_numbers = itertools.count(1)


def _body():
    """Return a body with a unique answer."""
    prompt = f"interlock of cell {next(_numbers)}"
    return {"model": "demo", "prompt": prompt, "max_tokens": TOKENS}


def _assert_complete(answer, body):
    assert answer.end is callers.End.DONE, (answer.error, answer.numbers)
    assert answer.numbers == list(range(1, LAST + 1))
    assert answer.text == output.expected_text("/v1/completions", body)
    assert answer.finish_reasons == ["stop"]


async def _runs_of(fleet, body):
    digest = hashlib.sha256(body["prompt"].encode()).hexdigest()
    runs = await fleet.runs()
    return [run for run in runs if run["prompt_sha256"] == digest]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    plan = fleets.Plan(
        engines=2,
        routers=2,
        engine_options={"decode_s_per_token": 0.02},
    )
    async with fleets.running(plan) as fleet:
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def faults(fleet):
    """Set a fault on all engines until the test ends."""

    async def put(**named):
        for name in fleet.upstreams:
            await fleet.put_faults(name, **named)

    yield put
    for name, process in fleet.upstreams.items():
        fleet.proxies[name].rules.clear()
        if process.process.returncode is not None:
            await fleet.start_upstream("engine", name)
        await fleet.put_faults(name)


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize("after", range(LAST))
@pytest.mark.parametrize("action", CONNECTION_FAULTS)
async def test_connection_fault_at_each_event(
    fleet, faults, action, after, partial
):
    """The router's connection to the engine breaks, stalls or pauses after
    `after` events, or in the middle of the next one.  The router reconnects
    and resumes after the last event.  The caller gets one complete stream,
    and the engine runs the request once.
    """
    body = _body()
    rules = [
        proxied.add(
            proxy.Rule(action, b"POST /v1/c", after, partial, delay_s=0.7)
        )
        for proxied in fleet.proxies.values()
    ]
    answer = await callers.stream(fleet.session, fleet.routers[0].url, body)
    assert sum(rule.struck for rule in rules) == 1
    _assert_complete(answer, body)
    assert len(await _runs_of(fleet, body)) == 1


@pytest.mark.parametrize("event", range(1, LAST + 1))
@pytest.mark.parametrize("fault", EVENT_FAULTS)
@pytest.mark.parametrize("streamed", [True, False])
async def test_event_fault_at_each_event(
    fleet, faults, streamed, fault, event
):
    """An event is duplicated, missing or from another answer, or the answer
    ends early, breaks or stalls.  The router detects this by the numbers
    and IDs in the events and resumes after the last valid event.  The
    caller gets one complete answer.
    """
    body = _body()
    await faults(**{fault: event})
    url = fleet.routers[0].url
    if streamed:
        answer = await callers.stream(fleet.session, url, body)
        _assert_complete(answer, body)
    else:
        status, answer = await callers.whole(fleet.session, url, body)
        assert status == 200
        (choice,) = answer["choices"]
        expected = output.expected_text("/v1/completions", body)
        assert (choice["text"], choice["finish_reason"]) == (expected, "stop")
    assert len(await _runs_of(fleet, body)) == 1


@pytest.mark.parametrize("event", range(1, LAST))
async def test_engine_crash_is_continued_elsewhere(fleet, faults, event):
    """The engine dies after event `event`.  The router sends the text so
    far to the other engine, which continues with the next event; the caller
    gets one complete stream.
    """
    body = _body()
    await faults(crash_after_event=event)
    answer = await callers.stream(fleet.session, fleet.routers[0].url, body)
    _assert_complete(answer, body)
    (run,) = await _runs_of(fleet, body)
    assert run["after"] == event


async def test_crash_after_the_first_tokens_deadline(fleet, faults):
    """The engine dies after the caller's first-token deadline.  The first
    token was in time, so the deadline no longer applies, and the stream is
    continued.
    """
    deadline_s = 3.0
    body = _body() | {"max_tokens": 400}
    reading = asyncio.ensure_future(
        callers.stream(
            fleet.session,
            fleet.routers[0].url,
            body,
            headers={"X-Deadline-S": str(deadline_s)},
        )
    )
    await asyncio.sleep(deadline_s)
    (run,) = await _runs_of(fleet, body)
    await fleet.upstreams[run["upstream"]].kill()
    answer = await reading
    assert answer.end is callers.End.DONE, answer.error
    assert answer.numbers == list(range(1, 403))
    assert answer.text == output.expected_text("/v1/completions", body)


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("event", range(1, LAST))
async def test_incomplete_answer_never_looks_complete(event, streamed):
    """The only engine dies after event `event` and none can continue.  The
    caller gets an explicit error, never a clean end or a shorter answer.
    """
    async with fleets.running(fleets.Plan()) as fleet:
        await fleet.put_faults("engine-0", crash_after_event=event)
        url = fleet.routers[0].url
        if streamed:
            answer = await callers.stream(fleet.session, url, _body())
            assert answer.end is callers.End.ERROR
            error = answer.error
        else:
            status, answer = await callers.whole(fleet.session, url, _body())
            assert status >= 500
            error = answer["error"]
        assert error["code"]
        assert error["ran"] == "outcome_unknown"


@pytest.mark.parametrize("event", range(1, LAST))
@pytest.mark.parametrize("alive", [False, True])
async def test_caller_resumes_at_another_router(fleet, faults, event, alive):
    """The caller's stream breaks after event `event`, because its router
    was killed or (`alive`) only their connection was cut.  The caller
    resumes at another router with the token and the last number and gets
    the rest, even if the first router notices the disconnect late.
    """
    body = _body() | {"max_tokens": TOKENS}
    router = await fleet.start_router()
    async with proxy.proxied(router.address) as proxied:
        proxied.add(proxy.Rule(proxy.Action.CUT, b"POST", event))
        url = f"http://{proxied.address}"
        reading = asyncio.ensure_future(
            callers.stream(
                fleet.session, url, body, stop_after=None if alive else event
            )
        )
        answer = await reading
        assert answer.end is callers.End.BROKEN
        assert answer.numbers == list(range(1, event + 1))
        if not alive:
            router.process.signal(signal.SIGKILL)
            await router.process.wait()
        rest = await callers.resume(
            fleet.session, fleet.routers[0].url, answer
        )
        whole = callers.Streamed(
            numbers=answer.numbers + rest.numbers,
            text=answer.text + rest.text,
            finish_reasons=answer.finish_reasons + rest.finish_reasons,
            end=rest.end,
        )
        _assert_complete(whole, body)
    await router.process.kill()
    assert len(await _runs_of(fleet, body)) == 1


async def test_resume_is_for_its_organisation_only(fleet, faults):
    """Another organisation cannot use the token."""
    answer = await callers.stream(
        fleet.session, fleet.routers[0].url, _body(), stop_after=1
    )
    other = await callers.resume(
        fleet.session, fleet.routers[1].url, answer, fleets.ORGANISATIONS[1]
    )
    assert (other.status, other.error["code"]) == (404, "unknown_stream")


async def test_answer_begun_before_the_first_load_report_is_continued():
    """The software that began it is learned from a later report."""
    plan = fleets.Plan(
        engines=2,
        engine_options={"decode_s_per_token": 0.8, "software_version": "1"},
        # Reports come while the answer goes on, but not before it.
        settings={"upstreams": {"load_interval_s": 2, "silent_event_s": 9}},
    )
    async with fleets.running(plan) as fleet:
        for name in fleet.upstreams:
            await fleet.put_faults(name, crash_after_event=2)
        body = _body() | {"max_tokens": 4}
        answer = await callers.stream(
            fleet.session, fleet.routers[0].url, body
        )
        dead = [
            name
            for name, upstream in fleet.upstreams.items()
            if upstream.process.returncode is not None
        ]
    assert len(dead) == 1
    assert answer.end is callers.End.DONE, answer.error


@pytest.mark.parametrize("third", ["1", "2"])
async def test_crashed_engine_is_not_continued_by_other_software(third):
    """Only an engine of the software that began the answer continues it."""
    plan = fleets.Plan(
        engines=3,
        engine_options={"decode_s_per_token": 0.02},
        own_options={
            "engine-0": {"software_version": "1"},
            "engine-1": {"software_version": "2"},
            "engine-2": {"software_version": third},
        },
    )
    async with fleets.running(plan) as fleet:
        for name in fleet.upstreams:
            await fleet.put_faults(name, crash_after_event=2)
        body = _body()
        answer = await callers.stream(
            fleet.session, fleet.routers[0].url, body
        )
        dead = {
            name
            for name, upstream in fleet.upstreams.items()
            if upstream.process.returncode is not None
        }
        runs = await _runs_of(fleet, body)
    versions = {
        plan.own_options[name]["software_version"]
        for name in dead | {run["upstream"] for run in runs}
    }
    assert len(versions) == 1
    sources = [name for name in plan.own_options if name not in dead]
    has_twin = versions & {
        plan.own_options[name]["software_version"] for name in sources
    }
    assert (answer.end is callers.End.DONE) == bool(has_twin)
