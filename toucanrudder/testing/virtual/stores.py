"""A store of objects whose calls take virtual time, and its faults."""

import asyncio
from collections.abc import Callable
import contextlib
import copy
import enum
import random

import attrs

from toucanrudder.store import feed
from toucanrudder.store import interface

#: Time that a call takes while the store is well.
CALL_S = (0.004, 0.012)

#: Time for which a silent store keeps a watch beyond what was asked.
WATCH_MARGIN_S = 1.0


class Way(enum.Enum):
    """How the store treats one router's calls."""

    WELL = "well"
    #: Refused at once, without effect.
    REFUSES = "refuses"
    #: No answer and no effect.
    SILENT = "silent"


@attrs.frozen
class Copy:
    """What a store held at one moment."""

    revision: int
    objects: dict[tuple[str, str], interface.StoredObject]


@attrs.define
class Store:
    """Objects of all kinds and the history of their changes.

    Parameters
    ----------
    rng : random.Random
        For the time that calls take.
    """

    rng: random.Random
    revision: int = 7
    era: int = 1
    _objects: dict[tuple[str, str], interface.StoredObject] = attrs.field(
        factory=dict
    )
    _history: list[tuple[int, feed.Change]] = attrs.field(factory=list)
    _oldest: int = 0
    _ways: dict[str, Way] = attrs.field(factory=dict)
    _news: asyncio.Event = attrs.field(factory=asyncio.Event)
    lost_answers: float = 0.0

    def put(self, kind: str, name: str, value: object) -> int:
        """Write an object; nothing changes if it has that value."""
        present = self._objects.get((kind, name))
        if present is not None and present.value == value:
            return present.version
        self.revision += 1
        stored = interface.StoredObject(
            kind, name, self.revision, copy.deepcopy(value)
        )
        self._objects[kind, name] = stored
        self._changed(feed.Change(stored))
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._changed(feed.Change(stored, is_deleted=True))

    def _changed(self, change: feed.Change) -> None:
        self._history.append((self.revision, change))
        self._news.set()
        self._news = asyncio.Event()

    def forget_history(self) -> None:
        """Let watches from before now fail."""
        self._oldest = self.revision

    def copied(self) -> Copy:
        """Return what it holds now."""
        return Copy(self.revision, dict(self._objects))

    def go_back(self, copied: Copy) -> None:
        """Lose all that came after a copy, and give revisions out again."""
        self.era += 1
        self.revision = copied.revision
        self._objects = dict(copied.objects)
        self._history.clear()
        self.forget_history()
        self._news.set()
        self._news = asyncio.Event()

    def treat(self, router: str, way: Way) -> None:
        """Choose how a router's calls end from now on."""
        self._ways[router] = way

    def get(self, kind: str, name: str) -> interface.StoredObject | None:
        """Return an object."""
        return self._objects.get((kind, name))

    def all_of(self, kind: str) -> tuple[interface.StoredObject, ...]:
        """Return all objects of a kind."""
        return tuple(
            stored
            for (of_kind, _), stored in self._objects.items()
            if of_kind == kind
        )

    @property
    def position(self) -> feed.Position:
        """Where its history has got to."""
        return feed.Position(self.era, self.revision)

    def since(
        self, kind: str, position: feed.Position
    ) -> tuple[feed.Change, ...]:
        """Return the changes of a kind after a position.

        Raises
        ------
        HistoryGone
            They are not known any more.
        """
        if position.revision < self._oldest or position.era != self.era:
            raise feed.HistoryGone(kind)
        return tuple(
            change
            for at, change in self._history
            if at > position.revision and change.object.kind == kind
        )

    async def answered(self, router: str, timeout_s: float) -> None:
        """Wait until a router's call is answered."""
        await self.reached(router, timeout_s)
        await asyncio.sleep(self.rng.uniform(*CALL_S))
        if self._ways.get(router) is Way.REFUSES:
            raise interface.StoreUnavailable("refused")

    async def reached(self, router: str, timeout_s: float) -> None:
        """Return at once unless the store is silent to a router."""
        if self._ways.get(router) is Way.SILENT:
            await asyncio.sleep(timeout_s)
            raise interface.StoreUnavailable("no answer")

    async def news(self, wait_s: float) -> None:
        """Wait until something changes, for some time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._news.wait()


class Client(interface.ConditionalStore, feed.KindFeed):
    """The store as one router calls it.

    Parameters
    ----------
    store : Store
        Shared by all.
    router : str
        Whose calls these are.
    clock : callable
        Virtual time in seconds.
    """

    def __init__(self, store: Store, router: str, clock: Callable[[], float]):
        self._store = store
        self._router = router
        self._clock = clock
        self._era = 0

    @property
    def era(self) -> int:
        """Era of the newest answer."""
        return self._era

    async def _answered(self, timeout_s: float) -> None:
        await self._store.answered(self._router, timeout_s)
        self._era = self._store.era

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None when there is none."""
        await self._answered(timeout_s)
        return self._store.get(kind, name)

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""
        return await self._written(kind, name, value, None, timeout_s)

    async def update(
        self,
        kind: str,
        name: str,
        value: dict,
        version: int,
        *,
        timeout_s: float,
    ) -> int:
        """Replace the object if it has `version`; return the new one."""
        return await self._written(kind, name, value, version, timeout_s)

    async def _written(self, kind, name, value, version, timeout_s) -> int:
        await self._answered(timeout_s)
        present = self._store.get(kind, name)
        if (present.version if present else None) != version:
            raise interface.ConditionFailed(f"{kind}/{name}")
        written = self._store.put(kind, name, value)
        if self._store.rng.random() < self._store.lost_answers:
            await asyncio.sleep(timeout_s)
            raise interface.OutcomeUnknown("no answer")
        return written

    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""
        await self._answered(timeout_s)
        present = self._store.get(kind, name)
        if present is None or present.version != version:
            raise interface.ConditionFailed(f"{kind}/{name}")
        self._store.delete(kind, name)

    async def snapshot(self, kind: str, *, timeout_s: float) -> feed.Snapshot:
        """Return all objects of the kind."""
        await self._answered(timeout_s)
        return feed.Snapshot(self._store.all_of(kind), self._store.position)

    async def changes(
        self, kind: str, position: feed.Position, *, wait_s: float
    ) -> feed.Changes:
        """Wait for changes after the position; none if `wait_s` passed."""
        await self._answered(wait_s + WATCH_MARGIN_S)
        until_s = self._clock() + wait_s
        while True:
            found = self._store.since(kind, position)
            left_s = until_s - self._clock()
            if found or left_s <= 0:
                margin_s = max(0.0, left_s) + WATCH_MARGIN_S
                await self._store.reached(self._router, margin_s)
                self._era = self._store.era
                return feed.Changes(found, self._store.position)
            await self._store.news(left_s)
