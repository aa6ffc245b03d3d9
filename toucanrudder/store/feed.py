"""Objects of one kind as a list and the changes to it."""

import abc

import attrs

from toucanrudder.store import interface


class HistoryGone(Exception):
    """The store no longer knows what changed since that revision."""


@attrs.frozen
class Snapshot:
    """All objects of a kind at one revision of the store."""

    objects: tuple[interface.StoredObject, ...]
    revision: int


@attrs.frozen
class Change:
    """An object that was written or deleted."""

    object: interface.StoredObject
    is_deleted: bool = False


@attrs.frozen
class Changes:
    """What changed up to a revision, in order."""

    changes: tuple[Change, ...]
    revision: int


class KindFeed(abc.ABC):
    """A store that tells the changes of a whole kind.

    Calls raise `interface.StoreUnavailable` when no answer came in time.
    """

    @abc.abstractmethod
    async def snapshot(self, kind: str, *, timeout_s: float) -> Snapshot:
        """Return all objects of the kind."""

    @abc.abstractmethod
    async def changes(
        self, kind: str, revision: int, *, wait_s: float
    ) -> Changes:
        """Wait for changes after the revision; none if `wait_s` passed.

        Raises
        ------
        HistoryGone
            A new snapshot is needed.
        """
