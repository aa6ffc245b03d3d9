"""Polls the load reports of all upstreams."""

import asyncio
from collections.abc import Callable
import logging
import random

import aiohttp

from toucanrudder.document import model
from toucanrudder.http1 import answer_room
from toucanrudder.upstreams import call_answers
from toucanrudder.upstreams import loads

LOG = logging.getLogger(__name__)

#: A poll that takes longer counts as failed.  Must be well below the few
#: seconds in which a dead or leaving upstream must be noticed.
POLL_TIMEOUT_S = 1.0

MAX_CONCURRENT_POLLS = 32

#: Largest load report, and what all of them may occupy while they are read.
MAX_REPORT_BYTES = 131_072
MAX_REPORTS_BYTES = 1_048_576

#: Largest size of a report in bytes.
MAX_REPORT_BYTES = 65_536

#: Polls a second over all upstreams.  With more upstreams each is polled
#: less often, so that the cost does not grow with the fleet.
MAX_POLLS_PER_S = 100.0


def poll_interval_s(wanted_s: float, upstreams: int) -> float:
    """Return the seconds between two polls of one upstream.

    Examples
    --------
    >>> from toucanrudder.controllers import loads
    >>> loads.poll_interval_s(0.25, 12), loads.poll_interval_s(0.25, 1100)
    (0.25, 11.0)
    """
    return max(wanted_s, upstreams / MAX_POLLS_PER_S)


class LoadController:
    """Keeps the load table up to date.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for the polls.
    table : loads.LoadTable
        Table to update; only failures of requests are written elsewhere.
    upstreams : callable
        Returns the configured upstreams.
    wanted_interval_s : float
        Shortest interval between two polls of one upstream, in seconds.
    on_restart : callable
        Called with an upstream's name and its old incarnation when a
        report shows a new one.
    presumed_dead, on_alive : callable
        Called with an upstream's name and incarnation; the first returns
        whether that process is presumed dead, the second is told that it
        answered nevertheless.
    rng : random.Random
        Source of jitter.
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
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        self._answers = answer_room.AnswerRoom(
            MAX_REPORT_BYTES, MAX_REPORTS_BYTES
        )
        self._polling: set[str] = set()
        self._due_s: dict[str, float] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        # A poll cancelled before its first step has not removed its name,
        # so its upstream would never be polled again and count as failed.
        # All polls of an earlier run have ended with its group.
        self._polling.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                self._start_due_polls(group)
                await asyncio.sleep(self._wanted_interval_s / 2)

    def _start_due_polls(self, group: asyncio.TaskGroup) -> None:
        upstreams = self._upstreams()
        self._table.retain(frozenset(upstream.name for upstream in upstreams))
        now_s = self._clock()
        period_s = poll_interval_s(self._wanted_interval_s, len(upstreams))
        for upstream in upstreams:
            name = upstream.name
            due_s = self._due_s.get(name, 0.0)
            if due_s <= now_s and name not in self._polling:
                # Jitter keeps eight routers from polling in lockstep.
                jitter_s = period_s * self._rng.uniform(0.75, 1.0)
                self._due_s[name] = now_s + jitter_s
                self._polling.add(name)
                group.create_task(self._poll(upstream))

    async def _poll(self, upstream: model.Upstream) -> None:
        try:
            async with self._semaphore:
                # Read before the poll: an answer to a poll sent while the
                # process was alive must not disprove its crash.
                dead_incarnation = self._presumed_dead_incarnation(
                    upstream.name
                )
                report = await self._fetch_report(upstream)
            if dead_incarnation and report.incarnation == dead_incarnation:
                self._on_alive(upstream.name, dead_incarnation)
            self._record_report(upstream, report)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self._table.mark_unreachable(upstream.name)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # A single failed poll means little, as a busy router misses
            # some itself.  The age of the last report limits how many.
            LOG.debug(
                "poll of the load report failed", extra={"peer": upstream.name}
            )
        finally:
            self._polling.discard(upstream.name)

    async def _fetch_report(
        self, upstream: model.Upstream
    ) -> loads.LoadReport:
        async with self._session.get(
            f"http://{upstream.address}/load",
            timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_S),
        ) as response:
            if response.status != 200:
                raise ValueError(f"load report: HTTP status {response.status}")
            try:
                body = await call_answers.read_json(response, self._answers)
                return loads.parse(body)
            except (LookupError, RecursionError) as error:
                # Unless converted, they would end the polls of all
                # upstreams.
                raise ValueError(f"not a load report: {error}") from error

    def _presumed_dead_incarnation(self, name: str) -> str:
        known = self._table.get(name)
        incarnation = known.report.incarnation if known else ""
        return incarnation if self._presumed_dead(name, incarnation) else ""

    def _record_report(
        self, upstream: model.Upstream, report: loads.LoadReport
    ) -> None:
        now_s = self._clock()
        previous = self._table.get(upstream.name)
        if self._table.record_report(upstream.name, report, now_s):
            LOG.warning("upstream restarted", extra={"peer": upstream.name})
            self._on_restart(upstream.name, previous.report.incarnation)
