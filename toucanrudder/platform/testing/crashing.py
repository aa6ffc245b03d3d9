"""Engines that crash at requests with a certain part of a prompt."""

import asyncio
from collections.abc import Iterable

from toucanrudder.platform.testing import cluster as clusters
from toucanrudder.platform.testing import standins

#: Time from the begin of a run until its engine crashes.
CRASH_AFTER_S = 0.05

#: Time until another process serves in place of an engine that crashed.
RESTART_AFTER_S = 0.4


def part_ids(run: standins.Run) -> list[str]:
    """Return the IDs of the parts of a run's prompt, in order."""
    parts = run.headers["prompt-prefix"].split(",")
    return [part.partition(":")[0] for part in parts]


class CrashingEngines:
    """A number of engines, each of which crashes at bad parts.

    Parameters
    ----------
    cluster : clusters.Cluster
        Where they run.
    bad_parts : iterable of str
        IDs of parts at which an engine ends, unless they come last.
    organisation : str
        Organisation at whose requests they end; empty for all.

    Attributes
    ----------
    bad_parts : set of str
        IDs of parts at which an engine ends, unless they come last.
    engines : list of standins.Server
        The engines that run now.
    arrivals : list of str
        IDs of the requests with a bad part that reached an engine.
    ended : int
        Engines that have crashed.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        bad_parts: Iterable[str],
        organisation: str = "",
    ):
        self._cluster = cluster
        self.bad_parts = set(bad_parts)
        self._organisation = organisation
        self._tasks: set[asyncio.Task] = set()
        self.engines: list[standins.Server] = []
        self.arrivals: list[str] = []
        self.ended = 0

    async def start(self, count: int) -> None:
        """Start and register a number of engines."""
        for _ in range(count):
            await self._start_engine()

    async def _start_engine(self) -> None:
        engine = await self._cluster.engine()
        engine.default_behaviour = self._behave
        self.engines.append(engine)

    def is_bad(self, run: standins.Run) -> bool:
        """Return whether a run makes its engine crash."""
        if self._organisation not in ("", run.headers["tenant"]):
            return False
        return not self.bad_parts.isdisjoint(part_ids(run)[:-1])

    async def _behave(self, engine, run, answer) -> None:
        if not self.is_bad(run):
            await asyncio.sleep(CRASH_AFTER_S / 2)
            await standins.answers_normally(engine, run, answer)
            return
        self.arrivals.append(run.request_id)
        await asyncio.sleep(CRASH_AFTER_S)
        await answer.start(200, engine.answer_headers(run))
        if engine in self.engines:
            self._spawn(self._replace(engine))
        await asyncio.Event().wait()

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, engine: standins.Server) -> None:
        self.engines.remove(engine)
        self.ended += 1
        await engine.listener.stop()
        await asyncio.sleep(RESTART_AFTER_S)
        self._cluster.store.delete("servers", engine.incarnation)
        await self._start_engine()
