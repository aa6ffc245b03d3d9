import asyncio

import aiohttp
import pytest

from toucanrudder.controllers import kv_transfer
from toucanrudder.document import model
from toucanrudder.placement import types
from toucanrudder.prefix import request_rates
from toucanrudder.standins import engine as engines
from toucanrudder.standins import platform as platforms
from toucanrudder.testing import callers
from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

KEYS = (b"a" * 16, b"b" * 16, b"c" * 16)
STORE = "prompt-vault"
SPEED = 5000.0


def decision(expected_tokens=0, incarnation="i1"):
    return types.Decision("e1", incarnation, expected_tokens, 0.0, "home")


def query(keys=KEYS):
    return types.Query("r", "acme", 1, keys, 6100, 10.0)


def controller(session=None, hot_keys=KEYS, router="r1", routers=("r1",)):
    hot = request_rates.PrefixRates()
    for number in range(20):
        hot.add(hot_keys, number * 0.1)
    return kv_transfer.KVTransferController(
        session, router, hot, lambda: routers, lambda: 2.0
    )


# Hot keys, placement decision, the engine's prefill rate, imported blocks.
IMPORTS = [
    (KEYS, decision(), SPEED, KEYS),
    (KEYS[:2], decision(), SPEED, KEYS[:2]),
    (KEYS[1:], decision(), SPEED, ()),
    (KEYS, decision(expected_tokens=4000), SPEED, KEYS[2:]),
    (KEYS, decision(expected_tokens=6000), SPEED, ()),
    (KEYS, decision(), 1e9, ()),
    (KEYS, decision(incarnation=""), SPEED, ()),
]


@pytest.mark.parametrize(("hot", "decided", "speed", "expected"), IMPORTS)
def test_blocks_to_import(hot, decided, speed, expected):
    plan = controller(hot_keys=hot).plan_import(decided, query(), speed, 2.0)
    assert (plan.blocks if plan else ()) == expected


def test_exactly_one_router_exports_a_hot_prefix():
    routers = [f"r{number}" for number in range(8)]
    exporting = [
        name
        for name in routers
        if controller(router=name, routers=routers).keys_to_export(KEYS, 2.0)
    ]
    assert len(exporting) == 1
    assert controller().keys_to_export((b"z" * 16,), 2.0) == ()


async def test_blocks_absent_from_the_store_are_not_requested_again():
    """Requests wait for imports of blocks that the store does not have.

    A hot prefix is presumed stored, but the store has only its first
    block.  After the first import, requests ask for that block alone.
    """
    async with (
        platforms.opened() as platform,
        engines.opened(name="e1", platform=platform.address) as engine,
        aiohttp.ClientSession() as session,
    ):
        platform.vaults[STORE] = {KEYS[0].hex()}
        transfer = controller(session)
        upstream = model.Upstream("e1", "engine", engine.address, "z", "p")
        plan = transfer.plan_import(decision(), query(), SPEED, 2.0)
        imported = await asyncio.gather(
            *(transfer.import_blocks(upstream, plan, STORE) for _ in range(3))
        )
        assert imported == [2000] * 3
        assert len(engine.imports) == 1
        next_plan = transfer.plan_import(decision(), query(), SPEED, 2.0)
        assert next_plan.blocks == KEYS[:1]


async def test_a_restarted_engine_imports_its_hot_prefix():
    """A restarted engine recomputes a hot prefix that is in the store.

    An engine crashes and returns with an empty cache.  The organisation's
    hot prefix was exported before, so its next prompt is served from the
    import; another organisation's prompt of the same text is not.
    """
    prompt = "general conditions apply. " * 1000
    body = {"model": fleets.MODEL, "prompt": prompt, "max_tokens": 2}
    plan = fleets.Plan(
        engine_options={"prefill_tokens_per_s": 2000},
        document={"policy": {"kv_store": STORE}},
    )
    async with fleets.running(plan) as fleet:
        plan.engine_options["platform"] = fleet.platform.address
        router = fleet.routers[0]

        async def ask(organisation):
            status, answer = await callers.whole(
                fleet.session, router.url, body, organisation=organisation
            )
            assert status == 200, answer
            return answer["usage"]["prompt_tokens_details"]["cached_tokens"]

        async def restart():
            await fleet.upstreams["engine-0"].kill()
            await fleet.start_upstream("engine", "engine-0")
            cold = fleet.upstreams["engine-0"]
            await control.until(lambda: _is_known(fleet, cold))

        await restart()

        async def exported():
            await ask("acme")
            return bool((await fleet.journal("engine-0"))["exports"])

        await control.until(exported)
        await restart()
        assert await ask("acme") == 6000
        assert await ask("birch") == 0


async def _is_known(fleet, process):
    url = f"{process.url}/load"
    async with fleet.session.get(url) as response:
        incarnation = (await response.json())["incarnation"]
    operator = control.Operator(fleet.session, fleet.routers[0])
    status = await operator.get("/status")
    return any(
        upstream["incarnation"] == incarnation
        for upstream in status["upstreams"]
    )
