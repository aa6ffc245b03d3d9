"""Follows the cache events of all engines."""

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
from toucanrudder.observability import metrics
from toucanrudder.prefix import cache_index

LOG = logging.getLogger(__name__)

#: Engines send a heartbeat each second: longer silence is a dead path.
SILENT_S = 5.0
RECONNECT_S = (0.2, 1.0)
CHECK_S = 0.5
MAX_LINE_BYTES = 1_048_576


@attrs.define
class _Position:
    """The last line read of an engine's event stream."""

    incarnation: str = ""
    sequence: int = 0

    def advance(self, incarnation: str, sequence: int) -> None:
        # A restarted engine counts from one again.  Asked for the lines
        # after the old process's last number it would stay silent until
        # its own numbers are as high, and its cache would not be used.
        if self.incarnation not in ("", incarnation):
            self.incarnation, self.sequence = "", 0
            raise ValueError("the engine has restarted")
        self.incarnation, self.sequence = incarnation, sequence


class CacheEventController:
    """Feeds beliefs from the engines' event streams, one task each.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For the streams.
    believed : cache_index.PrefixCacheIndex
        Takes the events.
    upstreams : callable
        Returns the configured upstreams.
    rng : random.Random
        For jitter.
    clock : callable
        Monotonic time.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        believed: cache_index.PrefixCacheIndex,
        upstreams: Callable[[], tuple[model.Upstream, ...]],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._session = session
        self._beliefs = believed
        self._upstreams = upstreams
        self._rng = rng
        self._clock = clock
        self._following: dict[tuple[str, str], asyncio.Task] = {}

    async def run(self) -> None:
        """Follow the configured engines for ever."""
        # Tasks of an earlier run have all ended with its group.  Left in
        # the table they would count as following, and no engine's events
        # would be read again.
        self._following.clear()
        async with asyncio.TaskGroup() as group:
            while True:
                self._adjust(group)
                await asyncio.sleep(CHECK_S)

    def _adjust(self, group: asyncio.TaskGroup) -> None:
        wanted = {
            (each.name, each.address): each
            for each in self._upstreams()
            if each.kind == model.ENGINE
        }
        for key in self._following.keys() - wanted.keys():
            self._following.pop(key).cancel()
        # A task that something else has cancelled ends no group.  Kept, it
        # would count as following, and that engine's events be read no
        # more.
        for key, task in list(self._following.items()):
            if task.done():
                del self._following[key]
        for key, upstream in wanted.items():
            if key not in self._following:
                self._following[key] = group.create_task(
                    self._follow(upstream)
                )

    async def _follow(self, upstream: model.Upstream) -> None:
        position = _Position()
        while True:
            try:
                await self._read(upstream, position)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                metrics.counter(
                    "toucanrudder_event_streams_lost",
                    "Cache event streams that broke or fell silent",
                ).add(1, {"upstream": upstream.name})
            await asyncio.sleep(self._rng.uniform(*RECONNECT_S))

    async def _read(
        self, upstream: model.Upstream, position: "_Position"
    ) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=1.0, sock_read=SILENT_S
        )
        async with self._session.get(
            f"http://{upstream.address}/cache/events",
            params={"after": str(position.sequence)},
            timeout=timeout,
        ) as response:
            response.raise_for_status()
            rest = b""
            async for chunk in response.content.iter_any():
                *lines, rest = (rest + chunk).split(b"\n")
                if len(rest) > MAX_LINE_BYTES:
                    raise ValueError("event line too long")
                for line in lines:
                    self._take(upstream.name, line, position)

    def _take(self, upstream: str, line: bytes, position: "_Position") -> None:
        if not line.strip():
            return
        with _reading():
            event = json.loads(line)
            sequence = int(event["seq"])
            incarnation = str(event["incarnation"])
        position.advance(incarnation, sequence)
        with _reading():
            take = _TAKE.get(str(event["kind"]))
            if take is None:
                return
            keys = tuple(
                bytes.fromhex(each) for each in event.get("blocks", ())
            )
        place = (upstream, incarnation, sequence)
        take(self._beliefs, place, keys, self._clock())


@contextlib.contextmanager
def _reading() -> Iterator[None]:
    """Turn what an event of another shape raises into a ValueError.

    Any other error would end the group of tasks, and with it the reading
    of all engines' events.  Lookups, conversions and the decoder raise no
    errors but these; a ValueError breaks this engine's stream alone.
    """
    try:
        yield
    except (LookupError, TypeError, OverflowError, RecursionError) as error:
        raise ValueError(f"not a cache event: {error!r}") from error


def _stored(believed, place, keys, now_s):
    believed.stored(*place, keys, now_s)


def _evicted(believed, place, keys, now_s):
    believed.evicted(*place, keys, now_s)


def _cleared(believed, place, keys, now_s):
    believed.cleared(*place, now_s)


def _heartbeat(believed, place, keys, now_s):
    believed.heartbeat(*place, now_s)


_TAKE = {
    "stored": _stored,
    "evicted": _evicted,
    "cleared": _cleared,
    "heartbeat": _heartbeat,
}
