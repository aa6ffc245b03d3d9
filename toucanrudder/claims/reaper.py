"""Deletes expired claims at a limited rate."""

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

PAGE_SIZE = 100
DELETES_PER_S = 20.0
PASS_INTERVAL_S = 60.0
CLOCK_SKEW_S = 600.0
MIN_OBSERVED_S = 300.0
MAX_TRACKED = 20_000


@attrs.frozen
class FirstObservation:
    """When this router first observed a claim at `version`."""

    version: int
    at_s: float


def is_expired(
    stored: store.StoredObject,
    observed: Mapping[str, FirstObservation],
    retention_s: float,
    now_s: float,
    now_unix_s: float,
) -> bool:
    """Return whether a claim may be deleted.

    Two clocks must agree.  By the wall clock the claim must be older than
    the retention plus a margin for clock skew.  A jump of the wall clock
    would make every claim look old, even one whose holder is about to
    dispatch.  This router must therefore also have observed the claim
    unchanged, by a clock that cannot be set, for far longer than a holder
    may take to dispatch.

    Parameters
    ----------
    stored : store.StoredObject
        Claim as listed.
    observed : mapping of str to FirstObservation
        First observations of claims, by name.
    retention_s : float
        Seconds for which a claim must be kept.
    now_s : float
        Current time by `toucanrudder.clock`.
    now_unix_s : float
        Wall clock.

    Returns
    -------
    bool
        Whether it may be deleted.
    """
    first_seen = observed.get(stored.name)
    if first_seen is None or first_seen.version != stored.version:
        return False
    if now_s - first_seen.at_s < MIN_OBSERVED_S:
        return False
    try:
        created_s = float(stored.value["created_unix_s"])
    except (KeyError, TypeError, ValueError):
        return False
    return now_unix_s - created_s > retention_s + CLOCK_SKEW_S


class Reaper:
    """Lists claims page by page and deletes those that have expired.

    Deletes are conditional on the version that was checked, so a claim
    that was taken over meanwhile stays, and two routers that both consider
    themselves elected do no harm.

    Parameters
    ----------
    objects : store.ObjectStore
        Store that holds the claims.
    retention_s : callable
        Returns the configured retention in seconds.
    is_elected : callable
        Returns whether this router reaps; electing the live router with
        the least name is sufficient.
    timeout_s : float
        Timeout of one store call in seconds.
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
        self._observed: dict[str, FirstObservation] = {}

    async def run(self) -> None:
        """Make passes until cancelled, while this router is elected."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            if not self._is_elected():
                self._observed.clear()
                continue
            try:
                await self.reap(clock.now_s, time.time)
            except (interface.StoreUnavailable, interface.OutcomeUnknown):
                _LOG.info("store is unavailable; claims are not reaped")
            except Exception:
                _LOG.exception("reaping claims failed")

    async def reap(
        self,
        boot_clock: Callable[[], float],
        wall_clock: Callable[[], float],
        pause_s: float = 1.0 / DELETES_PER_S,
    ) -> int:
        """Make one pass over all claims.

        Parameters
        ----------
        boot_clock : callable
            Clock of `toucanrudder.clock`, in seconds.  A pass may take
            long, so each page is checked against the time it was read.
        wall_clock : callable
            Wall clock, in seconds.
        pause_s : float
            Seconds between two store calls.

        Returns
        -------
        int
            Number of claims deleted.
        """
        deleted = 0
        observed: dict[str, FirstObservation] = {}
        after = ""
        while page := await self._page(after):
            now_s, now_unix_s = boot_clock(), wall_clock()
            for stored in page:
                if is_expired(
                    stored,
                    self._observed,
                    self._retention_s(),
                    now_s,
                    now_unix_s,
                ):
                    deleted += await self._delete(stored)
                    await asyncio.sleep(pause_s)
                elif len(observed) < MAX_TRACKED and self._expires_soon(
                    stored, now_unix_s
                ):
                    observed[stored.name] = self._first_seen(stored, now_s)
            after = page[-1].name
            await asyncio.sleep(pause_s)
        self._observed = observed
        return deleted

    async def _page(self, after: str) -> Sequence[store.StoredObject]:
        return await self._objects.list(
            record.KIND,
            after=after,
            limit=PAGE_SIZE,
            timeout_s=self._timeout_s,
        )

    def _expires_soon(
        self, stored: store.StoredObject, now_unix_s: float
    ) -> bool:
        # Only claims about to expire are tracked: all of a day's claims
        # would not fit into the memory of a small router.
        created_s = stored.value.get("created_unix_s")
        if not isinstance(created_s, int | float):
            return False
        margin_s = CLOCK_SKEW_S - 2 * MIN_OBSERVED_S
        return now_unix_s - created_s > self._retention_s() + margin_s

    def _first_seen(
        self, stored: store.StoredObject, now_s: float
    ) -> FirstObservation:
        previous = self._observed.get(stored.name)
        if previous is not None and previous.version == stored.version:
            return previous
        return FirstObservation(stored.version, now_s)

    async def _delete(self, stored: store.StoredObject) -> int:
        try:
            await self._objects.delete(
                record.KIND,
                stored.name,
                stored.version,
                timeout_s=self._timeout_s,
            )
        except interface.ConditionFailed:
            return 0
        metrics.counter("toucanrudder_claims_reaped", "Deleted claims").add(1)
        return 1


def least_name_election(
    name: str, live: Callable[[], Sequence[str]]
) -> Callable[[], bool]:
    """Return a check that elects the live router with the least name.

    Parameters
    ----------
    name : str
        Name of this router.
    live : callable
        Returns the names of live routers.

    Returns
    -------
    callable
        Returns whether this router is elected.

    Examples
    --------
    >>> least_name_election("r1", lambda: ["r2", "r1"])()
    True
    """
    return lambda: name == min([*live(), name])
