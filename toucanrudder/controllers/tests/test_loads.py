"""Polls of load reports that fail in unexpected ways."""

import asyncio
import contextlib
import json
import random
from unittest import mock

import aiohttp
from aiohttp import web
import pytest

from toucanrudder import clock
from toucanrudder.controllers import loads as controllers
from toucanrudder.document import model
from toucanrudder.testing.virtual import timing
from toucanrudder.upstreams import loads

INTERVAL_S = 0.5

#: Two steps of the controller after the first.  At that time the poll, which
#: has slept longer than the controller, is resumed first.
FAULT_S = INTERVAL_S


def _controller(session, upstreams, table, interval_s=INTERVAL_S):
    return controllers.LoadController(
        session,
        table,
        upstreams,
        interval_s,
        on_restart=lambda name, incarnation: None,
        presumed_dead=lambda name, incarnation: False,
        on_alive=lambda name, incarnation: None,
        rng=random.Random(1),
        clock=clock.now_s,
    )


def _upstream(name, address):
    return model.Upstream(name, "engine", address, "z", "p")


class StubSession:
    """A client session that serves load reports; the first poll fails."""

    def __init__(self):
        self.is_first = True

    @contextlib.asynccontextmanager
    async def get(self, url, **options):
        if self.is_first:
            self.is_first = False
            await asyncio.sleep(FAULT_S)
            raise RuntimeError("fault")
        report = json.dumps({"name": url, "incarnation": "i"}).encode()
        response = mock.MagicMock(status=200, content_length=len(report))
        response.content.iter_any().__aiter__.return_value = [report]
        yield response


def test_all_upstreams_are_polled_again_after_a_restart():
    """A healthy upstream is never polled again and counts as failed.

    A poll fails with an unexpected error when other polls are about to
    start.  These are cancelled before their first step, so their names
    stay in the set of upstreams being polled.
    """
    first, late = _upstream("e1", "e1:1"), _upstream("e2", "e2:1")

    async def main():
        table = loads.LoadTable()
        controller = _controller(
            StubSession(),
            lambda: (first, late) if clock.now_s() >= FAULT_S else (first,),
            table,
        )
        with pytest.raises(ExceptionGroup):
            await controller.run()
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(4 * INTERVAL_S)
        running.cancel()
        return [name for name in ("e1", "e2") if table.get(name)]

    assert timing.run(main) == ["e1", "e2"]


JSON = "application/json"

MALFORMED = [
    pytest.param(b"null", JSON, id="null"),
    pytest.param(b"[]", JSON, id="list"),
    pytest.param(b"{}", JSON, id="empty"),
    pytest.param(
        b'{"name": "e", "incarnation": "i", "models": []}', JSON, id="models"
    ),
    pytest.param(
        b'{"name": "e", "incarnation": "i", "slots": 1e400}', JSON, id="slots"
    ),
    pytest.param(b"[" * 60_000, JSON, id="deep"),
    pytest.param(b"{}", f"{JSON}; charset=hex", id="charset"),
    pytest.param(b"{}", "text/plain", id="type"),
]


@pytest.mark.parametrize(("body", "content_type"), MALFORMED)
async def test_a_malformed_report_fails_only_its_poll(body, content_type):
    """One upstream's malformed report ends the polls of all upstreams.

    It raises an error that is not handled as one failed poll, and so ends
    the task group of all polls.
    """
    requests = []
    polled_again = asyncio.Event()

    async def answer(request):
        requests.append(request)
        if len(requests) > 2:
            polled_again.set()
        return web.Response(body=body, headers={"Content-Type": content_type})

    application = web.Application()
    application.router.add_get("/load", answer)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    upstream = _upstream("e1", "{}:{}".format(*runner.addresses[0]))
    table = loads.LoadTable()
    async with aiohttp.ClientSession() as session:
        controller = _controller(session, lambda: (upstream,), table, 0.02)
        running = asyncio.ensure_future(controller.run())
        waiting = asyncio.ensure_future(polled_again.wait())
        done, _ = await asyncio.wait(
            {running, waiting},
            timeout=30,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in (running, waiting):
            task.cancel()
        await asyncio.gather(running, waiting, return_exceptions=True)
    await runner.cleanup()
    assert done == {waiting}
    assert table.get("e1") is None
