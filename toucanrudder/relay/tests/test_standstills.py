"""Streams while routers and engines are stopped for a while."""

import asyncio
import signal

import pytest

from toucanrudder.standins import output
from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

TOKENS = 60
STOPPED_S = 3.5

STOPPED = {
    "the router": ("router",),
    "the engines": ("engine",),
    "router and engines": ("router", "engine"),
}


@pytest.mark.parametrize("kinds", STOPPED.values(), ids=STOPPED.keys())
async def test_stream_is_whole_after_a_standstill(kinds):
    plan = fleets.Plan(
        engines=2, routers=1, engine_options={"decode_s_per_token": 0.03}
    )
    body = {"model": "demo", "prompt": "still", "max_tokens": TOKENS}
    async with fleets.running(plan) as fleet:
        processes = []
        if "router" in kinds:
            processes += [router.process for router in fleet.routers]
        if "engine" in kinds:
            processes += fleet.upstreams.values()
        streaming = asyncio.ensure_future(
            callers.stream(fleet.session, fleet.routers[0].url, body)
        )
        await asyncio.sleep(0.6)
        for process in processes:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        for process in processes:
            process.signal(signal.SIGCONT)
        answer = await streaming
        runs = await fleet.runs()
    assert answer.end is callers.End.DONE
    assert answer.text == output.expected_text("/v1/completions", body)
    assert len(runs) == 1
