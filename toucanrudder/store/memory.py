"""In-memory object store with injected faults, for unit tests."""

import asyncio
import collections
import copy

import attrs

from toucanrudder.store import interface


@attrs.define
class Faults:
    """Injected faults.

    Parameters
    ----------
    down : bool
        Every call fails without effect.
    lose_answers : int
        Number of next writes that take effect and lose their response.
    drop_writes : int
        Number of next writes that are lost, with no effect and no response.
    hang_watches : bool
        Watches get no response until their caller gives up.
    """

    down: bool = False
    lose_answers: int = 0
    drop_writes: int = 0
    hang_watches: bool = False


class MemoryObjectStore(interface.ObjectStore):
    """Object store in a dictionary, shared by the routers of a test.

    Attributes
    ----------
    faults : Faults
        Injected faults.
    counts : collections.Counter
        Number of calls, by ``(kind of object, operation)``.

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
        """Return the current state, for `restore`."""
        return dict(self._objects)

    def restore(self, snapshot: dict) -> None:
        """Return to an older state."""
        self._objects = dict(snapshot)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _start_call(self, kind: str, operation: str) -> None:
        self.counts[kind, operation] += 1
        if self.faults.down:
            raise interface.StoreUnavailable("down")

    def _write(
        self, kind: str, name: str, value: dict | None, version: int | None
    ) -> int:
        if self.faults.drop_writes > 0:
            self.faults.drop_writes -= 1
            raise interface.OutcomeUnknown("write lost")
        current = self._objects.get((kind, name))
        if (current.version if current else None) != version:
            raise interface.ConditionFailed(f"{kind}/{name}")
        self._version += 1
        if value is None:
            del self._objects[kind, name]
        else:
            self._objects[kind, name] = interface.StoredObject(
                kind, name, self._version, copy.deepcopy(value)
            )
        self._notify_watches()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise interface.OutcomeUnknown("response lost")
        return self._version

    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> interface.StoredObject | None:
        """Return the object, or None when there is none."""
        self._start_call(kind, "get")
        return copy.deepcopy(self._objects.get((kind, name)))

    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""
        self._start_call(kind, "create")
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
        self._start_call(kind, "update")
        return self._write(kind, name, value, version)

    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""
        self._start_call(kind, "delete")
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
        self._start_call(kind, "list")
        names = sorted(
            name
            for stored_kind, name in self._objects
            if stored_kind == kind and name.startswith(prefix) and name > after
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
        """Wait until the version differs; None after `wait_s` seconds."""
        self._start_call(kind, "watch")
        if self.faults.hang_watches:
            await asyncio.sleep(wait_s)
            raise interface.StoreUnavailable("no response to the watch")
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    changed = self._changed
                    current = self._objects.get((kind, name))
                    if current is not None and current.version != version:
                        return copy.deepcopy(current)
                    if current is None and version:
                        return None
                    await changed.wait()
        except TimeoutError:
            return None
