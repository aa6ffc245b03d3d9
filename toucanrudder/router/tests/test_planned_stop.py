import asyncio
import signal

import aiohttp
import pytest

from toucanrudder.standins import output
from toucanrudder.testing import callers
from toucanrudder.testing import control
from toucanrudder.testing import fleet as fleets

ROUTES = [{"method": "POST", "path_prefix": "/", "repeatable": False}]
TOKENS = 40


def plan(routers, service_s=0.5):
    return fleets.Plan(
        engines=2,
        services=1,
        routers=routers,
        routes=ROUTES,
        # Few slots, so that many requests are queued at the stop.
        engine_options={"decode_s_per_token": 0.02},
        service_options={"delay_s": service_s},
        # Must exceed the lag of the balancer's readiness checks.
        settings={"router": {"drain_s": 2.0}},
    )


def body(number):
    return {
        "model": fleets.MODEL,
        "prompt": f"cue sheet {number}",
        "max_tokens": TOKENS,
    }


class Balancer:
    """Load balancer that picks ready routers in turn."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.routers = list(fleet.routers)
        self._turn = 0

    async def ready_url(self):
        """Return the URL of a ready router; skip routers that are gone."""
        for _ in range(1000):
            self._turn += 1
            router = self.routers[self._turn % len(self.routers)]
            try:
                async with self._fleet.session.get(
                    f"{router.url}/readyz"
                ) as response:
                    if response.status == 200:
                        return router.url
            except aiohttp.ClientConnectorError:
                pass
            await asyncio.sleep(0.01)
        raise AssertionError("no router is ready")


async def check_stream(fleet, url, number):
    answer = await callers.stream(fleet.session, url, body(number))
    expected = output.expected_text("/v1/completions", body(number))
    assert answer.end is callers.End.DONE, answer
    assert answer.text == expected
    return answer


async def book(fleet, url, number):
    async with fleet.session.post(
        f"{url}/services/desk/bookings",
        data=b"x",
        headers=fleets.authorization() | {"Idempotency-Key": f"k{number}"},
    ) as answer:
        assert answer.status == 200, await answer.text()
        await answer.read()


async def test_a_stop_under_load_cuts_no_request():
    """SIGTERM arrives while long streams run, others wait in the queue, a
    booking is at the service, and callers keep idle connections open.

    All requests get their whole answers, and so does a request that arrives
    on a keep-alive connection right after the signal.  Then the router
    exits with 0.
    """
    async with fleets.running(plan(routers=1)) as fleet:
        router = fleet.routers[0]
        # Leaves an idle keep-alive connection open.
        await callers.whole(fleet.session, router.url, body(-1))
        calls = [
            asyncio.ensure_future(check_stream(fleet, router.url, number))
            for number in range(60)
        ]
        calls.append(asyncio.ensure_future(book(fleet, router.url, 0)))

        async def running():
            runs = await fleet.runs()
            return len(runs) >= 10 and any("service" in r for r in runs)

        await control.until(running)
        stopped = asyncio.ensure_future(router.process.stop())
        calls.append(
            asyncio.ensure_future(check_stream(fleet, router.url, 1000))
        )
        await asyncio.gather(*calls)
        assert await stopped == 0, router.process.stderr()


async def test_replacing_all_routers_in_turn_cuts_no_request():
    """Three routers are replaced one after the other under steady load.

    The balancer sends new requests to routers that say they are ready.  No
    request is refused or cut, and each old router exits with 0.
    """
    async with fleets.running(plan(routers=3)) as fleet:
        balancer = Balancer(fleet)
        stop = asyncio.Event()
        completed = []

        async def caller(first):
            number = first
            while not stop.is_set():
                await check_stream(fleet, await balancer.ready_url(), number)
                await book(fleet, await balancer.ready_url(), number)
                completed.append(number)
                number += 100

        load = [asyncio.ensure_future(caller(n)) for n in range(8)]
        for old in list(fleet.routers):
            before = len(completed)
            balancer.routers.append(await control.start_router(fleet))
            status = await old.process.stop()
            assert status == 0, old.process.stderr()
            balancer.routers.remove(old)

            async def progressed(before=before):
                return len(completed) > before or any(
                    task.done() for task in load
                )

            await control.until(progressed)
        stop.set()
        await asyncio.gather(*load)
        assert len(completed) >= 3


@pytest.mark.parametrize("caller_leaves", [True, False])
async def test_a_stop_waits_for_a_running_booking(caller_leaves):
    """A booking's caller disconnects, and the router is told to stop.

    The run goes on, so that a resend gets its answer; a stop that did not
    wait would lose it.  The resend to another router gets the answer
    without a second run.
    """
    # Longer than anything else that a stop waits for.
    async with fleets.running(plan(routers=2, service_s=4.0)) as fleet:
        first, second = fleet.routers
        call = asyncio.ensure_future(book(fleet, first.url, 7))

        async def run_started():
            return len(await fleet.runs()) == 1

        await control.until(run_started)
        if caller_leaves:
            call.cancel()
        assert await first.process.stop() == 0
        if not caller_leaves:
            await call
        await book(fleet, second.url, 7)
        assert len(await fleet.runs()) == 1


#: Time for which the router waits for open requests, and what its service
#: manager allows beyond.
STOP_TIMEOUT_S = 4.0
MANAGER_MARGIN_S = 0.5


async def send_late(fleet, number, ends):
    """Send a booking on a new connection; note how it ends."""
    url = f"{fleet.routers[0].url}/services/desk/bookings"
    headers = fleets.authorization() | {
        "Idempotency-Key": f"late{number}",
        "X-Request-Id": f"late{number}",
        "Connection": "close",
    }
    try:
        async with fleet.session.post(
            url, data=b"x", headers=headers
        ) as answer:
            await answer.read()
            ends[f"late{number}"] = answer.status
    except aiohttp.ClientConnectorError:
        ends[f"late{number}"] = "refused"
    except aiohttp.ClientError:
        ends[f"late{number}"] = "cut"


@pytest.mark.parametrize("service_s", [0.8, 30.0])
async def test_no_request_is_cut_at_the_end_of_a_stop(service_s):
    """Guards against requests that are taken late and cut by the end."""
    stopping = plan(routers=1, service_s=service_s)
    stopping.settings["router"] |= {
        "drain_s": 0.5,
        "stop_timeout_s": STOP_TIMEOUT_S,
    }
    service = {"name": "desk", "routes": ROUTES, "timeout_s": 1.5}
    if service_s > 1.5:
        service["timeout_s"] = 60.0
    stopping.document = {"services": [service]}
    ends, tasks = {}, []
    async with fleets.running(stopping) as fleet:
        process = fleet.routers[0].process
        loop = asyncio.get_running_loop()
        until_s = loop.time() + STOP_TIMEOUT_S + MANAGER_MARGIN_S
        process.signal(signal.SIGTERM)
        while loop.time() < until_s:
            number = len(tasks)
            tasks.append(asyncio.ensure_future(send_late(fleet, number, ends)))
            await asyncio.sleep(0.05)
        await process.kill()
        await asyncio.gather(*tasks)
        runs = {
            run["request_id"]
            for run in (await fleet.journal("service-0"))["runs"]
        }
    assert runs
    assert not {name for name in runs if ends[name] == "cut"}
    # A refusal is a promise.
    assert not {name for name in runs if ends[name] == 503}
