"""Polls the platform's list of live and leaving instances."""

import asyncio
from collections.abc import Callable
import random

import aiohttp
import attrs

from toucanrudder.controllers import backoff
from toucanrudder.http1 import answer_room
from toucanrudder.membership import instances
from toucanrudder.observability import metrics
from toucanrudder.upstreams import call_answers

#: Shortest interval between two polls; it adds to the list's own lag.
MIN_INTERVAL_S = 1.0

#: Largest list: a few times that of 1,500 instances.
MAX_LIST_BYTES = 4_194_304

#: Polls a second by all routers together, a twentieth of the store's
#: read rate, which grows more slowly than the number of routers.
MAX_POLLS_PER_S = 100.0

#: How a poll fails.
FAILURES = (aiohttp.ClientError, OSError, KeyError, TypeError, ValueError)


def poll_interval_s(routers: int) -> float:
    """Return the seconds between two polls of one router.

    Examples
    --------
    >>> poll_interval_s(8), poll_interval_s(400)
    (1.0, 4.0)
    """
    return max(MIN_INTERVAL_S, routers / MAX_POLLS_PER_S)


class InstanceController:
    """Keeps the instance table up to date.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for the polls.
    address : str
        ``IP:port`` of the platform's object API.
    table : instances.InstanceTable
        Table to update; this is its only writer.
    routers : callable
        Returns the number of live routers.
    timeout_s : float
        Timeout of a poll in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        table: instances.InstanceTable,
        routers: Callable[[], int],
        timeout_s: float,
        rng: random.Random,
    ):
        self._session = session
        self._url = f"http://{address}/instances"
        self._table = table
        self._routers = routers
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._rng = rng
        self._answers = answer_room.AnswerRoom(MAX_LIST_BYTES, MAX_LIST_BYTES)

    async def run(self) -> None:
        """Poll until cancelled."""
        failures = 0
        while True:
            try:
                self._table.replace(await self._list())
                failures = 0
                pause_s = poll_interval_s(self._routers())
                await asyncio.sleep(pause_s * self._rng.uniform(0.75, 1.0))
            except FAILURES as error:
                failures += 1
                metrics.counter(
                    "toucanrudder_instance_list_failures",
                    "Failed polls of the platform's instance list",
                ).add(1, {"reason": type(error).__name__})
                await asyncio.sleep(backoff.delay_s(failures, self._rng))

    async def _list(self) -> list[instances.Instance]:
        async with self._session.get(
            self._url, timeout=self._timeout, raise_for_status=True
        ) as response:
            body = await call_answers.read_json(response, self._answers)
        names = {field.name for field in attrs.fields(instances.Instance)}
        return [
            instances.Instance(**{name: str(row[name]) for name in names})
            for row in body["instances"]
        ]
