"""Order in which a router learned the entries of its quarantine.  No I/O.

Each entry has a position, which rises with each entry that is learned or
changed.  A peer that says up to which position it has all entries is sent
only those after it.
"""

from collections.abc import Callable

import attrs

from toucanrudder.quarantine import entry as entry_types

#: Peers remembered as holders of one entry.  One that is not remembered is
#: sent the entry once more than needed.
MAX_HOLDERS = 32


@attrs.define(eq=False)
class _Record:
    """One entry, where it stands and which peers hold it as it is here."""

    position: int
    entry: entry_types.Entry
    is_own: bool
    holders: tuple[int, ...]


@attrs.frozen
class Extract:
    """Entries after a position.

    Parameters
    ----------
    entries : tuple of entry.Entry
        In the order in which they were learned.
    position : int
        Position up to which a receiver has all entries with these.
    """

    entries: tuple[entry_types.Entry, ...]
    position: int


class EntryLog:
    """Entries in the order in which this router learned or changed them.

    It is bounded by the tables that record their entries in it, and drop
    those that expire or are evicted.

    Attributes
    ----------
    position : int
        Position of the entry that was last recorded; 0 for none.
    own_position : int
        The same for the entries that this router observed itself.

    Examples
    --------
    >>> log = EntryLog()
    >>> crash = entry_types.Entry(entry_types.Kind.CRASH, "f", 1.0, "e", "i")
    >>> log.record(crash, source=7)
    >>> [len(log.after(0, peer, 10).entries) for peer in (7, 8)]
    [0, 1]
    >>> log.after(log.position, 8, 10)
    Extract(entries=(), position=1)
    """

    def __init__(self) -> None:
        self.position = 0
        self.own_position = 0
        # The newest record is the last.
        self._records: dict[tuple, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(
        self,
        entry: entry_types.Entry,
        source: int | None,
        is_own: bool = False,
    ) -> None:
        """Record an entry that is new here, or has changed.

        Parameters
        ----------
        entry : entry.Entry
            The entry as it is now.
        source : int or None
            Digest key of a peer that holds it just so, if there is one.
        is_own : bool
            Whether this router observed it.
        """
        key = key_of(entry)
        self._records.pop(key, None)
        self.position += 1
        if is_own:
            self.own_position = self.position
        holders = () if source is None else (source,)
        self._records[key] = _Record(self.position, entry, is_own, holders)

    def add_holder(self, entry: entry_types.Entry, source: int | None) -> None:
        """Note that a peer holds an entry, if it is just so here."""
        record = self._records.get(key_of(entry))
        if (
            record is not None
            and source is not None
            and source not in record.holders
            and len(record.holders) < MAX_HOLDERS
            and record.entry == entry
        ):
            record.holders = (*record.holders, source)

    def discard(self, entry: entry_types.Entry) -> None:
        """Drop an entry that has expired or was evicted."""
        self._records.pop(key_of(entry), None)

    def after(self, position: int, receiver: int, limit: int) -> Extract:
        """Return the entries to send to a peer.

        Parameters
        ----------
        position : int
            Position up to which it has all entries.
        receiver : int
            Its digest key; the entries that it holds are left out.
        limit : int
            Most entries to return; the earliest come first.
        """
        return self._extract(
            position, lambda record: receiver not in record.holders, limit
        )

    def own_after(self, position: int, limit: int) -> Extract:
        """Return the entries after a position that this router observed."""
        if self.own_position <= position:
            return Extract((), self.position)
        return self._extract(position, lambda record: record.is_own, limit)

    def _extract(
        self, position: int, is_wanted: Callable[[_Record], bool], limit: int
    ) -> Extract:
        found = []
        for record in reversed(self._records.values()):
            if record.position <= position:
                break
            if is_wanted(record):
                found.append(record)
        found.reverse()
        chosen = found[:limit]
        reached = self.position
        if len(chosen) < len(found):
            reached = chosen[-1].position
        return Extract(tuple(record.entry for record in chosen), reached)


def key_of(entry: entry_types.Entry) -> tuple:
    """Return the identity of an entry among those of requests and parts."""
    return (entry.sequence > 0, *entry.key)
