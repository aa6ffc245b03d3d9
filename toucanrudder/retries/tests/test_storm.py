import asyncio

from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

REQUESTS = 120
RATIO = 0.2
#: Retries that the budget holds besides: at the start and from elapsed time.
OTHER_RETRIES = 40


async def test_retries_stay_bounded_when_half_of_all_tries_fail():
    """Engines accept every second request and answer it with status 500.

    Retrying each failure up to three times would nearly double the load on
    the failing engines.  The budget keeps the number of tries close to the
    number of requests; callers whose requests are not retried are told that
    the outcome is unknown.  The tries are counted by the engines' journals.
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
        assert tries <= REQUESTS * (1 + RATIO) + OTHER_RETRIES
        print(f"{tries} tries for {REQUESTS} requests")
