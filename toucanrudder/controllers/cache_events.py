"""Reads the cache event streams of all engines."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import logging
import random

import aiohttp
import attrs

from toucanrudder.document import model
from toucanrudder.http1 import answer_room
from toucanrudder.observability import metrics
from toucanrudder.prefix import cache_index
from toucanrudder.upstreams import call_answers

LOG = logging.getLogger(__name__)

#: Engines send a heartbeat each second; after this silence the connection
#: counts as broken.
READ_TIMEOUT_S = 5.0
RECONNECT_DELAY_S = (0.2, 1.0)
UPDATE_INTERVAL_S = 0.5

#: Longest line of events, and what all lines may occupy while they are read.
MAX_LINE_BYTES = 1_048_576
MAX_LINES_BYTES = 8_388_608

#: How the reading of a stream fails.
FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class _Position:
    """Position after the last event read of an engine's stream."""

    incarnation: str = ""
    sequence: int = 0

    def advance(self, incarnation: str, sequence: int) -> None:
        # A restarted engine numbers its events from one again.  Asked for
        # events after the old process's last number, it would send none
        # until its own numbers are as high, and its cache would be unused.
        if self.incarnation not in ("", incarnation):
            self.incarnation, self.sequence = "", 0
            raise ValueError("the engine has restarted")
        self.incarnation, self.sequence = incarnation, sequence


class CacheEventController:
    """Updates the prefix cache index, with one task per engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for the streams.
    index : cache_index.PrefixCacheIndex
        Index that the events update.
    upstreams : callable
        Returns the configured upstreams.
    rng : random.Random
        Source of jitter.
    clock : callable
        Monotonic time.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        index: cache_index.PrefixCacheIndex,
        upstreams: Callable[[], tuple[model.Upstream, ...]],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._session = session
        self._index = index
        self._upstreams = upstreams
        self._rng = rng
        self._clock = clock
        self._lines = answer_room.AnswerRoom(MAX_LINE_BYTES, MAX_LINES_BYTES)
        self._tasks: dict[tuple[str, str], asyncio.Task] = {}

    async def run(self) -> None:
        """Read the streams of the configured engines until cancelled."""
        # Tasks of an earlier run have all ended with its group.  If they
        # stayed in the table, no stream would be opened again.
        self._tasks.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                self._update_tasks(group)
                await asyncio.sleep(UPDATE_INTERVAL_S)

    def _update_tasks(self, group: asyncio.TaskGroup) -> None:
        engines = {
            (upstream.name, upstream.address): upstream
            for upstream in self._upstreams()
            if upstream.kind == model.ENGINE
        }
        for key in self._tasks.keys() - engines.keys():
            self._tasks.pop(key).cancel()
        # A task that was cancelled from elsewhere does not end the group.
        # If it stayed in the table, its stream would not be opened again.
        for key, task in list(self._tasks.items()):
            if task.done():
                del self._tasks[key]
        for key, upstream in engines.items():
            if key not in self._tasks:
                self._tasks[key] = group.create_task(self._follow(upstream))

    async def _follow(self, upstream: model.Upstream) -> None:
        position = _Position()
        while True:
            try:
                await self._read_stream(upstream, position)
            except FAILURES:
                metrics.counter(
                    "toucanrudder_event_streams_lost",
                    "Cache event streams that broke or fell silent",
                ).add(1, {"upstream": upstream.name})
            await asyncio.sleep(self._rng.uniform(*RECONNECT_DELAY_S))

    async def _read_stream(
        self, upstream: model.Upstream, position: "_Position"
    ) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=1.0, sock_read=READ_TIMEOUT_S
        )
        async with self._session.get(
            f"http://{upstream.address}/cache/events",
            params={"after": str(position.sequence)},
            timeout=timeout,
        ) as response:
            call_answers.check_success(response)
            partial_line = b""
            with self._lines.reading() as partial:
                async for chunk in response.content.iter_any():
                    *lines, partial_line = (partial_line + chunk).split(b"\n")
                    partial.hold(len(partial_line))
                    for line in lines:
                        self._handle_line(upstream.name, line, position)

    def _handle_line(
        self, upstream: str, line: bytes, position: "_Position"
    ) -> None:
        if not line.strip():
            return
        with _malformed_as_value_error():
            event = json.loads(line)
            sequence = int(event["seq"])
            incarnation = str(event["incarnation"])
        position.advance(incarnation, sequence)
        with _malformed_as_value_error():
            handler = _HANDLERS.get(str(event["kind"]))
            if handler is None:
                return
            keys = tuple(
                bytes.fromhex(block) for block in event.get("blocks", ())
            )
        source = (upstream, incarnation, sequence)
        handler(self._index, source, keys, self._clock())


@contextlib.contextmanager
def _malformed_as_value_error() -> Iterator[None]:
    """Raise a ValueError for an event with an unexpected structure.

    Any other error would end the task group, and with it the streams of
    all engines; a ValueError ends only this engine's stream.  Lookups,
    conversions and the decoder raise no errors but those caught here.
    """
    try:
        yield
    except (LookupError, TypeError, OverflowError, RecursionError) as error:
        raise ValueError(f"not a cache event: {error!r}") from error


def _stored(index, source, keys, now_s):
    index.stored(*source, keys, now_s)


def _evicted(index, source, keys, now_s):
    index.evicted(*source, keys, now_s)


def _cleared(index, source, keys, now_s):
    index.cleared(*source, now_s)


def _heartbeat(index, source, keys, now_s):
    index.heartbeat(*source, now_s)


_HANDLERS = {
    "stored": _stored,
    "evicted": _evicted,
    "cleared": _cleared,
    "heartbeat": _heartbeat,
}
