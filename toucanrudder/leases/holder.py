"""Takes, renews and gives up one lease."""

import asyncio
from collections.abc import Callable
import contextlib
import random
import uuid

import attrs

from toucanrudder import clock as clocks
from toucanrudder import errors
from toucanrudder.leases import decision
from toucanrudder.observability import metrics
from toucanrudder.store import feed
from toucanrudder.store import interface
from toucanrudder.store import strange
from toucanrudder.store import typed

KIND = "leases"
STEP = "lease"

#: Pause between two looks at the lease, by the holder and by others.
LOOK_S = 2.0

_FAILED = (
    interface.ConditionFailed,
    interface.StoreUnavailable,
    interface.OutcomeUnknown,
)


def _count(event: str) -> None:
    metrics.counter("toucanrudder_lease_events", "Events of leases").add(
        1, {"event": event}
    )


class LeaseHolder:
    """One process's part in one lease.

    Parameters
    ----------
    store : interface.ConditionalStore
        Where the lease is kept.
    name : str
        The lease's name.
    holder_id : str
        Identity of this process, unique also over restarts.
    is_candidate : callable
        Whether this process should try to get the lease.
    can_act : callable
        Whether this process could do what the lease is for.
    fencing_floor : callable
        Highest fencing number known to be in use; the lease's object may
        be older than that after the store came back in an older state.
    timeout_s : float
        Seconds that one call to the store may take.
    rng : random.Random
        For jitter.
    clock : callable
        Time that runs on while the host is suspended.
    timing : decision.LeaseTiming
        The same for all processes that want the lease.
    """

    def __init__(
        self,
        store: interface.ConditionalStore,
        name: str,
        holder_id: str,
        *,
        is_candidate: Callable[[], bool] = lambda: True,
        can_act: Callable[[], bool] = lambda: True,
        fencing_floor: Callable[[], int] = lambda: 0,
        timeout_s: float = 1.0,
        rng: random.Random | None = None,
        clock: Callable[[], float] = clocks.now_s,
        timing: decision.LeaseTiming = decision.DEFAULT_TIMING,
    ):
        self._store = store
        self.name = name
        self.holder_id = holder_id
        self._is_candidate = is_candidate
        self._is_able = can_act
        self._fencing_floor = fencing_floor
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._clock = clock
        self.timing = timing
        self._seen: decision.Seen | None = None
        self._lease: decision.Lease | None = None
        self._era = 0
        self._restored_s = float("-inf")

    def current_lease(self, now_s: float) -> decision.Lease | None:
        """Return the lease if this process may act on it now.

        A lease that was written before the store was restored may be lost.
        """
        lease = self._lease
        if lease is None or lease.era != self._store.era:
            return None
        return lease if lease.is_valid(now_s) else None

    def require_lease(self, now_s: float) -> decision.Lease:
        """Return the lease; call right before each order.

        Raises
        ------
        RudderError
            ``lease_lost``: the process was paused, or the store could
            not be reached for too long, and another may hold it now.
        """
        lease = self.current_lease(now_s)
        if lease is None:
            _count("lost_before_order")
            raise errors.RudderError(
                errors.Code.LEASE_LOST,
                f"lease {self.name} is not held any more",
                step=STEP,
                peer="store",
            )
        return lease

    def observe(self, found: interface.StoredObject, now_s: float) -> None:
        """Take in the lease's object as a watch has told it.

        Failure: the holder falls silent.  Symptom: whoever first reads the
        lease only when there is work waits out a whole term from then on,
        so the next orders come twice as late as they could.  Whoever was
        told of each write counts from the last one.
        """
        position = feed.Position(self._store.era, found.version)
        if self._seen is None or position > self._seen.position:
            self._take_in(found, now_s)

    def _take_in(
        self, found: interface.StoredObject | None, now_s: float
    ) -> None:
        """Note what the store has just answered."""
        era = self._store.era
        if era != self._era:
            if self._era:
                self._restored_s = now_s
            self._era = era
        self._seen = _seen(self._seen, found, era, now_s)

    def _next_step(self, now_s: float) -> decision.Step:
        return decision.next_step(
            self._seen,
            self.holder_id,
            now_s,
            self.timing,
            restored_s=self._restored_s,
            is_held=self._lease is not None and self._lease.is_valid(now_s),
        )

    def is_held_by_other(self, now_s: float) -> bool:
        """Whether another is known to hold it; asking would tell no more."""
        return self._next_step(now_s) is decision.Step.WAIT

    async def run(self) -> None:
        """Try to get the lease and keep it, until cancelled.

        Failure: a holder is cut off from those whom it is to order, but
        not from the store.  Symptom: it renews the lease, and what it is
        for is done by nobody.  So who is not able gives it up; what is on
        its way is covered as at any change of the holder.
        """
        while True:
            if not self._is_able():
                await self.release()
            elif self._lease is not None or self._is_candidate():
                with contextlib.suppress(*_FAILED):
                    await self.reconcile()
            await asyncio.sleep(LOOK_S * self._rng.uniform(0.75, 1.0))

    async def reconcile(self) -> None:
        """Read the lease once and do what follows from it.

        Raises the store's exceptions; calling again is always safe.
        """
        found = await self._store.get(
            KIND, self.name, timeout_s=self._timeout_s
        )
        now_s = self._clock()
        self._take_in(found, now_s)
        step = self._next_step(now_s)
        if step is decision.Step.WAIT:
            self._forget()
            return
        try:
            await self._write(step)
        except interface.ConditionFailed:
            self._forget()
            raise

    async def release(self) -> None:
        """Give the lease up, so that another need not wait out the term.

        Call it when no order is under way any more.
        """
        if self._lease is None or self._seen is None:
            return
        self._forget()
        is_held_by_other = self._seen.record.holder != self.holder_id
        if is_held_by_other or self._seen.position.era != self._store.era:
            # A watch has told that another took it over meanwhile, or
            # another's write may have the same version.
            return
        record = attrs.evolve(self._seen.record, holder="")
        with contextlib.suppress(*_FAILED):
            await self._store.update(
                KIND,
                self.name,
                attrs.asdict(record),
                self._seen.position.revision,
                timeout_s=self._timeout_s,
            )

    async def _write(self, step: decision.Step) -> None:
        record = self._next_record(step)
        released = self._seen is not None and not self._seen.record.holder
        sent_s = self._clock()
        value = attrs.asdict(record)
        try:
            if self._seen is None:
                version = await self._store.create(
                    KIND, self.name, value, timeout_s=self._timeout_s
                )
            else:
                version = await self._store.update(
                    KIND,
                    self.name,
                    value,
                    self._seen.position.revision,
                    timeout_s=self._timeout_s,
                )
        except interface.OutcomeUnknown:
            # The write may have taken effect.  Its identity tells; the
            # time counts from before it was sent, as if it had answered.
            _count("answer_lost")
            version = await self._version_if_written(record)
        era = self._store.era
        if era != self._era:
            raise interface.ConditionFailed("the store was restored meanwhile")
        position = feed.Position(era, version)
        self._seen = decision.Seen(position, record, self._clock())
        self._hold(record, sent_s, released)

    def _next_record(self, step: decision.Step) -> decision.Record:
        before = self._seen.record if self._seen else decision.Record()
        floor = self._fencing_floor()
        fencing, lease = before.fencing, self._lease
        is_renewal = (
            step is decision.Step.RENEW
            and lease is not None
            and lease.fencing == fencing
        )
        if not is_renewal or floor > fencing:
            # Above the floor too: the store may have come back older,
            # and engines that check would refuse a number they are past.
            least = decision.min_fencing(self._era)
            fencing = max(fencing, floor, least) + 1
        return decision.Record(self.holder_id, fencing, uuid.uuid4().hex)

    async def _version_if_written(self, record: decision.Record) -> int:
        found = await self._store.get(
            KIND, self.name, timeout_s=self._timeout_s
        )
        seen = _seen(None, found, self._store.era, self._clock())
        if seen is None or seen.record.write_id != record.write_id:
            raise interface.ConditionFailed("another write came first")
        return found.version

    def _hold(
        self, record: decision.Record, sent_s: float, released: bool
    ) -> None:
        before = self._lease
        valid_until_s = decision.valid_until_s(sent_s, self.timing)
        if before is not None and before.fencing == record.fencing:
            self._lease = attrs.evolve(
                before, valid_until_s=valid_until_s, era=self._era
            )
            return
        _count("acquired")
        self._lease = decision.Lease(
            record.fencing, self._clock(), valid_until_s, released, self._era
        )

    def _forget(self) -> None:
        if self._lease is not None:
            _count("lost")
        self._lease = None


def _seen(
    before: decision.Seen | None,
    found: interface.StoredObject | None,
    era: int,
    now_s: float,
) -> decision.Seen | None:
    if found is None:
        return None
    try:
        record = typed.read(
            decision.Record, found.value, f"{found.kind}/{found.name}"
        )
    except interface.MalformedObject as error:
        strange.log_malformed(error)
        record = _unreadable(before, found.version)
    position = feed.Position(era, found.version)
    return decision.observe(before, position, record, now_s)


def _unreadable(before: decision.Seen | None, version: int) -> decision.Record:
    """Return what a lease that somebody has spoilt is taken for.

    Failure: another writer replaces the lease by something else.  Symptom:
    nobody can take it any more, or somebody takes it with a fencing number
    that engines are past.  So it counts as held by somebody unknown, for
    as long as any holder could hold it; and numbers go on from the
    store's own version, which has risen with each of them.
    """
    fencing = before.record.fencing if before else 0
    return decision.Record(holder="?", fencing=max(fencing, version))
