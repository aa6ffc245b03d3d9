"""Acquires, finishes and releases claims in the object store."""

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


def _outcome(name: str) -> None:
    metrics.counter("toucanrudder_claims", "Claims by outcome").add(
        1, {"outcome": name}
    )


@attrs.define(eq=False)
class Claim:
    """The right of one attempt to dispatch one request.

    Made by :meth:`ClaimKeeper.acquire`.
    """

    keeper: "ClaimKeeper" = attrs.field(repr=False)
    name: str
    record: record.Record
    version: int
    claimed_at_s: float
    dispatched: bool = False

    def check(self, now_s: float) -> None:
        """Call right before each dispatch; marks the claim dispatched.

        Parameters
        ----------
        now_s : float
            The present time by `toucanrudder.clock`.

        Raises
        ------
        RudderError
            ``claim_expired``: the claim is too old; nothing was sent
            by this call.
        """
        limits = self.keeper.limits
        # Once released, another router may hold the claim: a dispatch
        # under it here would be the second run.
        released = self.record.state is not record.State.STARTED
        if released or not decision.may_dispatch(
            self.claimed_at_s, now_s, limits
        ):
            _outcome("expired")
            raise errors.RudderError(
                errors.Code.CLAIM_EXPIRED,
                "the claim became too old before its dispatch",
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
        """Note proof that the last dispatch reached no upstream."""
        self.dispatched = False

    async def finish(self, result: record.Result | None) -> None:
        """Store the upstream's answer for later tries of the request.

        None says that the request ran and its answer is too large to keep.

        Waits for the store for a short time only; past it the answer is
        stored in the background.  A router that dies in between leaves
        the claim started, which reads as an unknown outcome.
        """
        kept = result
        if result and len(result.body) > self.keeper.max_result_bytes:
            kept = None
        self.record = attrs.evolve(
            self.record, state=record.State.DONE, result=kept
        )
        await self.keeper.settle(self.name, self.record, self.version)

    async def release(self) -> None:
        """Let the next try run; call only with proof that nothing ran."""
        self.dispatched = False
        self.record = attrs.evolve(self.record, state=record.State.NOT_RUN)
        await self.keeper.abandon(self.name, self.record)


@attrs.frozen
class _Pending:
    name: str
    record: record.Record
    version: int | None


class ClaimKeeper:
    """Claims of this router, through the object store.

    Parameters
    ----------
    objects : store.ObjectStore
        Where the claims live.
    router : str
        Name of this router.
    timeout_s : float
        Time that one call to the store may take.
    save_within_s : float
        Time for which an answer waits for its claim's last write.
    limits : decision.Limits
        Bounds of a claim's life.
    max_result_bytes : int
        Largest body that is retained.
    rng : random.Random
        Source of backoff jitter.
    wall_s : callable
        Wall clock, for the stamp in the record.
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
        wall_s=time.time,
    ):
        self.limits = limits
        self.max_result_bytes = max_result_bytes
        self._objects = objects
        self._router = router
        self._timeout_s = timeout_s
        self._save_within_s = save_within_s
        self._rng = rng or random.Random()
        self._wall_s = wall_s
        self._never_dispatched: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pending: collections.deque[_Pending] = collections.deque()
        self._worker: asyncio.Task | None = None

    async def acquire(
        self, organisation: str, key: str, body_sha256: str, now_s: float
    ) -> Claim | decision.Replay:
        """Claim the request, or learn what became of its earlier try.

        Parameters
        ----------
        organisation : str
            Whose request it is.
        key : str
            The caller's idempotency key.
        body_sha256 : str
            Digest of all that makes the request: method, path and body.
        now_s : float
            The present time by `toucanrudder.clock`.

        Returns
        -------
        Claim or decision.Replay
            The right to dispatch, or the retained answer.

        Raises
        ------
        RudderError
            ``store_unavailable`` (not run), ``already_started``,
            ``outcome_unknown``, ``already_done`` or
            ``idempotency_key_reused``.
        """
        name = record.name_of(organisation, key)
        wanted = record.Record(
            attempt=uuid.uuid4().hex,
            body_sha256=body_sha256,
            state=record.State.STARTED,
            router=self._router,
            created_unix_s=self._wall_s(),
        )
        trial = _Trial()
        try:
            action = await self._settle_claim(name, wanted, trial)
        except (Exception, asyncio.CancelledError):
            # Also when the caller leaves: a write that was under way may
            # still take effect.  Left alone it would read as started for
            # the whole retention, though nothing will ever be sent.
            if trial.wrote:
                self._abandon_later(name, wanted)
            raise
        if isinstance(action, decision.Refuse):
            _outcome(action.code.value)
            raise errors.RudderError(
                action.code,
                action.message,
                step=STEP,
                peer=PEER,
                ran=action.ran,
                retry_after_s=action.retry_after_s,
            )
        if isinstance(action, decision.Replay):
            _outcome("replayed")
            return action
        _outcome("acquired")
        return Claim(self, name, wanted, action.version, now_s)

    async def _settle_claim(
        self, name: str, wanted: record.Record, trial: "_Trial"
    ) -> decision.Hold | decision.Replay | decision.Refuse:
        action: decision.Action = decision.Create()
        for _ in range(MAX_ROUNDS):
            written = await self._write(name, wanted, action, trial)
            if written is not None:
                return decision.Hold(written)
            found = await self._read(name)
            action = decision.decide(
                found,
                wanted.attempt,
                wanted.body_sha256,
                frozenset(self._never_dispatched),
                self._wall_s(),
                self.limits,
            )
            if not isinstance(action, decision.Create | decision.TakeOver):
                return action
        raise self._unavailable("the claim's write could not be settled")

    async def _write(
        self,
        name: str,
        wanted: record.Record,
        action: decision.Create | decision.TakeOver,
        trial: "_Trial",
    ) -> int | None:
        """Try the write; None means that only a read can tell."""
        before = trial.wrote
        trial.wrote = True
        try:
            return await self._put(name, wanted, action)
        except interface.ConditionFailed:
            trial.wrote = before
            return None
        except interface.OutcomeUnknown:
            # The write may have taken effect.  The next read tells by the
            # attempt's identity; no second identity is ever used for it,
            # so a late copy of this write cannot pass for another try.
            _outcome("write_unsettled")
            return None
        except interface.StoreUnavailable as error:
            trial.wrote = before
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

    async def _read(self, name: str) -> record.Found | None:
        try:
            found = await self._objects.get(
                record.KIND, name, timeout_s=self._timeout_s
            )
        except interface.StoreUnavailable as error:
            raise self._unavailable(str(error)) from error
        if found is None:
            return None
        try:
            return record.Found(
                found.version, record.Record.from_value(found.value)
            )
        except (ValueError, KeyError, TypeError):
            _LOG.warning("claim %s cannot be read", name)
            return record.Found(found.version, None)

    def _unavailable(self, why: str) -> errors.RudderError:
        _outcome("store_unavailable")
        return errors.RudderError(
            errors.Code.STORE_UNAVAILABLE,
            f"the request could not be claimed: {why}",
            step=STEP,
            peer=PEER,
            ran=errors.Ran.NOT_RUN,
            retry_after_s=self.limits.retry_after_s,
        )

    async def abandon(self, name: str, last: record.Record) -> None:
        """Mark the claim not run, now or in the background."""
        self._remember(last.attempt)
        _outcome("released")
        # Read first, whatever its version was: a store that has gone back
        # gives versions out again, also to another attempt's claim.
        await self.settle(name, last, None)

    def _abandon_later(self, name: str, wanted: record.Record) -> None:
        self._remember(wanted.attempt)
        last = attrs.evolve(wanted, state=record.State.NOT_RUN)
        self._enqueue(_Pending(name, last, None))

    def _remember(self, attempt: str) -> None:
        self._never_dispatched[attempt] = None
        if len(self._never_dispatched) > MAX_PENDING:
            self._never_dispatched.popitem(last=False)

    async def settle(
        self, name: str, last: record.Record, version: int | None
    ) -> None:
        """Write a claim's last state within the bound, else later."""
        pending = _Pending(name, last, version)
        try:
            async with asyncio.timeout(self._save_within_s):
                if await self._settle_once(pending):
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

    async def _settle_once(self, pending: _Pending) -> bool:
        """Make the stored claim say what `pending` does; True when done."""
        version = pending.version
        if version is None:
            found = await self._objects.get(
                record.KIND, pending.name, timeout_s=self._timeout_s
            )
            if found is None:
                # The claim's own write may still be under way.  A claim
                # created here, on condition, makes it fail when it comes.
                await self._objects.create(
                    record.KIND,
                    pending.name,
                    pending.record.to_value(),
                    timeout_s=self._timeout_s,
                )
                return True
            if not _is_started(found.value, pending.record.attempt):
                return True
            version = found.version
        await self._objects.update(
            record.KIND,
            pending.name,
            pending.record.to_value(),
            version,
            timeout_s=self._timeout_s,
        )
        return True

    def _enqueue(self, pending: _Pending) -> None:
        if len(self._pending) >= MAX_PENDING:
            # Bounded memory in a long outage.  A dropped claim stays
            # started and reads as an unknown outcome, which is true.
            self._pending.popleft()
            _outcome("settling_dropped")
        self._pending.append(attrs.evolve(pending, version=None))
        if self._worker is None or self._worker.done():
            self._worker = asyncio.create_task(self._work())

    async def _work(self) -> None:
        delay_s = BACKOFF_S[0]
        while self._pending:
            pending = self._pending[0]
            try:
                await self._settle_once(pending)
            except (
                interface.StoreUnavailable,
                interface.OutcomeUnknown,
                interface.ConditionFailed,
            ):
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, BACKOFF_S[1])
                continue
            except Exception:
                _LOG.exception("claim %s could not be settled", pending.name)
                _outcome("settling_dropped")
            else:
                _outcome("settled_later")
            delay_s = BACKOFF_S[0]
            if self._pending and self._pending[0] is pending:
                self._pending.popleft()

    async def drain(self, timeout_s: float) -> int:
        """Wait for background writes; return how many are left."""
        if self._worker is not None:
            await asyncio.wait([self._worker], timeout=timeout_s)
            self._worker.cancel()
        return len(self._pending)


@attrs.define
class _Trial:
    """Whether a write of this attempt may have reached the store."""

    wrote: bool = False


def _is_started(value: dict, attempt: str) -> bool:
    return (
        value.get("attempt") == attempt
        and value.get("state") == record.State.STARTED.value
    )
