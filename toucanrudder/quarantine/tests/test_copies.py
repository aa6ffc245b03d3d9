import asyncio

from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

MARKER = "poison"
ROUTERS = 4


async def test_copies_at_several_routers_at_one_moment():
    """A caller sends the request that crashes engines to four routers at
    once, and again after each answer.

    No router knows of a crash when it places its copy.  Since ties fall
    alike for equal bodies, the copies meet at one engine; the trial that
    follows takes the second, and no third one dies.
    """
    plan = fleets.Plan(engines=5, routers=ROUTERS)
    async with fleets.running(plan) as fleet:
        for name in fleet.upstreams:
            await fleet.put_faults(name, crash_marker=MARKER)
        body = {"model": fleets.MODEL, "prompt": MARKER, "max_tokens": 4}
        for _ in range(3):
            answers = await asyncio.gather(
                *(
                    callers.stream(fleet.session, router.url, body)
                    for router in fleet.routers
                )
            )
        dead = [
            name
            for name, process in fleet.upstreams.items()
            if process.process.returncode is not None
        ]
        assert len(dead) == 2
        assert {each.error["code"] for each in answers} == {"quarantined"}
