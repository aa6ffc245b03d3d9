"""Acquires, completes and releases claims in the object store."""

import asyncio
import collections
import logging
import random
import time
import uuid

import attrs

from toucanrudder import errors
from toucanrudder import store
from toucanrudder.claims import decision
from toucanrudder.claims import record
from toucanrudder.observability import metrics
from toucanrudder.store import interface

_LOG = logging.getLogger(__name__)

STEP = "claim"
PEER = "store"
MAX_RESULT_BYTES = 65_536
MAX_PENDING = 4_096
MAX_ROUNDS = 6
BACKOFF_S = (0.1, 5.0)


def _count_outcome(name: str) -> None:
    metrics.counter("toucanrudder_claims", "Claims by outcome").add(
        1, {"outcome": name}
    )


@attrs.define(eq=False)
class Claim:
    """Right of one attempt to dispatch one request.

    Returned by :meth:`ClaimKeeper.acquire`.
    """

    keeper: "ClaimKeeper" = attrs.field(repr=False)
    name: str
    record: record.Record
    version: int
    claimed_at_s: float
    dispatched: bool = False

    def check(self, now_s: float) -> None:
        """Mark the claim dispatched; call right before each dispatch.

        Parameters
        ----------
        now_s : float
            Current time by `toucanrudder.clock`.

        Raises
        ------
        RudderError
            ``claim_expired``: the claim is too old; this dispatch must
            not be sent.
        """
        limits = self.keeper.limits
        # After a release another router may hold the claim, and a dispatch
        # here would be a second run.
        released = self.record.state is not record.State.STARTED
        if released or not decision.may_dispatch(
            self.claimed_at_s, now_s, limits
        ):
            _count_outcome("expired")
            raise errors.RudderError(
                errors.Code.CLAIM_EXPIRED,
                "the claim expired before its dispatch",
                step=STEP,
                ran=(
                    errors.Ran.UNKNOWN
                    if self.dispatched
                    else errors.Ran.NOT_RUN
                ),
                retry_after_s=limits.retry_after_s,
            )
        self.dispatched = True

    def mark_not_dispatched(self) -> None:
        """Record proof that the last dispatch reached no upstream."""
        self.dispatched = False

    async def finish(self, result: record.Result | None) -> None:
        """Store the upstream's response for later attempts.

        None means that the request ran and its response is too large to
        retain.

        Waits for the store for a short time only; after that the response
        is stored in the background.  A router that dies in between leaves
        the claim started, which reads as an unknown outcome.
        """
        retained = result
        if result and len(result.body) > self.keeper.max_result_bytes:
            retained = None
        self.record = attrs.evolve(
            self.record, state=record.State.DONE, result=retained
        )
        await self.keeper.write_final(self.name, self.record, self.version)

    async def release(self) -> None:
        """Let the next attempt run; call only with proof that nothing ran."""
        self.dispatched = False
        self.record = attrs.evolve(self.record, state=record.State.NOT_RUN)
        await self.keeper.mark_not_run(self.name, self.record)


@attrs.frozen
class _PendingWrite:
    name: str
    record: record.Record
    version: int | None


class ClaimKeeper:
    """Manages the claims of this router in the object store.

    Parameters
    ----------
    objects : store.ObjectStore
        Store that holds the claims.
    router : str
        Name of this router.
    timeout_s : float
        Timeout of one store call in seconds.
    save_within_s : float
        Seconds for which a response waits for the final write of its claim.
    limits : decision.Limits
        Time limits of a claim.
    max_result_bytes : int
        Largest body that is retained.
    rng : random.Random
        Source of backoff jitter.
    wall_clock : callable
        Wall clock in seconds, for the timestamp in the record.
    """

    def __init__(
        self,
        objects: store.ObjectStore,
        router: str,
        *,
        timeout_s: float = 1.0,
        save_within_s: float = 0.25,
        limits: decision.Limits = decision.Limits(),
        max_result_bytes: int = MAX_RESULT_BYTES,
        rng: random.Random | None = None,
        wall_clock=time.time,
    ):
        self.limits = limits
        self.max_result_bytes = max_result_bytes
        self._objects = objects
        self._router = router
        self._timeout_s = timeout_s
        self._save_within_s = save_within_s
        self._rng = rng or random.Random()
        self._wall_clock = wall_clock
        self._never_dispatched: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pending: collections.deque[_PendingWrite] = collections.deque()
        self._worker: asyncio.Task | None = None

    async def acquire(
        self, organisation: str, key: str, body_sha256: str, now_s: float
    ) -> Claim | decision.Replay:
        """Claim the request, or return the result of an earlier attempt.

        Parameters
        ----------
        organisation : str
            Organisation that sent the request.
        key : str
            Idempotency key of the caller.
        body_sha256 : str
            Digest of the request: method, path and body.
        now_s : float
            Current time by `toucanrudder.clock`.

        Returns
        -------
        Claim or decision.Replay
            Right to dispatch, or the retained response.

        Raises
        ------
        RudderError
            ``store_unavailable`` (not run), ``already_started``,
            ``outcome_unknown``, ``already_done`` or
            ``idempotency_key_reused``.
        """
        name = record.object_name(organisation, key)
        wanted = record.Record(
            attempt=uuid.uuid4().hex,
            body_sha256=body_sha256,
            state=record.State.STARTED,
            router=self._router,
            created_unix_s=self._wall_clock(),
        )
        progress = _WriteProgress()
        try:
            action = await self._resolve(name, wanted, progress)
        except (Exception, asyncio.CancelledError):
            # Also when the caller disconnects: a write in flight may still
            # take effect.  The claim would then read as started for the
            # whole retention, although it will never be dispatched.
            if progress.may_have_written:
                self._mark_not_run_later(name, wanted)
            raise
        if isinstance(action, decision.Refuse):
            _count_outcome(action.code.value)
            raise errors.RudderError(
                action.code,
                action.message,
                step=STEP,
                peer=PEER,
                ran=action.ran,
                retry_after_s=action.retry_after_s,
            )
        if isinstance(action, decision.Replay):
            _count_outcome("replayed")
            return action
        _count_outcome("acquired")
        return Claim(self, name, wanted, action.version, now_s)

    async def _resolve(
        self, name: str, wanted: record.Record, progress: "_WriteProgress"
    ) -> decision.Hold | decision.Replay | decision.Refuse:
        action: decision.Action = decision.Create()
        for _ in range(MAX_ROUNDS):
            version = await self._write(name, wanted, action, progress)
            if version is not None:
                return decision.Hold(version)
            stored = await self._read(name)
            action = decision.decide(
                stored,
                wanted.attempt,
                wanted.body_sha256,
                frozenset(self._never_dispatched),
                self._wall_clock(),
                self.limits,
            )
            if not isinstance(action, decision.Create | decision.TakeOver):
                return action
        raise self._unavailable("the outcome of its write is unknown")

    async def _write(
        self,
        name: str,
        wanted: record.Record,
        action: decision.Create | decision.TakeOver,
        progress: "_WriteProgress",
    ) -> int | None:
        """Write the claim; return its version, or None if a read must tell."""
        had_written = progress.may_have_written
        progress.may_have_written = True
        try:
            return await self._put(name, wanted, action)
        except interface.ConditionFailed:
            progress.may_have_written = had_written
            return None
        except interface.OutcomeUnknown:
            # The write may have taken effect.  The attempt's identity in
            # the next read shows it; all writes of an attempt use the same
            # identity, so a late copy cannot pass for another attempt.
            _count_outcome("write_unsettled")
            return None
        except interface.StoreUnavailable as error:
            progress.may_have_written = had_written
            raise self._unavailable(str(error)) from error

    async def _put(
        self,
        name: str,
        wanted: record.Record,
        action: decision.Create | decision.TakeOver,
    ) -> int:
        value = wanted.to_value()
        if isinstance(action, decision.Create):
            return await self._objects.create(
                record.KIND, name, value, timeout_s=self._timeout_s
            )
        return await self._objects.update(
            record.KIND,
            name,
            value,
            action.version,
            timeout_s=self._timeout_s,
        )

    async def _read(self, name: str) -> record.StoredClaim | None:
        try:
            stored = await self._objects.get(
                record.KIND, name, timeout_s=self._timeout_s
            )
        except interface.StoreUnavailable as error:
            raise self._unavailable(str(error)) from error
        if stored is None:
            return None
        try:
            return record.StoredClaim(
                stored.version, record.Record.from_value(stored.value)
            )
        except (ValueError, KeyError, TypeError):
            _LOG.warning("claim %s has an unreadable value", name)
            return record.StoredClaim(stored.version, None)

    def _unavailable(self, reason: str) -> errors.RudderError:
        _count_outcome("store_unavailable")
        return errors.RudderError(
            errors.Code.STORE_UNAVAILABLE,
            f"the request could not be claimed: {reason}",
            step=STEP,
            peer=PEER,
            ran=errors.Ran.NOT_RUN,
            retry_after_s=self.limits.retry_after_s,
        )

    async def mark_not_run(self, name: str, final: record.Record) -> None:
        """Mark the claim not run, now or in the background."""
        self._add_never_dispatched(final.attempt)
        _count_outcome("released")
        # Without a version the claim is read first: a restored store issues
        # versions again, possibly to the claim of another attempt.
        await self.write_final(name, final, None)

    def _mark_not_run_later(self, name: str, wanted: record.Record) -> None:
        self._add_never_dispatched(wanted.attempt)
        final = attrs.evolve(wanted, state=record.State.NOT_RUN)
        self._enqueue(_PendingWrite(name, final, None))

    def _add_never_dispatched(self, attempt: str) -> None:
        self._never_dispatched[attempt] = None
        if len(self._never_dispatched) > MAX_PENDING:
            self._never_dispatched.popitem(last=False)

    async def write_final(
        self, name: str, final: record.Record, version: int | None
    ) -> None:
        """Write a claim's final state within the time limit, else later."""
        pending = _PendingWrite(name, final, version)
        try:
            async with asyncio.timeout(self._save_within_s):
                if await self._try_write_final(pending):
                    return
        except (
            TimeoutError,
            interface.StoreUnavailable,
            interface.OutcomeUnknown,
            interface.ConditionFailed,
        ):
            pass
        except asyncio.CancelledError:
            self._enqueue(pending)
            raise
        self._enqueue(pending)

    async def _try_write_final(self, pending: _PendingWrite) -> bool:
        """Write the pending state once; return True when it is settled."""
        version = pending.version
        if version is None:
            stored = await self._objects.get(
                record.KIND, pending.name, timeout_s=self._timeout_s
            )
            if stored is None:
                # The claim's own write may still be in flight.  Creating
                # the claim here, on condition, makes that write fail.
                await self._objects.create(
                    record.KIND,
                    pending.name,
                    pending.record.to_value(),
                    timeout_s=self._timeout_s,
                )
                return True
            if not _is_started(stored.value, pending.record.attempt):
                return True
            version = stored.version
        await self._objects.update(
            record.KIND,
            pending.name,
            pending.record.to_value(),
            version,
            timeout_s=self._timeout_s,
        )
        return True

    def _enqueue(self, pending: _PendingWrite) -> None:
        if len(self._pending) >= MAX_PENDING:
            # Bounds memory in a long outage.  A dropped claim stays started
            # and reads as an unknown outcome, which is correct.
            self._pending.popleft()
            _count_outcome("settling_dropped")
        self._pending.append(attrs.evolve(pending, version=None))
        if self._worker is None or self._worker.done():
            self._worker = asyncio.create_task(self._write_pending())

    async def _write_pending(self) -> None:
        delay_s = BACKOFF_S[0]
        while self._pending:
            pending = self._pending[0]
            try:
                await self._try_write_final(pending)
            except (
                interface.StoreUnavailable,
                interface.OutcomeUnknown,
                interface.ConditionFailed,
            ):
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, BACKOFF_S[1])
                continue
            except Exception:
                _LOG.exception(
                    "writing the final state of claim %s failed", pending.name
                )
                _count_outcome("settling_dropped")
            else:
                _count_outcome("settled_later")
            delay_s = BACKOFF_S[0]
            if self._pending and self._pending[0] is pending:
                self._pending.popleft()

    async def drain(self, timeout_s: float) -> int:
        """Wait for background writes; return the number still pending."""
        if self._worker is not None:
            await asyncio.wait([self._worker], timeout=timeout_s)
            self._worker.cancel()
        return len(self._pending)


@attrs.define
class _WriteProgress:
    """Whether a write of an attempt may have taken effect in the store."""

    may_have_written: bool = False


def _is_started(value: dict, attempt: str) -> bool:
    return (
        value.get("attempt") == attempt
        and value.get("state") == record.State.STARTED.value
    )
