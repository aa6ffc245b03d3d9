"""Deletes claims whose time is over, a few at a time."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import logging
import random
import time

import attrs

from toucanrudder import clock
from toucanrudder import store
from toucanrudder.claims import record
from toucanrudder.observability import metrics
from toucanrudder.store import interface

_LOG = logging.getLogger(__name__)

PAGE = 100
DELETES_PER_S = 20.0
PASS_S = 60.0
SKEW_S = 600.0
WATCHED_S = 300.0
MAX_SIGHTINGS = 20_000


@attrs.frozen
class Sighting:
    """When this router first saw a claim at a version."""

    version: int
    at_s: float


def is_over(
    found: store.StoredObject,
    seen: Mapping[str, Sighting],
    retention_s: float,
    now_s: float,
    now_unix_s: float,
) -> bool:
    """Tell whether a claim may be deleted.

    Two clocks must agree.  By the wall clock the claim must be older than
    the retention and a margin for clocks that differ.  A wall clock that
    jumps would still make every claim look old, also one whose holder is
    about to dispatch: so this router must itself have watched the claim
    unchanged, by a clock that nobody sets, for far longer than a holder
    may take to dispatch.

    Parameters
    ----------
    found : store.StoredObject
        The claim as listed.
    seen : mapping of str to Sighting
        First sightings, by name.
    retention_s : float
        Time for which a claim must be kept.
    now_s : float
        The present time by `toucanrudder.clock`.
    now_unix_s : float
        Wall clock.

    Returns
    -------
    bool
        Whether it may be deleted.
    """
    sighting = seen.get(found.name)
    if sighting is None or sighting.version != found.version:
        return False
    if now_s - sighting.at_s < WATCHED_S:
        return False
    try:
        created_s = float(found.value["created_unix_s"])
    except (KeyError, TypeError, ValueError):
        return False
    return now_unix_s - created_s > retention_s + SKEW_S


class Reaper:
    """Goes through the claims, page by page, and deletes what is over.

    Deletes are conditional on the version that was judged, so a claim
    that was taken over meanwhile stays, and two routers that both think
    it is their turn do no harm.

    Parameters
    ----------
    objects : store.ObjectStore
        Where the claims live.
    retention_s : callable
        Returns the configured retention, seconds.
    is_elected : callable
        Whether this router is the one to reap; the live router with the
        least name is enough.
    timeout_s : float
        Time that one call to the store may take.
    rng : random.Random
        Source of jitter between passes.
    """

    def __init__(
        self,
        objects: store.ObjectStore,
        retention_s: Callable[[], float],
        is_elected: Callable[[], bool],
        *,
        timeout_s: float = 1.0,
        rng: random.Random | None = None,
    ):
        self._objects = objects
        self._retention_s = retention_s
        self._is_elected = is_elected
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._seen: dict[str, Sighting] = {}

    async def run(self) -> None:
        """Make a pass now and then, for ever."""
        while True:
            await asyncio.sleep(PASS_S * self._rng.uniform(0.5, 1.5))
            if not self._is_elected():
                self._seen.clear()
                continue
            try:
                await self.reap(clock.now_s, time.time)
            except (interface.StoreUnavailable, interface.OutcomeUnknown):
                _LOG.info("claims are not reaped: the store is unavailable")
            except Exception:
                _LOG.exception("claims could not be reaped")

    async def reap(
        self,
        boot_s: Callable[[], float],
        wall_s: Callable[[], float],
        pause_s: float = 1.0 / DELETES_PER_S,
    ) -> int:
        """Make one pass over all claims.

        Parameters
        ----------
        boot_s : callable
            The clock of `toucanrudder.clock`; a pass may take long, so each
            page is judged by the time at which it came.
        wall_s : callable
            Wall clock.
        pause_s : float
            Time between two calls.

        Returns
        -------
        int
            Claims deleted.
        """
        deleted = 0
        seen: dict[str, Sighting] = {}
        after = ""
        while page := await self._page(after):
            now_s, now_unix_s = boot_s(), wall_s()
            for found in page:
                if is_over(
                    found, self._seen, self._retention_s(), now_s, now_unix_s
                ):
                    deleted += await self._delete(found)
                    await asyncio.sleep(pause_s)
                elif len(seen) < MAX_SIGHTINGS and self._may_end_soon(
                    found, now_unix_s
                ):
                    seen[found.name] = self._sighting(found, now_s)
            after = page[-1].name
            await asyncio.sleep(pause_s)
        self._seen = seen
        return deleted

    async def _page(self, after: str) -> Sequence[store.StoredObject]:
        return await self._objects.list(
            record.KIND, after=after, limit=PAGE, timeout_s=self._timeout_s
        )

    def _may_end_soon(
        self, found: store.StoredObject, now_unix_s: float
    ) -> bool:
        # Only claims about to end are remembered: all of a day's claims
        # would not fit into a small router's memory.
        created_s = found.value.get("created_unix_s")
        if not isinstance(created_s, int | float):
            return False
        margin_s = SKEW_S - 2 * WATCHED_S
        return now_unix_s - created_s > self._retention_s() + margin_s

    def _sighting(self, found: store.StoredObject, now_s: float) -> Sighting:
        known = self._seen.get(found.name)
        if known is not None and known.version == found.version:
            return known
        return Sighting(found.version, now_s)

    async def _delete(self, found: store.StoredObject) -> int:
        try:
            await self._objects.delete(
                record.KIND,
                found.name,
                found.version,
                timeout_s=self._timeout_s,
            )
        except interface.ConditionFailed:
            return 0
        metrics.counter("toucanrudder_claims_reaped", "Deleted claims").add(1)
        return 1


def least_name_election(
    name: str, live: Callable[[], Sequence[str]]
) -> Callable[[], bool]:
    """Return an `is_elected` by which the least live name reaps.

    Parameters
    ----------
    name : str
        This router.
    live : callable
        Returns the names of live routers.

    Returns
    -------
    callable
        Whether it is this router's turn.

    Examples
    --------
    >>> least_name_election("r1", lambda: ["r2", "r1"])()
    True
    """
    return lambda: name == min([*live(), name])
