"""Watching the objects of one kind: a snapshot and the changes after it."""

import abc

import attrs

from toucanrudder.store import interface


class HistoryGone(Exception):
    """The store no longer has the changes after the requested position."""


@attrs.frozen(order=True)
class Position:
    """Position in the history of a store.

    A store that was restored from an older copy issues revisions again, so
    positions cannot be ordered by their revision alone.

    Parameters
    ----------
    era : int
        Increases each time the store is restored; 0 if it is unknown.
    revision : int
        Increases with each change within an era.

    Examples
    --------
    >>> Position(era=1, revision=90) < Position(era=2, revision=12)
    True
    """

    era: int
    revision: int


@attrs.frozen
class Snapshot:
    """All objects of a kind, at one position of the store."""

    objects: tuple[interface.StoredObject, ...]
    position: Position


@attrs.frozen
class Change:
    """Object that was written or deleted."""

    object: interface.StoredObject
    is_deleted: bool = False


@attrs.frozen
class Changes:
    """Changes up to a position, in order."""

    changes: tuple[Change, ...]
    position: Position


class KindFeed(abc.ABC):
    """Source of all objects of a kind and of the changes to them.

    Calls raise `interface.StoreUnavailable` if no response comes in time.
    """

    @abc.abstractmethod
    async def snapshot(self, kind: str, *, timeout_s: float) -> Snapshot:
        """Return all objects of the kind."""

    @abc.abstractmethod
    async def changes(
        self, kind: str, position: Position, *, wait_s: float
    ) -> Changes:
        """Wait for changes after the position; none after `wait_s` seconds.

        Raises
        ------
        HistoryGone
            A new snapshot is needed, also because the era has changed.
        """
