"""Runs the demo."""

import asyncio
import signal

import aiohttp
import uvloop

from toucanrudder.demo import report
from toucanrudder.demo import system as systems
from toucanrudder.demo import traffic
from toucanrudder.observability import logs
from toucanrudder.router import daemon


async def _stopped() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def _serve() -> bool:
    async with systems.opened() as system:
        print(system.as_line(), flush=True)
        await _stopped()
    return True


def _printer():
    shown = 0

    def show(text: str) -> None:
        nonlocal shown
        print(text[shown:], end="", flush=True)
        shown = len(text)

    return show


def _booked_once(system, bookings) -> bool:
    runs = sum(len(each.journal) for each in system.services)
    return runs == 1 and bookings[0].status < 300


async def _show() -> bool:
    async with (
        systems.opened() as system,
        aiohttp.ClientSession() as session,
    ):
        print("One streamed answer:")
        first = next(traffic.prompts(system))
        streamed = await traffic.ask(
            session, system, system.routers[0], first, _printer()
        )
        print("\n")
        outcomes = [streamed, *await traffic.ask_all(session, system)]
        bookings = await traffic.book_twice(session, system)
        print(report.table(outcomes, bookings))
        return all(each.right for each in outcomes) and _booked_once(
            system, bookings
        )


def main(serve: bool = False) -> int:
    """Run the demo; 0 only if each answer was right.

    Parameters
    ----------
    serve : bool
        Print one JSON line that tells how to reach the system, and serve
        until SIGINT or SIGTERM.

    Returns
    -------
    int
        Exit status.
    """
    daemon.disable_io_uring()
    logs.set_up("text", "warning")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        good = runner.run(_serve() if serve else _show())
    return 0 if good else 1
