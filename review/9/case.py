"""Requests within the new limit are refused on channels opened before it.

The operator raises the limit of heads.  A caller that keeps its channel open
is refused for good with 431, though the configuration in force allows its
request, and an answer on a new channel proves it.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

CALLERS = 16
OLD_BYTES, NEW_BYTES = 16_384, 32_768
#: Size of a large head, and of the segments in which it arrives.
HEAD_BYTES, SEGMENT_BYTES = 20_000, 1460
#: `config_apply_ms` of the site, and a second more.
APPLIED_S = 2.0 + 1.0


def _configuration(version, head_bytes):
    limits = standins.configuration()["limits"]
    return standins.plain_configuration(
        version=version, limits=limits | {"max_header_bytes": head_bytes}
    )


class Caller:
    """A caller that keeps its channel open."""

    def __init__(self, record, router, number):
        self._record, self._router, self._number = record, router, number
        self._count = 0
        self.statuses = []

    async def connect(self):
        """Open the channel."""
        host, port = self._router.front.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    async def ask(self, head_bytes):
        """Send one request on the channel and read the answer."""
        self._count += 1
        request_id = f"c{self._number:02d}.{self._count}"
        lines = [
            "GET /status/line-1 HTTP/1.1",
            "Host: app.example",
            f"Request-Id: {request_id}",
            "Deadline-Ms: 1500",
            "Authorization: Bearer key-of-north",
        ]
        plain = sum(map(len, lines)) + 2 * len(lines)
        padding = max(0, head_bytes - plain - len("Cookie: ") - 4)
        if padding:
            lines.append("Cookie: " + "x" * padding)
        content = "\r\n".join([*lines, "", ""]).encode()
        try:
            async with asyncio.timeout(1.5):
                for first in range(0, len(content), SEGMENT_BYTES):
                    end = first + SEGMENT_BYTES
                    self._writer.write(content[first:end])
                    await self._writer.drain()
                    await asyncio.sleep(0.001)
                status, _ = await standins.read_answer(self._reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        self.statuses.append(status)
        self._record(
            f"caller: {request_id}, a head of {len(content)} bytes on"
            f" {self._router.name}, got {status}"
        )
        return status

    def close(self):
        """Close the channel."""
        self._writer.close()


async def main(record, has_trouble):
    """Raise the limit; return what was refused all the same."""
    store = standins.Store(record)
    await store.start()
    first_bytes = OLD_BYTES if has_trouble else NEW_BYTES
    store.put("config", "main", _configuration(7, first_bytes))
    for name in "abc":
        await standins.Worker(store, record, f"desk-{name}").start()
    names = ["front-1", "front-2"]
    async with standins.routers(record, store, names) as started:
        await asyncio.sleep(1.0)
        callers = [
            Caller(record, started[number % 2], number)
            for number in range(CALLERS)
        ]
        for caller in callers:
            await caller.connect()
            await caller.ask(0)
        if has_trouble:
            store.put("config", "main", _configuration(8, NEW_BYTES))
            record(f"store: has accepted version 8, {NEW_BYTES} bytes")
        await asyncio.sleep(APPLIED_S)
        for caller in callers:
            await caller.ask(HEAD_BYTES)
            caller.close()
        others = [
            Caller(record, router, CALLERS + number)
            for number, router in enumerate(started)
        ]
        for other in others:
            await other.connect()
            await other.ask(HEAD_BYTES)
            other.close()
    if any(other.statuses != [200] for other in others):
        raise standins.CannotRun("a new channel does not have the new limit")
    return list(_denied(callers, others))


def _denied(callers, others):
    statuses = [status for each in callers for status in each.statuses]
    every = len(statuses) + len(others)
    denied = statuses.count(431)
    if denied > 5 + every / 500:
        yield (
            f"DENIED: {denied} of {every} requests got 431 though the"
            " configuration in force allows them"
        )


if __name__ == "__main__":
    standins.run_case(
        main, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0"
    )
