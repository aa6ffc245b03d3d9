"""Keeps the accepted configuration document in force on this router."""

import asyncio
from collections.abc import Callable
import logging
import random
import uuid

from toucanrudder import errors
from toucanrudder.controllers import backoff
from toucanrudder.document import acceptance
from toucanrudder.document import model
from toucanrudder.document import serialisation
from toucanrudder.document import validation
from toucanrudder.observability import metrics
from toucanrudder.store import interface

KIND = "configuration"
NAME = "current"
STEP = "configuration"
REOPEN_S = 0.2
REPAIR_S = 0.5
ABSENT_S = 0.5
SETTLE_S = 10.0
MAX_SEEN = 64

logger = logging.getLogger(__name__)

_NO_EFFECT = (interface.ConditionFailed, interface.StoreUnavailable)
_FAILED = (*_NO_EFFECT, interface.OutcomeUnknown)


def _count(event: str) -> None:
    metrics.counter(
        "toucanrudder_configuration_events", "Events of the configuration"
    ).add(1, {"event": event})


class ConfigurationController:
    """Follows the store and the peers, and applies operators' documents.

    The generation in force never falls.  One watch is open at a time.

    Parameters
    ----------
    store : interface.ObjectStore
        Where the accepted document is kept.
    timeout_s : float
        Seconds that one call to the store may take.
    watch_wait_s : float
        Seconds that a watch waits before it is opened anew.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    configured : asyncio.Event
        Set once a document is in force.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        *,
        timeout_s: float = 1.0,
        watch_wait_s: float = 10.0,
        rng: random.Random | None = None,
    ):
        self.configured = asyncio.Event()
        self._store = store
        self._timeout_s = timeout_s
        self._watch_wait_s = watch_wait_s
        self._rng = rng or random.Random()
        self._current: model.Accepted | None = None
        self._subscribers: list[Callable[[model.Accepted], None]] = []
        self._seen: dict[int, str] = {}
        self._version = 0
        self._stored_generation: int | None = 0

    @property
    def current(self) -> model.Accepted | None:
        """The document in force, or None."""
        return self._current

    def subscribe(self, callback: Callable[[model.Accepted], None]) -> None:
        """Call back at once and on each change with what is in force."""
        self._subscribers.append(callback)
        if self._current is not None:
            callback(self._current)

    def offer(self, accepted: model.Accepted) -> bool:
        """Take a peer's document if it is newer; say whether it was."""
        return self._take(accepted, acceptance.Source.PEER)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        failures = 0
        while True:
            try:
                await self._observe()
                failures = 0
            except _FAILED as error:
                failures += 1
                _count(f"watch_{type(error).__name__}")
                await asyncio.sleep(backoff.delay_s(failures, self._rng))

    async def apply(
        self, data: object, expected_generation: int, author: str
    ) -> model.Accepted:
        """Validate a document, store it and put it in force.

        Parameters
        ----------
        data : object
            The document as decoded JSON.
        expected_generation : int
            Generation that the operator started from; 0 for none.
        author : str
            Who applies it.

        Returns
        -------
        model.Accepted
            The document with its generation.

        Raises
        ------
        RudderError
            ``config_invalid``, ``config_conflict`` and
            ``store_unavailable`` had no effect; ``outcome_unknown`` may
            have.
        """
        document = await asyncio.to_thread(validation.parse, data)
        try:
            found = await self._get()
        except interface.StoreUnavailable as error:
            raise _unavailable(str(error)) from error
        self._check_expected(expected_generation, found)
        accepted = model.Accepted(
            expected_generation + 1, uuid.uuid4().hex, author, document
        )
        await self._write_settled(accepted, found)
        self._take(accepted, acceptance.Source.APPLY)
        _count("applied")
        return accepted

    def _check_expected(
        self,
        expected_generation: int,
        found: interface.StoredObject | None,
    ) -> None:
        if found is not None and self._decoded(found) is None:
            raise errors.RudderError(
                errors.Code.CONFIG_CONFLICT,
                "the store holds a document that this version cannot read",
                step=STEP,
                peer="store",
            )
        # In force is the newest document that this router knows of, not
        # what the store holds: the store may have come back older.
        if acceptance.generation_of(self._current) != expected_generation:
            raise self._conflict(self._current)

    def _conflict(
        self, winner: model.Accepted | None
    ) -> acceptance.ConfigurationConflict:
        _count("conflict")
        generation = acceptance.generation_of(winner)
        author = winner.author if winner else ""
        return acceptance.ConfigurationConflict(
            errors.Code.CONFIG_CONFLICT,
            f"generation {generation} by {author!r} is in force",
            step=STEP,
            generation=generation,
            author=author,
        )

    async def _write_settled(
        self, accepted: model.Accepted, found: interface.StoredObject | None
    ) -> None:
        lost = False
        try:
            await self._write(accepted, found)
            return
        except interface.StoreUnavailable as error:
            raise _unavailable(str(error)) from error
        except interface.OutcomeUnknown:
            _count("answer_lost")
            lost = True
        except interface.ConditionFailed:
            _count("condition_failed")
        try:
            async with asyncio.timeout(SETTLE_S):
                await self._settle(accepted, found, lost)
        except TimeoutError as error:
            raise _unknown(accepted) from error

    async def _settle(
        self,
        accepted: model.Accepted,
        found: interface.StoredObject | None,
        lost: bool,
    ) -> None:
        # The answer was lost, perhaps after the write took effect.  The
        # store's apply_id tells.  While it shows the state from before,
        # the write may still be under way, so the same conditional write
        # is sent again: whichever comes second fails its condition.
        failures = 0
        while True:
            try:
                present = await self._get()
                if not self._must_write_again(accepted, present, found, lost):
                    return
                found = present
                await self._write(accepted, found)
                return
            except _FAILED as error:
                lost = lost or isinstance(error, interface.OutcomeUnknown)
                failures += 1
                await asyncio.sleep(backoff.delay_s(failures, self._rng))

    def _must_write_again(
        self,
        accepted: model.Accepted,
        present: interface.StoredObject | None,
        found: interface.StoredObject | None,
        lost: bool,
    ) -> bool:
        stored = self._decoded(present)
        outcome = acceptance.settle(accepted, stored, self._seen)
        if outcome is acceptance.Settled.DONE:
            return False
        if outcome is acceptance.Settled.LOST_RACE:
            raise self._conflict(self._current)
        moved = _version_of(present) != _version_of(found)
        if outcome is acceptance.Settled.UNKNOWN or (moved and lost):
            raise _unknown(accepted)
        return True

    async def _observe(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        found = await self._store.watch(
            KIND, NAME, self._version, wait_s=self._watch_wait_s
        )
        if found is not None:
            self._read(found)
        elif loop.time() - began_s < self._watch_wait_s / 2:
            # There is no such object.  Without a pause this would ask
            # again at once, for ever.
            self._version, self._stored_generation = 0, 0
            await asyncio.sleep(self._rng.uniform(ABSENT_S / 2, ABSENT_S))
        if self._is_store_behind():
            await self._repair()
        elif found is not None:
            # A change answers all routers' watches in one instant.
            await asyncio.sleep(self._rng.uniform(0, REOPEN_S))

    def _is_store_behind(self) -> bool:
        # None: the store holds what this version cannot read, and that
        # must not be overwritten.
        return (
            self._stored_generation is not None
            and self._stored_generation
            < acceptance.generation_of(self._current)
        )

    async def _repair(self) -> None:
        # The store came back in an older state.  Routers started now
        # would take the old document, so that the change would be lost
        # with the last router that holds it.  The jitter lets one of
        # them write; the others then find it done.
        await asyncio.sleep(self._rng.uniform(0, REPAIR_S))
        found = await self._get()
        if not self._is_store_behind():
            return
        logger.warning(
            "store holds generation %s, %s is in force: writing it back",
            self._stored_generation,
            acceptance.generation_of(self._current),
        )
        await self._write(self._current, found)
        _count("repaired")

    async def _get(self) -> interface.StoredObject | None:
        found = await self._store.get(KIND, NAME, timeout_s=self._timeout_s)
        if found is None:
            self._version, self._stored_generation = 0, 0
        else:
            self._read(found)
        return found

    async def _write(
        self, accepted: model.Accepted, found: interface.StoredObject | None
    ) -> None:
        value = serialisation.accepted_to_json(accepted)
        if found is None:
            version = await self._store.create(
                KIND, NAME, value, timeout_s=self._timeout_s
            )
        else:
            version = await self._store.update(
                KIND, NAME, value, found.version, timeout_s=self._timeout_s
            )
        self._version = version
        self._stored_generation = accepted.generation

    def _read(self, found: interface.StoredObject) -> None:
        self._version = found.version
        accepted = self._decoded(found)
        if accepted is None:
            self._stored_generation = None
            return
        self._stored_generation = accepted.generation
        self._take(accepted, acceptance.Source.STORE)

    def _decoded(
        self, found: interface.StoredObject | None
    ) -> model.Accepted | None:
        if found is None:
            return None
        try:
            return serialisation.accepted_from_json(found.value)
        except Exception:
            # cattrs raises groups of whatever its hooks raised.
            _count("unreadable")
            logger.exception("the store's document cannot be read")
            return None

    def _take(
        self, accepted: model.Accepted, source: acceptance.Source
    ) -> bool:
        if source is acceptance.Source.PEER:
            self._seen.setdefault(accepted.generation, accepted.apply_id)
        else:
            self._seen[accepted.generation] = accepted.apply_id
        while len(self._seen) > MAX_SEEN:
            del self._seen[min(self._seen)]
        if not acceptance.supersedes(accepted, self._current, source):
            return False
        self._current = accepted
        self.configured.set()
        _count(f"taken_from_{source.value}")
        logger.info(
            "generation %s by %r is in force (from %s)",
            accepted.generation,
            accepted.author,
            source.value,
        )
        for callback in self._subscribers:
            self._notify(callback, accepted)
        return True

    def _notify(
        self,
        callback: Callable[[model.Accepted], None],
        accepted: model.Accepted,
    ) -> None:
        try:
            callback(accepted)
        except Exception:
            # One subscriber's fault must not keep the document from the
            # others, nor end the task that follows the store.
            logger.exception("a subscriber failed")


def _version_of(found: interface.StoredObject | None) -> int:
    return found.version if found else 0


def _unavailable(message: str) -> errors.RudderError:
    _count("store_unavailable")
    return errors.RudderError(
        errors.Code.STORE_UNAVAILABLE,
        f"the document was not stored: {message}",
        step=STEP,
        peer="store",
        retry_after_s=backoff.LONGEST_S,
    )


def _unknown(accepted: model.Accepted) -> errors.RudderError:
    _count("outcome_unknown")
    return errors.RudderError(
        errors.Code.OUTCOME_UNKNOWN,
        "the store gave no answer; compare with the document in force "
        f"(generation {accepted.generation}, apply_id {accepted.apply_id})",
        step=STEP,
        peer="store",
        ran=errors.Ran.UNKNOWN,
        retry_after_s=backoff.LONGEST_S,
    )
