"""Asks for answers and measures them."""

import asyncio
import pathlib
import time

import aiohttp
import attrs
from hdrh import histogram

PATH = "/v1/completions"
HIGHEST_US = 60_000_000


@attrs.frozen
class Target:
    """Something that answers: the source itself, or a relay before it.

    Parameters
    ----------
    name : str
        Word for the report.
    url : str
        Base URL.
    pid : int
        Process whose processor time is counted.
    headers : dict
        Sent with each call.
    """

    name: str
    url: str
    pid: int
    headers: dict[str, str] = attrs.field(factory=dict, repr=False)


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / 100


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * 4096


@attrs.define
class Asking:
    """Calls to one target and what was measured of them."""

    target: Target
    session: aiohttp.ClientSession
    first_byte_us: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, HIGHEST_US, 3)
    )
    events: int = 0
    requests: int = 0

    async def call(self, **body: object) -> None:
        """Make one call and read its answer to the end."""
        began = time.perf_counter()
        async with self.session.post(
            self.target.url + PATH,
            json={"model": "demo", "prompt": "q", **body},
            headers=self.target.headers,
        ) as response:
            if response.status != 200:
                raise RuntimeError(await response.text())
            first = True
            tail = b""
            async for chunk in response.content.iter_any():
                if first:
                    first = False
                    passed = time.perf_counter() - began
                    self.first_byte_us.record_value(
                        max(1, round(passed * 1e6))
                    )
                self.events += chunk.count(b"\n\n")
                tail = (tail + chunk)[-32:]
            if b"data: [DONE]" not in tail:
                raise RuntimeError(f"{self.target.name} cut a stream")
        self.requests += 1

    async def many(self, calls: int, at_once: int, **body: object) -> float:
        """Make `calls` calls, `at_once` at a time; return the seconds."""
        left = iter(range(calls))

        async def worker() -> None:
            for _ in left:
                await self.call(**body)

        began = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(at_once)))
        return time.perf_counter() - began
