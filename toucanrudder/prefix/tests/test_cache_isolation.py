import json

import tenacity

from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

#: Two full blocks each, so that they can be cached.
PROMPTS = ("interlock status of cell 7 " * 700, "gripper part check " * 900)
FULL_BLOCKS_TOKENS = 4000
EXPECTED_TOKENS_METRIC = "toucanrudder_expected_hit_tokens_total"
ENGINE = "engine-0"


async def cached_tokens(fleet, prompt, organisation=fleets.ORGANISATIONS[0]):
    body = {"model": fleets.MODEL, "prompt": prompt, "max_tokens": 2}
    answers = []

    async def is_answered():
        async with fleet.session.post(
            f"{fleet.routers[0].url}/v1/completions",
            json=body,
            headers=fleets.authorization(organisation),
        ) as response:
            answers.append(await response.json())
            # The router may still have a report with the state "loading".
            assert response.status in (200, 503)
            return response.status == 200

    await control.until(is_answered)
    return answers[-1]["usage"]["prompt_tokens_details"]["cached_tokens"]


async def expected_tokens(fleet):
    """Return the tokens that the router has expected to be cached so far."""
    url = f"{fleet.routers[0].admin_url}/metrics"
    async with fleet.session.get(url) as response:
        page = await response.text()
    return sum(
        float(line.split()[-1])
        for line in page.splitlines()
        if line.startswith(EXPECTED_TOKENS_METRIC)
    )


async def wait_for_reports(fleet):
    """Wait until the router has load reports of all upstreams."""
    operator = control.Operator(fleet.session, fleet.routers[0])

    async def are_reported():
        status = await operator.get("/status")
        return all(upstream["incarnation"] for upstream in status["upstreams"])

    await control.until(are_reported)


async def warm_up(fleet):
    for prompt in PROMPTS:
        assert await cached_tokens(fleet, prompt) == 0
        assert await cached_tokens(fleet, prompt) == FULL_BLOCKS_TOKENS
    expected = await expected_tokens(fleet)
    assert expected == 2 * FULL_BLOCKS_TOKENS
    return expected


async def assert_no_import(fleet):
    assert (await fleet.journal(ENGINE))["imports"] == []


async def test_engine_restarted_between_decision_and_dispatch():
    """An engine restarts with an empty cache before a router notices.

    The router's last load report is of the dead process, and it places the
    first prompt by that one's cache.  The answer comes from the new process.
    From then on no block of the dead process may be expected, although no
    newer report has arrived.
    """
    plan = fleets.Plan(settings={"upstreams": {"load_interval_s": 8}})
    async with fleets.running(plan) as fleet:
        await wait_for_reports(fleet)
        await warm_up(fleet)
        await fleet.upstreams[ENGINE].kill()
        await fleet.start_upstream("engine", ENGINE)
        assert await cached_tokens(fleet, PROMPTS[0]) == 0
        expected = await expected_tokens(fleet)
        assert await cached_tokens(fleet, PROMPTS[1]) == 0
        assert await expected_tokens(fleet) == expected
        await assert_no_import(fleet)


async def test_two_organisations_with_byte_equal_prompts():
    """Two organisations send the same bytes to the same engine.

    The second must not be served from the first one's cached blocks, which
    would disclose what the first has asked, nor be placed as if it were.
    """
    async with fleets.running() as fleet:
        await wait_for_reports(fleet)
        expected = await warm_up(fleet)
        other = fleets.ORGANISATIONS[1]
        assert await cached_tokens(fleet, PROMPTS[0], other) == 0
        assert await expected_tokens(fleet) == expected
        assert (
            await cached_tokens(fleet, PROMPTS[0], other) == FULL_BLOCKS_TOKENS
        )
        await assert_no_import(fleet)


async def test_weights_changed_while_prompts_are_cached():
    """An operator replaces the weights while prompts are cached.

    The engine process continues with new weights.  A request placed or
    answered by blocks of the old ones would mix the computations of two
    models.  The event that the engine's cache is empty arrives late, as
    cache events may.
    """
    plan = fleets.Plan(engine_options={"event_lag_s": 60})
    async with fleets.running(plan) as fleet:
        await wait_for_reports(fleet)
        expected = await warm_up(fleet)
        await load_weights(fleet, "w2")
        models = [{"name": fleets.MODEL, "weights_version": "w2"}]
        document = fleet.document() | {"models": models}
        operator = control.Operator(fleet.session, fleet.routers[0])
        assert (await operator.apply(document, 1))[0] == 200
        assert await cached_tokens(fleet, PROMPTS[0]) == 0
        assert await expected_tokens(fleet) == expected
        assert await cached_tokens(fleet, PROMPTS[0]) == FULL_BLOCKS_TOKENS
        await assert_no_import(fleet)


async def load_weights(fleet, version):
    url = fleet.upstreams[ENGINE].url
    order = {
        "order_id": "1",
        "fencing": 1,
        "kind": "load_weights",
        "model": fleets.MODEL,
        "weights_version": version,
    }
    async with fleet.session.post(f"{url}/orders", json=order) as response:
        response.raise_for_status()
    async for attempt in tenacity.AsyncRetrying(
        retry=tenacity.retry_if_exception_type(AssertionError),
        stop=tenacity.stop_after_delay(30),
        wait=tenacity.wait_fixed(0.02),
        reraise=True,
    ):
        with attempt:
            async with fleet.session.get(f"{url}/load") as response:
                report = json.loads(await response.text())
            assert report["models"][fleets.MODEL] == version
            assert report["state"] == "live"
