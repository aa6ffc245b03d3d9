"""Keeps this router's configuration document up to date."""

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
REWATCH_JITTER_S = 0.2
REPAIR_JITTER_S = 0.5
ABSENT_POLL_S = 0.5
RESOLVE_TIMEOUT_S = 10.0
MAX_APPLY_IDS = 64
MIN_FIRST_WAIT_SHARE = 0.1

logger = logging.getLogger(__name__)

_NO_EFFECT_ERRORS = (interface.ConditionFailed, interface.StoreUnavailable)
_STORE_ERRORS = (*_NO_EFFECT_ERRORS, interface.OutcomeUnknown)


def _count(event: str) -> None:
    metrics.counter(
        "toucanrudder_configuration_events", "Events of the configuration"
    ).add(1, {"event": event})


class ConfigurationController:
    """Adopts newer documents, and stores those that operators apply.

    Documents come from the store, from peers and from operators.  The
    generation in force never decreases.  One watch is open at a time.

    Parameters
    ----------
    store : interface.ObjectStore
        Store of the accepted document.
    timeout_s : float
        Timeout of one call to the store, in seconds.
    watch_wait_s : float
        Seconds after which a watch is reopened.
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
        self._apply_ids: dict[int, str] = {}
        self._version = 0
        self._stored_generation: int | None = 0
        self._has_common_start = True

    @property
    def current(self) -> model.Accepted | None:
        """The document in force, or None."""
        return self._current

    def subscribe(self, callback: Callable[[model.Accepted], None]) -> None:
        """Call back with the document in force, now and on each change."""
        self._subscribers.append(callback)
        if self._current is not None:
            callback(self._current)

    def offer(self, accepted: model.Accepted) -> bool:
        """Adopt a peer's document if it is newer; return whether it was."""
        return self._adopt(accepted, acceptance.Source.PEER)

    async def run(self) -> None:
        """Watch the store until cancelled."""
        failures = 0
        while True:
            try:
                await self._watch()
                failures = 0
            except _STORE_ERRORS as error:
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
            Generation that the operator's change is based on; 0 for none.
        author : str
            Who applies it.

        Returns
        -------
        model.Accepted
            The document with its generation.

        Raises
        ------
        RudderError
            With ``config_invalid``, ``config_conflict`` or
            ``store_unavailable`` nothing was changed; with
            ``outcome_unknown`` the document may have been stored.
        """
        document = await asyncio.to_thread(validation.parse, data)
        try:
            stored_object = await self._get()
        except interface.StoreUnavailable as error:
            raise _store_unavailable(str(error)) from error
        self._check_expected(expected_generation, stored_object)
        accepted = model.Accepted(
            expected_generation + 1, uuid.uuid4().hex, author, document
        )
        await self._write_resolved(accepted, stored_object)
        self._adopt(accepted, acceptance.Source.APPLY)
        _count("applied")
        return accepted

    def _check_expected(
        self,
        expected_generation: int,
        stored_object: interface.StoredObject | None,
    ) -> None:
        if stored_object is not None and self._decode(stored_object) is None:
            raise errors.RudderError(
                errors.Code.CONFIG_CONFLICT,
                "the store holds a document that this version cannot read",
                step=STEP,
                peer="store",
            )
        # Compared with the newest document that this router knows, not
        # with the stored one: the store may have been restored from an
        # older copy.
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

    async def _write_resolved(
        self,
        accepted: model.Accepted,
        stored_object: interface.StoredObject | None,
    ) -> None:
        answer_lost = False
        try:
            await self._write(accepted, stored_object)
            return
        except interface.StoreUnavailable as error:
            raise _store_unavailable(str(error)) from error
        except interface.OutcomeUnknown:
            _count("answer_lost")
            answer_lost = True
        except interface.ConditionFailed:
            _count("condition_failed")
        try:
            async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                await self._resolve(accepted, stored_object, answer_lost)
        except TimeoutError as error:
            raise _outcome_unknown(accepted) from error

    async def _resolve(
        self,
        accepted: model.Accepted,
        stored_object: interface.StoredObject | None,
        answer_lost: bool,
    ) -> None:
        # The answer was lost, perhaps after the write took effect, which
        # the stored apply_id shows.  While the store holds the previous
        # state, the write may still be in flight, so the same conditional
        # write is sent again: whichever arrives second fails its condition.
        failures = 0
        while True:
            try:
                current_object = await self._get()
                if not self._must_retry_write(
                    accepted, current_object, stored_object, answer_lost
                ):
                    return
                stored_object = current_object
                await self._write(accepted, stored_object)
                return
            except _STORE_ERRORS as error:
                answer_lost = answer_lost or isinstance(
                    error, interface.OutcomeUnknown
                )
                failures += 1
                await asyncio.sleep(backoff.delay_s(failures, self._rng))

    def _must_retry_write(
        self,
        accepted: model.Accepted,
        current_object: interface.StoredObject | None,
        previous_object: interface.StoredObject | None,
        answer_lost: bool,
    ) -> bool:
        stored = self._decode(current_object)
        outcome = acceptance.write_outcome(accepted, stored, self._apply_ids)
        if outcome is acceptance.Settled.DONE:
            return False
        if outcome is acceptance.Settled.LOST_RACE:
            raise self._conflict(self._current)
        changed = _version_of(current_object) != _version_of(previous_object)
        if outcome is acceptance.Settled.UNKNOWN or (changed and answer_lost):
            raise _outcome_unknown(accepted)
        return True

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        wait_s = self._watch_wait_s
        if self._has_common_start:
            # A change ends the watches of all routers at the same time.  If
            # the answers to the next ones are lost, one should end soon.
            wait_s *= self._rng.uniform(MIN_FIRST_WAIT_SHARE, 1.0)
        stored_object = await self._store.watch(
            KIND, NAME, self._version, wait_s=wait_s
        )
        self._has_common_start = stored_object is not None
        if stored_object is not None:
            self._handle_object(stored_object)
        elif loop.time() - started_s < wait_s / 2:
            # The object does not exist, so the watch returned at once.
            # Without a delay this would become a busy loop.
            self._version, self._stored_generation = 0, 0
            await asyncio.sleep(
                self._rng.uniform(ABSENT_POLL_S / 2, ABSENT_POLL_S)
            )
        if self._is_store_behind():
            await self._repair()
        elif stored_object is not None:
            # A change ends the watches of all routers at the same time.
            await asyncio.sleep(self._rng.uniform(0, REWATCH_JITTER_S))

    def _is_store_behind(self) -> bool:
        # None: the stored document is not readable by this version, and
        # must not be overwritten.
        return (
            self._stored_generation is not None
            and self._stored_generation
            < acceptance.generation_of(self._current)
        )

    async def _repair(self) -> None:
        # The store was restored to an older state.  Routers started now
        # would adopt the old document, and the change would be lost with
        # the last router that holds it.  With the jitter, one router
        # usually writes first and the others find the store up to date.
        await asyncio.sleep(self._rng.uniform(0, REPAIR_JITTER_S))
        stored_object = await self._get()
        if not self._is_store_behind():
            return
        logger.warning(
            "store holds generation %s, older than generation %s in force; "
            "writing the newer one back",
            self._stored_generation,
            acceptance.generation_of(self._current),
        )
        await self._write(self._current, stored_object)
        _count("repaired")

    async def _get(self) -> interface.StoredObject | None:
        stored_object = await self._store.get(
            KIND, NAME, timeout_s=self._timeout_s
        )
        if stored_object is None:
            self._version, self._stored_generation = 0, 0
        else:
            self._handle_object(stored_object)
        return stored_object

    async def _write(
        self,
        accepted: model.Accepted,
        stored_object: interface.StoredObject | None,
    ) -> None:
        value = serialisation.accepted_to_json(accepted)
        if stored_object is None:
            version = await self._store.create(
                KIND, NAME, value, timeout_s=self._timeout_s
            )
        else:
            version = await self._store.update(
                KIND,
                NAME,
                value,
                stored_object.version,
                timeout_s=self._timeout_s,
            )
        self._version = version
        self._stored_generation = accepted.generation

    def _handle_object(self, stored_object: interface.StoredObject) -> None:
        self._version = stored_object.version
        accepted = self._decode(stored_object)
        if accepted is None:
            self._stored_generation = None
            return
        self._stored_generation = accepted.generation
        self._adopt(accepted, acceptance.Source.STORE)

    def _decode(
        self, stored_object: interface.StoredObject | None
    ) -> model.Accepted | None:
        if stored_object is None:
            return None
        try:
            return serialisation.accepted_from_json(stored_object.value)
        except Exception:
            # cattrs raises groups of any exceptions of its hooks.
            _count("unreadable")
            logger.exception("stored configuration document cannot be read")
            return None

    def _adopt(
        self, accepted: model.Accepted, source: acceptance.Source
    ) -> bool:
        if source is acceptance.Source.PEER:
            self._apply_ids.setdefault(accepted.generation, accepted.apply_id)
        else:
            self._apply_ids[accepted.generation] = accepted.apply_id
        while len(self._apply_ids) > MAX_APPLY_IDS:
            del self._apply_ids[min(self._apply_ids)]
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
            # A failing subscriber must not keep the document from the
            # others, nor end the task that watches the store.
            logger.exception("subscriber to the configuration failed")


def _version_of(stored_object: interface.StoredObject | None) -> int:
    return stored_object.version if stored_object else 0


def _store_unavailable(message: str) -> errors.RudderError:
    _count("store_unavailable")
    return errors.RudderError(
        errors.Code.STORE_UNAVAILABLE,
        f"the document was not stored: {message}",
        step=STEP,
        peer="store",
        retry_after_s=backoff.MAX_DELAY_S,
    )


def _outcome_unknown(accepted: model.Accepted) -> errors.RudderError:
    _count("outcome_unknown")
    return errors.RudderError(
        errors.Code.OUTCOME_UNKNOWN,
        "the store gave no answer; compare with the document in force "
        f"(generation {accepted.generation}, apply_id {accepted.apply_id})",
        step=STEP,
        peer="store",
        ran=errors.Ran.UNKNOWN,
        retry_after_s=backoff.MAX_DELAY_S,
    )
