"""Daemons and stand-ins as processes of their own."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_WITHIN_S = 60.0
STOP_WITHIN_S = 60.0


class ProcessFailed(Exception):
    """The process ended or stayed silent instead of getting ready."""


@attrs.define(eq=False)
class Process:
    """A running process and the JSON line with which it got ready.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The process.
    ready : dict
        The line.
    log : pathlib.Path
        File with its standard error.
    """

    process: asyncio.subprocess.Process
    ready: dict
    log: pathlib.Path

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    @property
    def address(self) -> str:
        """``IP:port`` from the ready line."""
        return self.ready["address"]

    @property
    def url(self) -> str:
        """Base URL of `address`."""
        return f"http://{self.address}"

    def stderr(self) -> str:
        """Return what it has written to standard error so far."""
        return self.log.read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Send it a signal."""
        self.process.send_signal(number)

    async def wait(self, within_s: float = STOP_WITHIN_S) -> int:
        """Wait for its end and return its exit status."""
        return await asyncio.wait_for(self.process.wait(), within_s)

    async def stop(self, within_s: float = STOP_WITHIN_S) -> int:
        """Ask it to stop with SIGTERM; return its exit status."""
        self.signal(signal.SIGTERM)
        return await self.wait(within_s)

    async def kill(self) -> None:
        """Kill it at once."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


@contextlib.asynccontextmanager
async def started(
    *arguments: str,
    environment: dict[str, str] | None = None,
    module: str = "toucanrudder",
) -> AsyncIterator[Process]:
    """Run ``python -m`` a module with `arguments` during the block.

    Parameters
    ----------
    *arguments : str
        Command line.
    environment : dict, optional
        Variables to add.
    module : str
        What is run.

    Yields
    ------
    Process
        Once it has printed its ready line; it is killed afterwards.

    Raises
    ------
    ProcessFailed
        It ended, or printed nothing for `READY_WITHIN_S`.
    """
    with tempfile.TemporaryDirectory() as directory:
        log = pathlib.Path(directory, "stderr")
        process = await _spawn((module, *arguments), environment or {}, log)
        running = Process(process, {}, log)
        reader = None
        try:
            running.ready = await _ready(running)
            reader = asyncio.ensure_future(_drain(process.stdout))
            yield running
        finally:
            if process.returncode is None:
                await running.kill()
            if reader is not None:
                await reader


@contextlib.asynccontextmanager
async def standin(kind: str, **options: object) -> AsyncIterator[Process]:
    """Run a stand-in during the block.

    Parameters
    ----------
    kind : {'platform', 'engine', 'service'}
        Which one.
    **options : object
        Its options.

    Yields
    ------
    Process
        The running stand-in.
    """
    options = {"port": 0} | options
    flags = [f"--{name}={value}" for name, value in options.items()]
    async with started("standin", kind, *flags) as process:
        yield process


async def _spawn(
    arguments: tuple[str, ...], environment: dict[str, str], log: pathlib.Path
) -> asyncio.subprocess.Process:
    descriptor = os.open(log, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    try:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            env=os.environ | environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=descriptor,
        )
    finally:
        os.close(descriptor)


async def _ready(running: Process) -> dict:
    try:
        async with asyncio.timeout(READY_WITHIN_S):
            line = await running.process.stdout.readline()
    except TimeoutError:
        line = b""
    if not line:
        raise ProcessFailed(running.stderr())
    return json.loads(line)


async def _drain(stream: asyncio.StreamReader) -> None:
    # A full pipe would stop a process that prints more than one line.
    while await stream.read(65536):
        pass
