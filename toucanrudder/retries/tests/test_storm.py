import asyncio

from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

REQUESTS = 120
RATIO = 0.2
#: What the budget may hold besides: saved up at the start, and by time.
ALLOWANCE = 40


async def test_half_of_all_tries_fail_and_no_storm_follows():
    """Engines answer every second request with 500 after they took it.

    Each failure retried up to three times would nearly double the load on
    engines that are failing under it.  The budget keeps the tries close to
    the requests; the callers it gives up on are told that the outcome is
    unknown.  The engines' own journals count the tries.
    """
    plan = fleets.Plan(
        engines=3,
        document={"policy": {"retry_ratio": RATIO, "max_tries": 3}},
    )
    async with fleets.running(plan) as fleet:
        for name in fleet.upstreams:
            await fleet.put_faults(name, fail_every=2)
        url = fleet.routers[0].url
        for start in range(0, REQUESTS, 20):
            answers = await asyncio.gather(
                *(
                    callers.whole(
                        fleet.session,
                        url,
                        {
                            "model": fleets.MODEL,
                            "prompt": f"question {number}",
                            "max_tokens": 1,
                        },
                    )
                    for number in range(start, start + 20)
                )
            )
            for status, body in answers:
                if status != 200:
                    assert body["error"]["ran"] == "outcome_unknown", body
        tries = len(await fleet.runs())
        assert tries <= REQUESTS * (1 + RATIO) + ALLOWANCE
        print(f"{tries} tries for {REQUESTS} requests")
