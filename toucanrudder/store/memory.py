"""Objects in this process's memory, with faults, for unit tests."""

import asyncio
import collections
import copy

import attrs

from toucanrudder.store import interface


@attrs.define
class Faults:
    """What goes wrong next.

    Parameters
    ----------
    down : bool
        Every call fails without effect.
    lose_answers : int
        Writes that take effect and whose answers are lost.
    drop_writes : int
        Writes that are lost on the way: no effect, and no answer.
    hang_watches : bool
        Watches stay silent until their caller gives them up.
    """

    down: bool = False
    lose_answers: int = 0
    drop_writes: int = 0
    hang_watches: bool = False


class MemoryObjectStore(interface.ObjectStore):
    """Objects in a dictionary, as several routers of one test see them.

    Attributes
    ----------
    faults : Faults
        Faults in force.
    counts : collections.Counter
        Calls made so far, by ``(kind of object, operation)``.

    Examples
    --------
    >>> import asyncio
    >>> store = MemoryObjectStore()
    >>> asyncio.run(store.create("claims", "a", {"x": 1}, timeout_s=1))
    1
    >>> asyncio.run(store.get("claims", "a", timeout_s=1)).value
    {'x': 1}
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.counts: collections.Counter = collections.Counter()
        self._objects: dict[tuple[str, str], interface.StoredObject] = {}
        self._version = 0
        self._changed = asyncio.Event()

    def snapshot(self) -> dict:
        """Return the present state, for `restore`."""
        return dict(self._objects)

    def restore(self, snapshot: dict) -> None:
        """Come back in an older state."""
        self._objects = dict(snapshot)
        self._announce()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _begin(self, kind: str, operation: str) -> None:
        self.counts[kind, operation] += 1
        if self.faults.down:
            raise interface.StoreUnavailable("down")

    def _write(
        self, kind: str, name: str, value: dict | None, version: int | None
    ) -> int:
        if self.faults.drop_writes > 0:
            self.faults.drop_writes -= 1
            raise interface.OutcomeUnknown("write lost")
        present = self._objects.get((kind, name))
        if (present.version if present else None) != version:
            raise interface.ConditionFailed(f"{kind}/{name}")
        self._version += 1
        if value is None:
            del self._objects[kind, name]
        else:
            self._objects[kind, name] = interface.StoredObject(
                kind, name, self._version, copy.deepcopy(value)
            )
        self._announce()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise interface.OutcomeUnknown("answer lost")
        return self._version

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None when there is none."""
        self._begin(kind, "get")
        return copy.deepcopy(self._objects.get((kind, name)))

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""
        self._begin(kind, "create")
        return self._write(kind, name, value, None)

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
        self._begin(kind, "update")
        return self._write(kind, name, value, version)

    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""
        self._begin(kind, "delete")
        self._write(kind, name, None, version)

    async def list(
        self,
        kind: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = 100,
        timeout_s: float,
    ) -> list[interface.StoredObject]:
        """Return up to `limit` objects by name, after the name `after`."""
        self._begin(kind, "list")
        names = sorted(
            name
            for of_kind, name in self._objects
            if of_kind == kind and name.startswith(prefix) and name > after
        )
        return [
            copy.deepcopy(self._objects[kind, name]) for name in names[:limit]
        ]

    async def watch(
        self,
        kind: str,
        name: str,
        version: int,
        *,
        wait_s: float,
    ) -> interface.StoredObject | None:
        """Wait until the version differs; None if `wait_s` passed first."""
        self._begin(kind, "watch")
        if self.faults.hang_watches:
            await asyncio.sleep(wait_s)
            raise interface.StoreUnavailable("watch stayed silent")
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    changed = self._changed
                    present = self._objects.get((kind, name))
                    if present is not None and present.version != version:
                        return copy.deepcopy(present)
                    if present is None and version:
                        return None
                    await changed.wait()
        except TimeoutError:
            return None
