import asyncio

import pytest

from toucanrudder.standins import output
from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

MARKER = "poison"
ENGINES = 5
RESENDS = 6
BYSTANDERS = 6


def _dead(fleet):
    return [
        name
        for name, process in fleet.upstreams.items()
        if process.process.returncode is not None
    ]


@pytest.mark.parametrize("proxied", [True, False])
async def test_poison_request_kills_two_engines_at_most(proxied):
    """A request crashes each engine that runs it, and its caller resends it,
    each time to another router.  Other requests run in the same batches.

    After the second crash the request is quarantined in all routers, and
    its caller gets a final error at once.  The other requests are answered
    and may be resent: none of them is quarantined.  This must hold when a
    dead engine refuses connections and when (`proxied`) a proxy in front of
    it accepts and then closes them.
    """
    plan = fleets.Plan(
        engines=ENGINES,
        routers=3,
        engine_options={"decode_s_per_token": 0.05},
        proxied=proxied,
        # So few requests earn no retries under the default ratio.
        document={"policy": {"retry_ratio": 1.0}},
    )
    async with fleets.running(plan) as fleet:
        for name in fleet.upstreams:
            await fleet.put_faults(name, crash_marker=MARKER)
        urls = [router.url for router in fleet.routers]
        bodies = [
            {"model": "demo", "prompt": f"innocent {n}", "max_tokens": 40}
            for n in range(BYSTANDERS)
        ]
        others = [
            asyncio.ensure_future(
                callers.stream(fleet.session, urls[n % 3], body)
            )
            for n, body in enumerate(bodies)
        ]
        async with asyncio.timeout(60):
            while len(await fleet.runs()) < BYSTANDERS:
                await asyncio.sleep(0.01)
        poison = {"model": "demo", "prompt": f"{MARKER} !", "max_tokens": 4}
        answers = []
        for number in range(RESENDS):
            answers.append(
                await callers.stream(fleet.session, urls[number % 3], poison)
            )
        assert len(_dead(fleet)) <= 2
        for answer in answers:
            assert answer.end is callers.End.ERROR, answer
        final = answers[-1]
        assert (final.status, final.error["code"]) == (422, "quarantined")
        for body, answer in zip(
            bodies, await asyncio.gather(*others), strict=True
        ):
            assert answer.end is callers.End.DONE, answer.error
            assert answer.text == output.expected_text("/v1/completions", body)
        for number, body in enumerate(bodies):
            answer = await callers.stream(
                fleet.session, urls[number % 3], body | {"max_tokens": 40}
            )
            assert answer.end is callers.End.DONE, answer.error
        assert len(_dead(fleet)) <= 2


async def test_message_that_crashes_engines_is_stopped_in_ever_new_chats():
    """Chats that share one message, and nothing else, crash each engine."""
    plan = fleets.Plan(
        engines=8, routers=3, document={"policy": {"retry_ratio": 1.0}}
    )
    async with fleets.running(plan) as fleet:
        for name in fleet.upstreams:
            await fleet.put_faults(name, crash_marker=MARKER)
        urls = [router.url for router in fleet.routers]

        async def chat(number, *contents):
            messages = [
                {"role": "user", "content": content}
                for content in (*contents, f"question {number}")
            ]
            return await callers.stream(
                fleet.session,
                urls[number % 3],
                {"model": "demo", "messages": messages, "max_tokens": 4},
                path="/v1/chat/completions",
            )

        answers = []
        for number in range(9):
            sound = await chat(number, "greeting")
            assert sound.end is callers.End.DONE, sound.error
            answers.append(await chat(number, "greeting", f"{MARKER} text"))
        assert len(_dead(fleet)) <= 5
        assert answers[-1].error["code"] == "quarantined"
