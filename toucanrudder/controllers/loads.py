"""Polls the load reports of all upstreams."""

import asyncio
from collections.abc import Callable
import logging
import random

import aiohttp

from toucanrudder.document import model
from toucanrudder.upstreams import loads

LOG = logging.getLogger(__name__)

#: A poll that takes longer counts as failed; it must be well below the
#: few seconds in which a dead or leaving upstream must be noticed.
POLL_TIMEOUT_S = 1.0

#: Polls that may be open at once.
MAX_OPEN_POLLS = 32

#: Most bytes of a report that are read.
MAX_REPORT_BYTES = 65_536

#: Polls a second over all upstreams; with more upstreams each is asked
#: less often, so that the cost of control does not grow with the fleet.
MAX_POLLS_PER_S = 100.0


def interval_s(wanted_s: float, upstreams: int) -> float:
    """Return the seconds between two polls of one upstream.

    Examples
    --------
    >>> from toucanrudder.controllers import loads
    >>> loads.interval_s(0.25, 12), loads.interval_s(0.25, 1100)
    (0.25, 11.0)
    """
    return max(wanted_s, upstreams / MAX_POLLS_PER_S)


class LoadController:
    """Owns the load table.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For the polls.
    table : loads.LoadTable
        Written here only, but for failures that requests meet.
    upstreams : callable
        Returns the configured upstreams.
    wanted_interval_s : float
        Seconds between two polls of one upstream.
    on_restart : callable
        Called with an upstream's name and its old incarnation when a
        report shows a new one.
    presumed_dead, on_alive : callable
        Called with an upstream's name and incarnation: whether that
        process is presumed dead, and that it answered all the same.
    rng : random.Random
        For jitter.
    clock : callable
        Monotonic time.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        table: loads.LoadTable,
        upstreams: Callable[[], tuple[model.Upstream, ...]],
        wanted_interval_s: float,
        on_restart: Callable[[str, str], None],
        presumed_dead: Callable[[str, str], bool],
        on_alive: Callable[[str, str], None],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._session = session
        self._table = table
        self._upstreams = upstreams
        self._wanted_interval_s = wanted_interval_s
        self._on_restart = on_restart
        self._presumed_dead = presumed_dead
        self._on_alive = on_alive
        self._rng = rng
        self._clock = clock
        self._open = asyncio.Semaphore(MAX_OPEN_POLLS)
        self._polling: set[str] = set()
        self._due_s: dict[str, float] = {}

    async def run(self) -> None:
        """Poll for ever."""
        # A poll that was cancelled before its first step has not taken its
        # name off: its upstream would never be polled again, and count as
        # failed.  All polls of an earlier run have ended with its group.
        self._polling.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                self._start_due(group)
                await asyncio.sleep(self._wanted_interval_s / 2)

    def _start_due(self, group: asyncio.TaskGroup) -> None:
        upstreams = self._upstreams()
        self._table.retain(frozenset(each.name for each in upstreams))
        now_s = self._clock()
        each_s = interval_s(self._wanted_interval_s, len(upstreams))
        for upstream in upstreams:
            name = upstream.name
            due_s = self._due_s.get(name, 0.0)
            if due_s <= now_s and name not in self._polling:
                # Jitter keeps eight routers from asking in step for ever.
                jitter_s = each_s * self._rng.uniform(0.75, 1.0)
                self._due_s[name] = now_s + jitter_s
                self._polling.add(name)
                group.create_task(self._poll(upstream))

    async def _poll(self, upstream: model.Upstream) -> None:
        try:
            async with self._open:
                # Asked before: an answer to a question that was put while
                # the process lived must not disprove its crash.
                dead = self._presumed_incarnation(upstream.name)
                report = await self._report(upstream)
            if dead and report.incarnation == dead:
                self._on_alive(upstream.name, dead)
            self._take(upstream, report)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self._table.mark_unreachable(upstream.name)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # One poll that fails says little: a busy router misses some
            # itself.  The report's age tells when it has been too many.
            LOG.debug("poll failed", extra={"peer": upstream.name})
        finally:
            self._polling.discard(upstream.name)

    async def _report(self, upstream: model.Upstream) -> loads.LoadReport:
        async with self._session.get(
            f"http://{upstream.address}/load",
            timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_S),
        ) as response:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            try:
                return loads.parse(await response.json())
            except (LookupError, RecursionError) as error:
                # A character set that is none, or a body that is nested
                # too deeply.  They would end the polls of all upstreams;
                # decoding raises nothing else but ValueErrors.
                raise ValueError(f"not a load report: {error}") from error

    def _presumed_incarnation(self, name: str) -> str:
        known = self._table.get(name)
        incarnation = known.report.incarnation if known else ""
        return incarnation if self._presumed_dead(name, incarnation) else ""

    def _take(
        self, upstream: model.Upstream, report: loads.LoadReport
    ) -> None:
        now_s = self._clock()
        before = self._table.get(upstream.name)
        if self._table.record_report(upstream.name, report, now_s):
            LOG.warning("upstream restarted", extra={"peer": upstream.name})
            self._on_restart(upstream.name, before.report.incarnation)
