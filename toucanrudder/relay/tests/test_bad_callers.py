import asyncio
import json
import pathlib
import socket

import pytest

from toucanrudder.testing import callers
from toucanrudder.testing import fleet as fleets

WITHIN_S = 60
BODY = {"model": "demo", "prompt": "cue sheet", "stream": True}


def _head(host, length):
    return (
        f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Bearer {fleets.api_key('acme')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


async def _until_all_ended(fleet, count):
    async with asyncio.timeout(WITHIN_S):
        while True:
            runs = await fleet.runs()
            states = [run["state"] for run in runs]
            if len(states) == count and not (
                {"waiting", "prefill", "decode"} & set(states)
            ):
                return states
            await asyncio.sleep(0.02)


async def _callers_gone(fleet):
    async with fleet.session.get(
        f"{fleet.routers[0].admin_url}/metrics"
    ) as response:
        page = await response.text()
    for line in page.splitlines():
        if line.startswith("toucanrudder_callers_gone_total"):
            return float(line.split()[-1])
    return 0.0


def _resident_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no VmRSS")


async def test_slow_sender_is_refused_before_anything_runs():
    """The caller sends its body one byte at a time without end.  The
    deadline covers the whole body, so it gets 408 and nothing has run.
    """
    settings = {"router": {"body_timeout_s": 0.3}}
    async with fleets.running(fleets.Plan(settings=settings)) as fleet:
        host, _, port = fleet.routers[0].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_head(host, 1000))

        async def drip():
            while True:
                writer.write(b" ")
                await asyncio.sleep(0.05)

        dripping = asyncio.ensure_future(drip())
        async with asyncio.timeout(WITHIN_S):
            head = await reader.readuntil(b"\r\n\r\n")
            answer = await reader.readuntil(b"}}")
        dripping.cancel()
        writer.close()
        assert b" 408 " in head
        error = json.loads(answer)["error"]
        assert (error["code"], error["ran"]) == ("body_too_slow", "not_run")
        assert await fleet.runs() == []


async def test_callers_that_never_read_cost_bounded_memory():
    """Callers request long streams and read nothing.  The router stops
    reading from the engine once its small buffer is full, and drops each
    caller after the write timeout.
    """
    count, tokens = 8, 60_000
    plan = fleets.Plan(
        settings={
            "router": {"write_timeout_s": 1.0},
            "upstreams": {"silent_event_s": 30.0},
        },
        engine_options={
            "decode_s_per_token": 0.0,
            "slots": count,
            "resume_window_s": 0.1,
        },
    )
    async with fleets.running(plan) as fleet:
        router = fleet.routers[0]
        await callers.stream(fleet.session, router.url, BODY)
        before_bytes = _resident_bytes(router.process.pid)
        host, _, port = router.address.rpartition(":")
        raw = json.dumps(BODY | {"max_tokens": tokens}).encode()
        sockets = []
        for _ in range(count):
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect((host, int(port)))
            connection.sendall(_head(host, len(raw)) + raw)
            sockets.append(connection)
        peak_bytes = before_bytes
        ended = asyncio.ensure_future(_until_all_ended(fleet, count + 1))
        while not ended.done():
            peak_bytes = max(peak_bytes, _resident_bytes(router.process.pid))
            await asyncio.sleep(0.01)
        await ended
        async with asyncio.timeout(WITHIN_S):
            while await _callers_gone(fleet) < count:
                await asyncio.sleep(0.02)
        for connection in sockets:
            connection.close()
        # The streams total some 75 MB.
        assert peak_bytes - before_bytes < 32 * 2**20
        answer = await callers.stream(fleet.session, router.url, BODY)
        assert answer.end is callers.End.DONE


@pytest.mark.parametrize("streamed", [True, False])
async def test_engines_work_ends_when_the_caller_leaves(streamed):
    """The caller closes its connection in the middle of a long answer; the
    engine's work ends long before the answer would.  An unstreamed answer
    is cancelled at once.  A stream may be resumed at another router, so it
    ends after the engine's resume window.
    """
    window_s = 0.5 if streamed else 300.0
    plan = fleets.Plan(
        engine_options={
            "decode_s_per_token": 0.01,
            "resume_window_s": window_s,
        }
    )
    body = BODY | {"max_tokens": 100_000, "stream": streamed}
    async with fleets.running(plan) as fleet:
        url = fleet.routers[0].url
        if streamed:
            await callers.stream(fleet.session, url, body, stop_after=3)
        else:
            call = asyncio.ensure_future(
                callers.whole(fleet.session, url, body)
            )
            async with asyncio.timeout(WITHIN_S):
                while not await fleet.runs():
                    await asyncio.sleep(0.02)
            call.cancel()
        assert await _until_all_ended(fleet, 1) == ["cancelled"]
