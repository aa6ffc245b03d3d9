"""What the router needs from an object store, whoever provides it."""

import abc

import attrs


@attrs.frozen
class StoredObject:
    """An object as it was read; `version` is what updates depend on.

    Its value is whatever somebody wrote, of any type.
    """

    kind: str
    name: str
    version: int
    value: object


class MalformedObject(Exception):
    """An object, or a word of an upstream, is not what it should be.

    Parameters
    ----------
    source : str
        Where it comes from.
    reason : str
        What is wrong with it.
    """

    def __init__(self, source: str, reason: str):
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


class ConditionFailed(Exception):
    """The write had no effect: the object is not as the caller assumed."""


class StoreUnavailable(Exception):
    """The call failed, and it had no effect for certain."""


class OutcomeUnknown(Exception):
    """No answer came; the write may or may not have taken effect."""


class ConditionalStore(abc.ABC):
    """Versioned objects with conditional writes.

    Reads raise `StoreUnavailable`.  Writes raise `ConditionFailed`,
    `StoreUnavailable` (certainly no effect) or `OutcomeUnknown`.  Every
    call ends within the `timeout_s` it was given.
    """

    @property
    def era(self) -> int:
        """Era of the newest answer; 0 from a store that tells none.

        It rises each time the store is restored from an older copy, and
        versions are then given out again.
        """
        return 0

    @abc.abstractmethod
    async def get(
        self, kind: str, name: str, *, timeout_s: float
    ) -> StoredObject | None:
        """Return the object, or None when there is none."""

    @abc.abstractmethod
    async def create(
        self, kind: str, name: str, value: dict, *, timeout_s: float
    ) -> int:
        """Create the object if there is none; return its version."""

    @abc.abstractmethod
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

    @abc.abstractmethod
    async def delete(
        self, kind: str, name: str, version: int, *, timeout_s: float
    ) -> None:
        """Delete the object if it has `version`."""


class ObjectStore(ConditionalStore):
    """A store that lists and watches objects as well."""

    @abc.abstractmethod
    async def list(
        self,
        kind: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = 100,
        timeout_s: float,
    ) -> list[StoredObject]:
        """Return up to `limit` objects by name, after the name `after`."""

    @abc.abstractmethod
    async def watch(
        self,
        kind: str,
        name: str,
        version: int,
        *,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the version differs; None if `wait_s` passed first.

        Ends with `StoreUnavailable` when the store stays silent for longer
        than `wait_s` and a margin: a silent watch looks like "no change".
        """
