"""Polls engines and stores for their cache events."""

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
from toucanrudder.membership import convergence
from toucanrudder.observability import decisions
from toucanrudder.placement import rendezvous

LOG = logging.getLogger(__name__)

#: Duration of a long poll.  A longer one would cost nothing, but a silent
#: connection is detected only after this time.
POLL_WAIT_S = 1.0

#: Delay before the retry of a failed poll.
RETRY_DELAY_S = 0.5

#: Interval between two checks of which sources to poll.
REFRESH_INTERVAL_S = 0.5

#: Number of routers beyond which engines are not polled: each router would
#: get the events of few.  Requests then name the part store or a part's home.
MAX_POLLING_ROUTERS = 16

#: Most routers that poll one source.  An engine keeps this many polls of
#: routers open at once, unless it is configured for fewer; the rest of its
#: limit is left to other clients.
MAX_POLLERS = 8


def polls_engines(routers: int) -> bool:
    """Return whether so many routers poll engines for cache events.

    Examples
    --------
    >>> polls_engines(8), polls_engines(65)
    (True, False)
    """
    return routers <= MAX_POLLING_ROUTERS


@attrs.frozen
class CacheUpdate:
    """Cache events of an engine or store since the last poll.

    Parameters
    ----------
    epoch : int
        Changes when the engine restarts.
    next : int
        Position that the next poll starts from.
    events : tuple of cache.Event
        Stored and evicted parts, in order.
    started_at_ms : int
        Unix time of its start in ms; 0 if unknown.
    """

    epoch: int
    next: int
    events: tuple[cache.Event, ...]
    started_at_ms: int = 0


#: An engine or a store that reports cache events.
CacheSource = model.Upstream | model.CacheStore


@functools.singledispatch
def source_key(source: CacheSource) -> str:
    """Return the key of a source in the cache index."""
    raise TypeError(f"{type(source).__name__} has no cache events")


@source_key.register
def _(source: model.Upstream) -> str:
    return source.incarnation


@source_key.register
def _(source: model.CacheStore) -> str:
    return source.address


class CacheDialect(abc.ABC):
    """Calls to an engine or a store about its cache."""

    @abc.abstractmethod
    async def cache_events(
        self, source: CacheSource, since: int, *, wait_s: float
    ) -> CacheUpdate | None:
        """Return events after `since`; None if there was no answer."""


class CacheFeedController:
    """Task that polls engines and stores for cache events.

    Parameters
    ----------
    state : states.ForwardingState
        Holds the known engines and stores and the index that is updated.
    dialect : CacheDialect
        Calls to them.
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
        self._polls: dict[str, asyncio.Task] = {}
        self._convergence = convergence.ConvergenceDetector()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                self._refresh(clock.now_s())
                await asyncio.sleep(REFRESH_INTERVAL_S)
        finally:
            # Tasks left in the table would keep the next run from polling
            # their sources, whose caches would not be used again.
            while self._polls:
                self._polls.popitem()[1].cancel()

    def _refresh(self, now_s: float) -> None:
        ended = self._drop_ended()
        engines, stores = self._state.engines(), self._state.cache_stores()
        routers = tuple(sorted(self._routers()))
        if self._convergence.has_converged(len(routers), now_s):
            self._update_polls((*engines, *stores), routers, ended)
        self._drop_unused(engines, stores)

    def _update_polls(
        self, sources: tuple[CacheSource, ...], routers: tuple[str, ...], ended
    ) -> None:
        """Start and stop polls as routers and sources come and go."""
        polled = sources
        if not polls_engines(len(routers)):
            polled = tuple(
                source
                for source in sources
                if isinstance(source, model.CacheStore)
            )
        wanted = {
            source_key(source): source
            for source in polled
            if self._is_poller(source_key(source), routers)
        }
        for name in set(self._polls) - set(wanted):
            self._polls.pop(name).cancel()
        for name in set(wanted) - set(self._polls) - ended:
            self._polls[name] = asyncio.get_running_loop().create_task(
                self._poll(wanted[name])
            )

    def _drop_unused(
        self,
        engines: Iterable[model.Upstream],
        stores: Iterable[model.CacheStore],
    ) -> None:
        """Drop cached parts of gone engines and of old weights."""
        oldest = {
            engine.incarnation: min(engine.weights.values(), default=0)
            for engine in engines
        }
        fleet_oldest = min(oldest.values(), default=0)
        oldest.update({store.address: fleet_oldest for store in stores})
        dropped = self._state.cache.retain(oldest)
        if dropped:
            decisions.record(decisions.BeliefsDropped(parts=dropped))

    def _drop_ended(self) -> set[str]:
        """Drop tasks that have ended; return the keys of their sources.

        A poll never ends by itself, only by an unexpected error or a
        cancellation inside a call.  If kept, it would count as running, and
        the source's cache would not be used again.  Each check calls this
        first and the next check starts the poll again, so that a permanent
        fault costs one poll per check.
        """
        ended = {name for name, task in self._polls.items() if task.done()}
        for name in ended:
            error = _task_error(self._polls.pop(name))
            LOG.error(
                "poll of the cache of %s ended: %r; polling again",
                name,
                error,
                exc_info=error,
            )
        return ended

    def _is_poller(self, name: str, routers: tuple[str, ...]) -> bool:
        """Whether this router is among those that poll the source.

        All routers compute the same ranking, so that a bounded number of
        them polls it, however many there are.
        """
        if len(routers) <= MAX_POLLERS:
            return True
        return self._state.name in _pollers(name, routers)

    async def _poll(self, source: CacheSource) -> None:
        since = 0
        while True:
            update = await self._dialect.cache_events(
                source, since, wait_s=POLL_WAIT_S
            )
            _record_health(source, self._state, update is not None)
            if update is None:
                await asyncio.sleep(
                    RETRY_DELAY_S * self._rng.uniform(0.75, 1.25)
                )
                continue
            if not _is_current(source, update):
                # From a start that is not registered yet, or an earlier one.
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            since = update.next
            self._state.cache.apply_events(
                source_key(source), update.epoch, update.events
            )


def _task_error(task: asyncio.Task) -> BaseException | None:
    """Return the exception that ended a task."""
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()


@functools.singledispatch
def _is_current(source: CacheSource, update: CacheUpdate) -> bool:
    """Whether the update comes from this start of the source."""
    return True


@_is_current.register
def _(source: model.Upstream, update: CacheUpdate) -> bool:
    return source.is_same_start(update.started_at_ms)


@functools.lru_cache(maxsize=256)
def _pollers(name: str, routers: tuple[str, ...]) -> frozenset[str]:
    # Called twice a second for each source, and the same until a router
    # comes or goes; ranking 82 routers takes 0.1 ms.
    return frozenset(
        rendezvous.ranked(name.encode()[:64], routers)[:MAX_POLLERS]
    )


@functools.singledispatch
def _record_health(
    source: CacheSource, state: states.ForwardingState, answered: bool
) -> None:
    """Record a store's health; that of engines follows from requests."""


@_record_health.register
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
