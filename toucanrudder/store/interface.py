"""Interface of the object stores that the router uses."""

import abc

import attrs


@attrs.frozen
class StoredObject:
    """Object as read; conditional updates name its `version`.

    Its value is unchecked and may be of any type.
    """

    kind: str
    name: str
    version: int
    value: object


class MalformedObject(Exception):
    """An object, or a value sent by an upstream, is malformed.

    Parameters
    ----------
    source : str
        Origin of the value.
    reason : str
        Why it is malformed.
    """

    def __init__(self, source: str, reason: str):
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


class ConditionFailed(Exception):
    """The write had no effect: the object is not in the assumed state."""


class StoreUnavailable(Exception):
    """The call failed and certainly had no effect."""


class OutcomeUnknown(Exception):
    """No response came; the write may or may not have taken effect."""


class ConditionalStore(abc.ABC):
    """Store of versioned objects with conditional writes.

    Reads raise `StoreUnavailable`.  Writes raise `ConditionFailed`,
    `StoreUnavailable` (certainly no effect) or `OutcomeUnknown`.  Every
    call ends within its `timeout_s`.
    """

    @property
    def era(self) -> int:
        """Era of the newest response; 0 from a store without eras.

        It increases each time the store is restored from an older copy;
        versions are then issued again.
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
    """Store that can also list and watch objects."""

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
        """Wait until the version differs; None after `wait_s` seconds.

        Raises `StoreUnavailable` if no response comes within `wait_s` and a
        margin: a watch without response would look like "no change".
        """
