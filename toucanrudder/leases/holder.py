"""Acquires, renews and releases one lease."""

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

#: Longest pause between two reads of the lease, by the holder and by others.
POLL_INTERVAL_S = 2.0

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
    """Acquires and keeps one lease for this process.

    Parameters
    ----------
    store : interface.ConditionalStore
        Store that holds the lease object.
    name : str
        Name of the lease.
    holder_id : str
        Identity of this process; must differ after a restart.
    is_candidate : callable
        Returns whether this process should try to acquire the lease.
    can_act : callable
        Returns whether this process is able to do the work that the lease
        protects.
    fencing_floor : callable
        Returns the highest fencing number known to be in use; the lease
        object may hold a lower one after the store was restored.
    timeout_s : float
        Timeout of one store call in seconds.
    rng : random.Random
        Source of jitter.
    clock : callable
        Monotonic time in seconds that includes the time for which the host
        is suspended.
    timing : decision.LeaseTiming
        Must be the same for all processes that compete for the lease.
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
        self._can_act = can_act
        self._fencing_floor = fencing_floor
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._clock = clock
        self.timing = timing
        self._observed: decision.Observation | None = None
        self._lease: decision.Lease | None = None
        self._era = 0
        self._restored_s = float("-inf")

    def current_lease(self, now_s: float) -> decision.Lease | None:
        """Return the lease if this process may act under it now, else None.

        A lease written before the store was restored may be lost in it.
        """
        lease = self._lease
        if lease is None or lease.era != self._store.era:
            return None
        return lease if lease.is_valid(now_s) else None

    def require_lease(self, now_s: float) -> decision.Lease:
        """Return the lease, or raise; call right before each order.

        Raises
        ------
        RudderError
            ``lease_lost``: the process was paused, or the store was
            unreachable for too long, and another process may hold the
            lease now.
        """
        lease = self.current_lease(now_s)
        if lease is None:
            _count("lost_before_order")
            raise errors.RudderError(
                errors.Code.LEASE_LOST,
                f"lease {self.name} is no longer held",
                step=STEP,
                peer="store",
            )
        return lease

    def observe(self, stored: interface.StoredObject, now_s: float) -> None:
        """Record the lease object that a watch reported.

        A process that reads the lease only once there is work waits a
        whole term from that read after the holder has failed, and the next
        orders come twice as late as necessary.  With a watch the wait
        counts from the holder's last write.
        """
        position = feed.Position(self._store.era, stored.version)
        if self._observed is None or position > self._observed.position:
            self._record(stored, now_s)

    def _record(
        self, stored: interface.StoredObject | None, now_s: float
    ) -> None:
        """Record the lease object that the store returned."""
        era = self._store.era
        if era != self._era:
            if self._era:
                self._restored_s = now_s
            self._era = era
        self._observed = _observation(self._observed, stored, era, now_s)

    def _next_step(self, now_s: float) -> decision.Step:
        return decision.next_step(
            self._observed,
            self.holder_id,
            now_s,
            self.timing,
            restored_s=self._restored_s,
            is_held=self._lease is not None and self._lease.is_valid(now_s),
        )

    def is_held_by_other(self, now_s: float) -> bool:
        """Return whether another may hold the lease, as last observed.

        Reading the lease from the store is then unnecessary.
        """
        return self._next_step(now_s) is decision.Step.WAIT

    async def run(self) -> None:
        """Acquire the lease and keep it, until cancelled.

        A holder that reaches the store but not the upstreams it gives
        orders to would renew the lease while nobody does the work.  A
        process that cannot act therefore releases the lease; orders in
        flight are covered as at any other change of the holder.
        """
        while True:
            if not self._can_act():
                await self.release()
            elif self._lease is not None or self._is_candidate():
                with contextlib.suppress(*_FAILED):
                    await self.reconcile()
            await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.75, 1.0))

    async def reconcile(self) -> None:
        """Read the lease, then acquire or renew it if this is allowed.

        Raises the exceptions of the store; calling again is always safe.
        """
        stored = await self._store.get(
            KIND, self.name, timeout_s=self._timeout_s
        )
        now_s = self._clock()
        self._record(stored, now_s)
        step = self._next_step(now_s)
        if step is decision.Step.WAIT:
            self._drop_lease()
            return
        try:
            await self._write(step)
        except interface.ConditionFailed:
            self._drop_lease()
            raise

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait.

        Call it only when no order is in flight any more.
        """
        if self._lease is None or self._observed is None:
            return
        self._drop_lease()
        is_held_by_other = self._observed.record.holder != self.holder_id
        if is_held_by_other or self._observed.position.era != self._store.era:
            # Either a watch has reported a new holder, or the store was
            # restored and another's write may have the same version.
            return
        record = attrs.evolve(self._observed.record, holder="")
        with contextlib.suppress(*_FAILED):
            await self._store.update(
                KIND,
                self.name,
                attrs.asdict(record),
                self._observed.position.revision,
                timeout_s=self._timeout_s,
            )

    async def _write(self, step: decision.Step) -> None:
        record = self._next_record(step)
        follows_release = (
            self._observed is not None and not self._observed.record.holder
        )
        sent_s = self._clock()
        value = attrs.asdict(record)
        try:
            if self._observed is None:
                version = await self._store.create(
                    KIND, self.name, value, timeout_s=self._timeout_s
                )
            else:
                version = await self._store.update(
                    KIND,
                    self.name,
                    value,
                    self._observed.position.revision,
                    timeout_s=self._timeout_s,
                )
        except interface.OutcomeUnknown:
            # The write may have taken effect.  Its write_id shows whether;
            # the validity counts from before it was sent, as usual.
            _count("answer_lost")
            version = await self._version_if_written(record)
        era = self._store.era
        if era != self._era:
            raise interface.ConditionFailed(
                "the store was restored during the write"
            )
        position = feed.Position(era, version)
        self._observed = decision.Observation(position, record, self._clock())
        self._set_lease(record, sent_s, follows_release)

    def _next_record(self, step: decision.Step) -> decision.Record:
        current = (
            self._observed.record if self._observed else decision.Record()
        )
        floor = self._fencing_floor()
        fencing, lease = current.fencing, self._lease
        is_renewal = (
            step is decision.Step.RENEW
            and lease is not None
            and lease.fencing == fencing
        )
        if not is_renewal or floor > fencing:
            # Above the floor too: the store may have been restored from an
            # older copy, and engines reject a number below their own.
            era_floor = decision.min_fencing(self._era)
            fencing = max(fencing, floor, era_floor) + 1
        return decision.Record(self.holder_id, fencing, uuid.uuid4().hex)

    async def _version_if_written(self, record: decision.Record) -> int:
        stored = await self._store.get(
            KIND, self.name, timeout_s=self._timeout_s
        )
        current = _observation(None, stored, self._store.era, self._clock())
        if current is None or current.record.write_id != record.write_id:
            raise interface.ConditionFailed("another write came first")
        return stored.version

    def _set_lease(
        self, record: decision.Record, sent_s: float, follows_release: bool
    ) -> None:
        previous = self._lease
        valid_until_s = decision.valid_until_s(sent_s, self.timing)
        if previous is not None and previous.fencing == record.fencing:
            self._lease = attrs.evolve(
                previous, valid_until_s=valid_until_s, era=self._era
            )
            return
        _count("acquired")
        self._lease = decision.Lease(
            record.fencing,
            self._clock(),
            valid_until_s,
            follows_release,
            self._era,
        )

    def _drop_lease(self) -> None:
        if self._lease is not None:
            _count("lost")
        self._lease = None


def _observation(
    previous: decision.Observation | None,
    stored: interface.StoredObject | None,
    era: int,
    now_s: float,
) -> decision.Observation | None:
    if stored is None:
        return None
    try:
        record = typed.read(
            decision.Record, stored.value, f"{stored.kind}/{stored.name}"
        )
    except interface.MalformedObject as error:
        strange.log_malformed(error)
        record = _malformed_record(previous, stored.version)
    position = feed.Position(era, stored.version)
    return decision.observe(previous, position, record, now_s)


def _malformed_record(
    previous: decision.Observation | None, version: int
) -> decision.Record:
    """Return the record that stands in for a malformed lease object.

    When another writer has overwritten the lease, nobody could acquire it
    any more, or somebody would acquire it with a fencing number that
    engines reject.  It therefore counts as held by an unknown holder, for
    as long as any holder could hold it.  Fencing numbers continue from the
    object's version, which has increased with each of them.
    """
    fencing = previous.record.fencing if previous else 0
    return decision.Record(holder="?", fencing=max(fencing, version))
