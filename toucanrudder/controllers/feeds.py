"""Watches one kind of objects in the store."""

import asyncio
from collections.abc import Callable
import logging
import random

import attrs

from toucanrudder import backoff
from toucanrudder import clock
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics
from toucanrudder.store import feed
from toucanrudder.store import interface

LOG = logging.getLogger(__name__)

#: Bounds of the backoff after failed calls: a recovered store is noticed
#: within half a second on average, and one that is down gets no more than
#: about two calls a second from each follower.
BASE_DELAY_S = 0.1
MAX_DELAY_S = 0.6

#: Interval at which `is_wanted` is polled while the kind is not watched.
INACTIVE_POLL_S = 0.5

#: Delay per follower before changes are requested again, so that they are
#: batched, and its upper bound.  While new weights are loaded, one upstream
#: after the other changes its entry, and each change would cost one call
#: for each router.  The bound is a quarter of the shortest time in which a
#: leaving upstream must be noticed.
BATCHING_S_PER_FOLLOWER = 0.006
MAX_BATCHING_S = 0.5


def batching_delay_s(followers: int) -> float:
    """Return the seconds for which changes are batched.

    Examples
    --------
    >>> batching_delay_s(1), batching_delay_s(400)
    (0.006, 0.5)
    """
    return min(BATCHING_S_PER_FOLLOWER * followers, MAX_BATCHING_S)


@attrs.frozen
class FeedCallbacks:
    """Callbacks of a `FeedController`.

    Parameters
    ----------
    on_snapshot : callable
        Given all objects and the monotonic time, after a start and when
        changes were missed.
    on_change : callable
        Given one change and the monotonic time.
    on_recovery : callable
        Given the monotonic time, after an outage and before the other
        callbacks.
    on_confirmed : callable
        Given the monotonic time at which all that was passed on is up to
        date, and the time by which the next confirmation is due.
    """

    on_snapshot: Callable[[tuple[interface.StoredObject, ...], float], None]
    on_change: Callable[[feed.Change, float], None]
    on_recovery: Callable[[float], None] = lambda now_s: None
    on_confirmed: Callable[[float, float], None] = lambda now_s, due_s: None


class FeedController:
    """Passes a kind's objects and their changes to callbacks.

    Parameters
    ----------
    source : feed.KindFeed
        Store of the objects.
    kind : str
        Kind of the objects.
    callbacks : FeedCallbacks
        Called with what is read.
    timeout_s : float
        Timeout of a snapshot in seconds.
    wait_s : callable
        Returns the seconds that a watch waits.  They bound how long a
        silent connection looks like "no change".
    rng : random.Random
        Source of jitter.
    followers : callable
        Returns how many routers watch the kind.
    is_wanted : callable
        Returns whether this router is one of them.
    first_wait_s : callable
        Returns the seconds that the first watch after a change or a failure
        waits, or None if it waits as long as any other.  Both end the
        watches of all followers at the same time.
    """

    def __init__(
        self,
        source: feed.KindFeed,
        kind: str,
        callbacks: FeedCallbacks,
        *,
        timeout_s: float,
        wait_s: Callable[[], float],
        rng: random.Random,
        followers: Callable[[], int] = lambda: 1,
        is_wanted: Callable[[], bool] = lambda: True,
        first_wait_s: Callable[[], float | None] = lambda: None,
    ):
        self._source = source
        self.kind = kind
        self._callbacks = callbacks
        self._timeout_s = timeout_s
        self._wait_s = wait_s
        self._rng = rng
        self._followers = followers
        self._is_wanted = is_wanted
        self._first_wait_s = first_wait_s
        self._has_common_start = True
        self._has_missed_news = asyncio.Event()
        self._position: feed.Position | None = None
        self._failures = 0
        self._outage_start_s = 0.0

    def recheck(self) -> None:
        """Replace the pending watch, which has missed news of others."""
        self._has_missed_news.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if not self._is_wanted():
                await asyncio.sleep(INACTIVE_POLL_S)
                continue
            try:
                await self._step()
            except feed.HistoryGone:
                LOG.info(
                    "history is no longer kept; reading a new snapshot",
                    extra={"peer": self.kind},
                )
                self._position = None
            except interface.StoreUnavailable as error:
                await self._handle_failure(error)

    async def _step(self) -> None:
        if self._position is None:
            snapshot = await self._source.snapshot(
                self.kind, timeout_s=self._timeout_s
            )
            now_s = self._record_success()
            self._callbacks.on_snapshot(snapshot.objects, now_s)
            self._confirm(now_s)
            self._position = snapshot.position
            self._has_common_start = True
            return
        changes = await self._watch(self._position, self._next_wait_s())
        now_s = self._record_success()
        for change in changes.changes:
            self._callbacks.on_change(change, now_s)
        self._confirm(now_s)
        self._position = changes.position
        if changes.changes:
            self._has_common_start = True
            await asyncio.sleep(batching_delay_s(self._followers()))

    async def _watch(
        self, position: feed.Position, wait_s: float
    ) -> feed.Changes:
        """Return the changes of a watch, which `recheck` ends as failed."""
        self._has_missed_news.clear()
        watch = asyncio.ensure_future(
            self._source.changes(self.kind, position, wait_s=wait_s)
        )
        missed = asyncio.ensure_future(self._has_missed_news.wait())
        try:
            await asyncio.wait(
                (watch, missed), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
        finally:
            watch.cancel()
            missed.cancel()
        raise interface.StoreUnavailable("the watch has missed a change")

    def _next_wait_s(self) -> float:
        if self._failures:
            # Without waiting, to notice a recovery soon.
            return 0.0
        first_wait_s = None
        if self._has_common_start:
            first_wait_s = self._first_wait_s()
        if first_wait_s is None:
            return self._wait_s()
        self._has_common_start = False
        return first_wait_s

    def _confirm(self, now_s: float) -> None:
        due_s = now_s + MAX_BATCHING_S + self._wait_s()
        self._callbacks.on_confirmed(now_s, due_s)

    def _record_success(self) -> float:
        now_s = clock.now_s()
        # A single failed call is no outage: watches are cut now and then
        # while the store is healthy.
        if self._failures > 1:
            decisions.record(
                decisions.StoreRegained(
                    kind=self.kind, away_s=now_s - self._outage_start_s
                )
            )
            self._callbacks.on_recovery(now_s)
        if self._failures:
            # An outage, like a change, ends the watches of all followers.
            self._has_common_start = True
        self._failures = 0
        return now_s

    async def _handle_failure(self, error: Exception) -> None:
        self._failures += 1
        metrics.counter(
            "toucanrudder_store_failures", "Calls to the store that failed"
        ).add(1, {"kind": self.kind})
        if self._failures == 1:
            self._outage_start_s = clock.now_s()
            return
        if self._failures == 2:
            decisions.record(
                decisions.StoreLost(kind=self.kind, error=str(error))
            )
        pause_s = backoff.exponential_s(
            self._failures - 1, BASE_DELAY_S, MAX_DELAY_S
        )
        await asyncio.sleep(pause_s * self._rng.uniform(0.75, 1.25))
