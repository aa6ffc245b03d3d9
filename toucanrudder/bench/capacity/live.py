"""Measurements with real routers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import time

import aiohttp

from toucanrudder.bench.capacity import daemons
from toucanrudder.bench.capacity import engines as light
from toucanrudder.bench.capacity import isolation
from toucanrudder.testing import processes

SETTLE_S = 5.0
WINDOW_S = 10.0
ENGINES = 8
FLEET = 8
AT_ONCE = 16
TOKEN_PACE_S = 0.031
WATCHED = "/objects/configuration/current"
WATCH_WAIT_S = 60


async def _counts(platform: str) -> dict:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{platform}/counts") as answer,
    ):
        return await answer.json()


async def _calls(platform: str) -> int:
    counts = await _counts(platform)
    return sum(counts[kind] for kind in ("reads", "writes", "watches"))


async def _routers(size: int) -> dict:
    async with daemons.system(size, ENGINES) as (running, platform):
        await asyncio.sleep(SETTLE_S)
        before = await _calls(platform)
        used = await daemons.rates([each.pid for each in running], WINDOW_S)
        calls = await _calls(platform) - before
    return {**used, "store_calls_per_s": calls / WINDOW_S}


async def _heartbeats(size: int) -> dict:
    interval_s = 10 / size
    async with daemons.system(FLEET, ENGINES, interval_s) as (running, _):
        await asyncio.sleep(SETTLE_S)
        return await daemons.rates([each.pid for each in running], WINDOW_S)


async def _reports(size: int) -> dict:
    async with daemons.system(1, size) as (running, _):
        await asyncio.sleep(SETTLE_S)
        return await daemons.rates([each.pid for each in running], WINDOW_S)


async def _ask(session: aiohttp.ClientSession, url: str) -> int:
    """Return the token events of one whole answer."""
    body = {"model": light.MODEL, "prompt": "x" * 400, "stream": True}
    events, tail = 0, b""
    async with session.post(url, json=body) as answer:
        async for chunk in answer.content.iter_any():
            events += chunk.count(b"data: ")
            tail = (tail + chunk)[-200:]
    if answer.status != 200 or b"[DONE]" not in tail:
        raise RuntimeError(f"no whole answer: {tail!r}")
    return events - 1


async def _ask_often(
    session: aiohttp.ClientSession, url: str, count: int, at_once: int
) -> None:
    async def worker(number: int) -> None:
        for _ in range(number, count, at_once):
            await _ask(session, url)

    await asyncio.gather(*map(worker, range(at_once)))


@contextlib.asynccontextmanager
async def _one_router(
    events: int, pace_s: float
) -> AsyncIterator[tuple[int, aiohttp.ClientSession, str]]:
    headers = {"Authorization": f"Bearer {daemons.KEY}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        daemons.system(1, ENGINES, events=events, pace_s=pace_s) as (
            running,
            _,
        ),
        aiohttp.ClientSession(headers=headers, connector=connector) as session,
    ):
        (router,) = running
        url = f"{router.url}/v1/completions"
        await asyncio.sleep(1.0)
        await _ask_often(session, url, AT_ONCE, AT_ONCE)
        yield router.pid, session, url


async def _events(size: int) -> dict:
    rate = size / ENGINES
    async with daemons.system(1, ENGINES, cache_events_per_s=rate) as (
        running,
        _,
    ):
        await asyncio.sleep(SETTLE_S)
        return await daemons.rates([each.pid for each in running], WINDOW_S)


async def _requests(size: int) -> dict:
    async with _one_router(1, 0.0) as (pid, session, url):
        before_s, began_s = isolation.processor_s(pid), time.monotonic()
        await _ask_often(session, url, size, AT_ONCE)
        return {
            "processor_s": isolation.processor_s(pid) - before_s,
            "took_s": time.monotonic() - began_s,
        }


async def _streams(size: int) -> dict:
    events = round(WINDOW_S / TOKEN_PACE_S)
    async with _one_router(events, TOKEN_PACE_S) as (pid, session, url):
        asked = asyncio.gather(*(_ask(session, url) for _ in range(size)))
        # The answers' beginning and end are left out: both cost more than
        # their token events.
        await asyncio.sleep(WINDOW_S * 0.2)
        used = await daemons.rates([pid], WINDOW_S * 0.6)
        began_s = time.monotonic()
        counts = await asked
    late_s = time.monotonic() - began_s - WINDOW_S * 0.2
    return {
        **used,
        "events_per_s": sum(counts) / (WINDOW_S + late_s),
    }


async def _starts(size: int) -> dict:
    headers = {"Authorization": f"Bearer {daemons.KEY}"}
    async with (
        processes.standin("platform") as platform,
        light.serving(ENGINES, events=1) as engines,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        document = daemons.document(engines.addresses)
        await daemons.put_document(platform.address, document)
        before = await _calls(platform.address)
        began_s = time.monotonic()
        async with daemons.routers(size, platform.address) as running:
            urls = [f"{each.url}/v1/completions" for each in running]
            await asyncio.gather(*(_ask(session, url) for url in urls))
            took_s = time.monotonic() - began_s
            calls = await _calls(platform.address) - before
            pids = [each.pid for each in running]
            spent_s = sum(map(isolation.processor_s, pids)) / size
    return {
        "all_answered_s": took_s,
        "processor_s": spent_s,
        "store_calls": float(calls),
    }


async def _claims(size: int) -> dict:
    headers = {"Authorization": f"Bearer {daemons.KEY}"}
    async with (
        processes.standin("platform") as platform,
        processes.standin("service") as service,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        document = daemons.with_service(service.address)
        await daemons.put_document(platform.address, document)
        async with daemons.routers(1, platform.address) as (router,):
            url = f"{router.url}/services/desk/bookings"
            before = await _counts(platform.address)
            for number in range(size):
                async with session.post(
                    url, headers={"Idempotency-Key": f"k{number}"}
                ) as answer:
                    answer.raise_for_status()
            after = await _counts(platform.address)
            spent_s = isolation.processor_s(router.pid)
    return {
        "writes": float(after["writes"] - before["writes"]),
        "reads": float(after["reads"] - before["reads"]),
        "processor_s": spent_s,
    }


async def _watch(
    session: aiohttp.ClientSession, url: str, version: int
) -> float:
    query = {"after_version": str(version), "wait_s": str(WATCH_WAIT_S)}
    async with session.get(url, params=query) as answer:
        await answer.read()
        answer.raise_for_status()
        return time.monotonic()


async def _watchers(size: int) -> dict:
    """Change a watched document of 2,000 organisations once."""
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        processes.standin("platform") as platform,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        addresses = [f"10.0.{n // 250}.{n % 250 + 1}:80" for n in range(1100)]
        wanted = daemons.document(addresses, 2000)
        await daemons.put_document(platform.address, wanted)
        url = platform.url + WATCHED
        async with session.get(url) as answer:
            current = await answer.json()
        text = json.dumps(current["value"])
        waiting = [
            asyncio.create_task(_watch(session, url, current["version"]))
            for _ in range(size)
        ]
        await asyncio.sleep(1.0)
        before_s = isolation.processor_s(platform.pid)
        began_s = time.monotonic()
        async with session.put(
            url, data=text, headers={"If-Match": str(current["version"])}
        ) as answer:
            answer.raise_for_status()
        ended_s = max(await asyncio.gather(*waiting))
        spent_s = isolation.processor_s(platform.pid) - before_s
    return {
        "all_told_s": ended_s - began_s,
        "platform_s": spent_s,
        "sent_bytes": float(size * len(text)),
    }


def routers(size: int) -> dict:
    """Run `size` routers without traffic."""
    return asyncio.run(_routers(size))


def heartbeats(size: int) -> dict:
    """Run eight routers with `size` heartbeat rounds in ten seconds."""
    return asyncio.run(_heartbeats(size))


def reports(size: int) -> dict:
    """Run one router that follows `size` engines, without traffic."""
    return asyncio.run(_reports(size))


def events(size: int) -> dict:
    """Send `size` cache events a second to one router."""
    return asyncio.run(_events(size))


def requests(size: int) -> dict:
    """Pass `size` requests with one token event through one router."""
    return asyncio.run(_requests(size))


def streams(size: int) -> dict:
    """Relay `size` streams at a time at the pace of the target size."""
    return asyncio.run(_streams(size))


def starts(size: int) -> dict:
    """Start `size` routers at once; each answers one request."""
    return asyncio.run(_starts(size))


def claims(size: int) -> dict:
    """Make `size` calls that may not be repeated."""
    return asyncio.run(_claims(size))


def watchers(size: int) -> dict:
    """Tell `size` watchers of one change of a large document."""
    return asyncio.run(_watchers(size))
