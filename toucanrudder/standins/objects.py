"""The object store of the platform stand-in, without its HTTP side."""

import asyncio
import copy

import attrs


@attrs.frozen
class Entry:
    """One object: the version of its last change and its value."""

    version: int
    value: object

    def as_json(self, name: str) -> dict:
        """Return the object as the API shows it."""
        return {"name": name, "version": self.version, "value": self.value}


@attrs.define
class Conflict(Exception):
    """A condition failed; `version` is the present one, 0 for none."""

    version: int


@attrs.define
class Objects:
    """Objects by kind and name, with one version counter for all.

    Examples
    --------
    >>> objects = Objects()
    >>> objects.create("leases", "weights", {"holder": "r1"})
    1
    >>> objects.update("leases", "weights", {"holder": "r2"}, 1)
    2
    """

    entries: dict[tuple[str, str], Entry] = attrs.field(factory=dict)
    version: int = 0
    _saved: tuple[dict, int] = attrs.field(factory=lambda: ({}, 0))
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def get(self, kind: str, name: str) -> Entry | None:
        """Return the object, or None."""
        return self.entries.get((kind, name))

    def current_version(self, kind: str, name: str) -> int:
        """Return the object's version; 0 when there is none."""
        entry = self.get(kind, name)
        return entry.version if entry else 0

    def create(self, kind: str, name: str, value: object) -> int:
        """Create the object, or raise `Conflict`."""
        return self._put(kind, name, value, 0)

    def update(self, kind: str, name: str, value: object, version: int) -> int:
        """Replace the object of that version, or raise `Conflict`."""
        if version == 0:
            raise Conflict(self.current_version(kind, name))
        return self._put(kind, name, value, version)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object of that version, or raise `Conflict`."""
        current = self.current_version(kind, name)
        if current != version:
            raise Conflict(current)
        del self.entries[kind, name]
        self.version += 1
        self._wake()

    def list(self, kind: str, prefix: str, after: str, limit: int) -> list:
        """Return up to `limit` objects of the kind by name."""
        names = sorted(
            name
            for entry_kind, name in self.entries
            if entry_kind == kind and name.startswith(prefix) and name > after
        )
        return [
            self.entries[kind, name].as_json(name) for name in names[:limit]
        ]

    async def changed_from(self, kind: str, name: str, version: int) -> None:
        """Return once the object's version differs from `version`."""
        while self.current_version(kind, name) == version:
            await self._changed.wait()

    def snapshot(self) -> None:
        """Remember the present state."""
        self._saved = (copy.deepcopy(self.entries), self.version)

    def restore(self) -> None:
        """Go back to the remembered state, version counter included."""
        entries, self.version = self._saved
        self.entries = copy.deepcopy(entries)
        self._wake()

    def _put(self, kind: str, name: str, value: object, version: int) -> int:
        current = self.current_version(kind, name)
        if current != version:
            raise Conflict(current)
        self.version += 1
        self.entries[kind, name] = Entry(self.version, value)
        self._wake()
        return self.version

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
