"""Follows what engines tell of their caches."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import functools
import logging
import random

import attrs

from toucanrudder import clock
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import state as states
from toucanrudder.membership import settling
from toucanrudder.observability import decisions
from toucanrudder.placement import rendezvous

LOG = logging.getLogger(__name__)

#: How long a question waits at an engine; longer waits cost nothing, and
#: a connection that has gone silent is noticed this late.
WAIT_S = 1.0

#: Pause after a question that failed.
PAUSE_S = 0.5

#: Pause between two looks at which engines there are.
LOOK_S = 0.5

#: Routers beyond which engines are not asked: each would hear of few of
#: them.  Their requests name the store of parts or a part's home instead.
MOST_ROUTERS = 16

#: Questions that an engine keeps open at once for us, unless the
#: configuration allows it fewer; the rest is left to others who ask.
MAX_ASKING = 8


def polls_engines(routers: int) -> bool:
    """Return whether engines are asked what their caches hold.

    Examples
    --------
    >>> polls_engines(8), polls_engines(65)
    (True, False)
    """
    return routers <= MOST_ROUTERS


@attrs.frozen
class CacheUpdate:
    """What an engine told of its cache.

    Parameters
    ----------
    epoch : int
        Changes when the engine restarts.
    next : int
        What the next question goes on from.
    events : tuple of cache.Event
        What was stored and dropped, in order.
    born_ms : int
        Unix time of its start; 0 if it does not say.
    """

    epoch: int
    next: int
    events: tuple[cache.Event, ...]
    born_ms: int = 0


#: What tells of its cache.
CacheSource = model.Upstream | model.CacheStore


@functools.singledispatch
def source_key(source: CacheSource) -> str:
    """Return the name under which a source's parts are believed."""
    raise TypeError(f"{type(source).__name__} keeps no parts")


@source_key.register
def _(source: model.Upstream) -> str:
    return source.incarnation


@source_key.register
def _(source: model.CacheStore) -> str:
    return source.address


class CacheDialect(abc.ABC):
    """Questions to an engine or a store about its cache."""

    @abc.abstractmethod
    async def cache_events(
        self, source: CacheSource, since: int, *, wait_s: float
    ) -> CacheUpdate | None:
        """Return events after `since`; None if there was no answer."""


class CacheFeedController:
    """Asks each engine and store for what its cache does.

    Parameters
    ----------
    state : states.ForwardingState
        Tells which engines there are; its index is written here.
    dialect : CacheDialect
        Speaks with them.
    routers : callable
        Returns the names of all live routers, this one included.
    rng : random.Random
        For jitter.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        dialect: CacheDialect,
        routers: Callable[[], list[str]],
        rng: random.Random,
    ):
        self._state = state
        self._dialect = dialect
        self._routers = routers
        self._rng = rng
        self._asking: dict[str, asyncio.Task] = {}
        self._settling = settling.Settling()

    async def run(self) -> None:
        """Ask until cancelled."""
        try:
            while True:
                self._look(clock.now_s())
                await asyncio.sleep(LOOK_S)
        finally:
            # Left in the table, they would keep the next run from asking:
            # no cache of theirs would be used again.
            while self._asking:
                self._asking.popitem()[1].cancel()

    def _look(self, now_s: float) -> None:
        ended = self._forget_ended()
        engines, stores = self._state.engines(), self._state.cache_stores()
        routers = tuple(sorted(self._routers()))
        if self._settling.is_settled(len(routers), now_s):
            self._adjust((*engines, *stores), routers, ended)
        self._forget_unused(engines, stores)

    def _adjust(
        self, sources: tuple[CacheSource, ...], routers: tuple[str, ...], ended
    ) -> None:
        """Begin and end questions, so that the right routers ask."""
        asked = sources
        if not polls_engines(len(routers)):
            asked = tuple(
                each for each in sources if isinstance(each, model.CacheStore)
            )
        wanted = {
            source_key(each): each
            for each in asked
            if self._is_asker(source_key(each), routers)
        }
        for name in set(self._asking) - set(wanted):
            self._asking.pop(name).cancel()
        for name in set(wanted) - set(self._asking) - ended:
            self._asking[name] = asyncio.get_running_loop().create_task(
                self._ask(wanted[name])
            )

    def _forget_unused(
        self,
        engines: Iterable[model.Upstream],
        stores: Iterable[model.CacheStore],
    ) -> None:
        """Drop beliefs in engines that are gone, and in old weights."""
        oldest = {
            each.incarnation: min(each.weights.values(), default=0)
            for each in engines
        }
        everywhere = min(oldest.values(), default=0)
        oldest.update({each.address: everywhere for each in stores})
        dropped = self._state.cache.retain(oldest)
        if dropped:
            decisions.record(decisions.BeliefsDropped(parts=dropped))

    def _forget_ended(self) -> set[str]:
        """Forget tasks that have ended; return their sources' names.

        None ends by itself: an error that nobody expected, or a
        cancellation inside a call, has ended it.  Kept, it would count as
        asking, and the source's cache would not be used again.  Each look
        comes here first, and the next one asks again, so that a lasting
        fault costs one question in a look.
        """
        ended = {name for name, task in self._asking.items() if task.done()}
        for name in ended:
            error = _reason(self._asking.pop(name))
            LOG.error(
                "no longer asked %s for its cache: %r; asking again",
                name,
                error,
                exc_info=error,
            )
        return ended

    def _is_asker(self, name: str, routers: tuple[str, ...]) -> bool:
        """Whether this router is among those that ask the source.

        All rank alike, so that it is asked by a bounded number of routers
        however many there are.
        """
        if len(routers) <= MAX_ASKING:
            return True
        return self._state.name in _askers(name, routers)

    async def _ask(self, source: CacheSource) -> None:
        since = 0
        while True:
            told = await self._dialect.cache_events(
                source, since, wait_s=WAIT_S
            )
            _note_health(source, self._state, told is not None)
            if told is None:
                await asyncio.sleep(PAUSE_S * self._rng.uniform(0.75, 1.25))
                continue
            if not _is_of(source, told):
                # A start that the registry has not told of yet, or a word
                # of an earlier one.
                await asyncio.sleep(PAUSE_S)
                continue
            since = told.next
            self._state.cache.apply_events(
                source_key(source), told.epoch, told.events
            )


def _reason(task: asyncio.Task) -> BaseException | None:
    """Return what ended a task."""
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()


@functools.singledispatch
def _is_of(source: CacheSource, told: CacheUpdate) -> bool:
    """Whether the words come from this start of the source."""
    return True


@_is_of.register
def _(source: model.Upstream, told: CacheUpdate) -> bool:
    return source.is_same_start(told.born_ms)


@functools.lru_cache(maxsize=256)
def _askers(name: str, routers: tuple[str, ...]) -> frozenset[str]:
    # Asked twice a second for each source, and the same until a router
    # comes or goes: ranking 82 routers takes 0.1 ms.
    return frozenset(
        rendezvous.ranked(name.encode()[:64], routers)[:MAX_ASKING]
    )


@functools.singledispatch
def _note_health(
    source: CacheSource, state: states.ForwardingState, answered: bool
) -> None:
    """Note whether a source answers; an engine's requests tell more."""


@_note_health.register
def _(
    source: model.CacheStore, state: states.ForwardingState, answered: bool
) -> None:
    health = state.store_health
    if health.is_failing(source.address) is answered:
        change = "back" if answered else "lost"
        decisions.record(
            decisions.PartStoreSeen(address=source.address, change=change)
        )
    if answered:
        health.record_answer(source.address)
    else:
        health.record_failure(source.address, clock.now_s())
