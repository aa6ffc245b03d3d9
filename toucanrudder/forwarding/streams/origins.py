"""Where streams began, and what may continue them.  No I/O."""

import hashlib

import attrs

from toucanrudder.forwarding import model
from toucanrudder.peers import origins as messages

#: Records kept at one router; bounds the memory that callers can fill.
MAX_RECORDS = 20_000


@attrs.frozen
class Origin:
    """What began a stream; only upstreams of the same kind can continue it.

    Parameters
    ----------
    service : str
        Service of the upstream that brought the first event to the caller.
    software_version : str or None
        Its software; None if that is not known.

    Examples
    --------
    >>> old = model.Upstream("i1", "s", "10.0.0.1:1", software_version="v1")
    >>> Origin("s", "v1").allows(old), Origin("s", "v2").allows(old)
    (True, False)
    >>> Origin("s", None).allows(old)
    False
    """

    service: str
    software_version: str | None

    def allows(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream can continue the stream."""
        return (
            upstream.service == self.service
            and upstream.software_version == self.software_version
        )


def stream_key(organisation: str, request_id: str) -> bytes:
    """Return the key of a stream.

    Organisations have separate streams, so that one that guesses a request
    ID of another cannot change where the other's stream goes on.

    Parameters
    ----------
    organisation : str
        Name of the caller's organisation; empty on public routes.
    request_id : str
        ID of the caller's request that received the first event.

    Examples
    --------
    >>> len(stream_key("north", "id1"))
    16
    >>> stream_key("a", "b/c") == stream_key("a/b", "c")
    False
    """
    text = f"{len(organisation)}:{organisation}/{request_id}"
    return hashlib.blake2b(
        text.encode(errors="surrogateescape"),
        digest_size=messages.KEY_BYTES,
    ).digest()


@attrs.frozen
class Holder:
    """A peer's process that has a record.

    Parameters
    ----------
    process : str
        Identity of the process; it ends with a restart.
    address : str
        ``IP:port`` for other routers.
    """

    process: str
    address: str


@attrs.define(eq=False)
class Entry:
    """A record that is kept.

    Parameters
    ----------
    record : messages.OriginRecord
        The record.
    until_s : float
        Monotonic time at which it is dropped.
    shared_with : frozenset of Holder
        Peers that have it, as far as this router knows.
    """

    record: messages.OriginRecord
    until_s: float
    shared_with: frozenset[Holder] = frozenset()

    def at(self, now_s: float) -> messages.OriginRecord:
        """Return the record with the time that is left."""
        return attrs.evolve(self.record, kept_for_s=self.until_s - now_s)


@attrs.define(eq=False)
class OriginTable:
    """Origins of recent streams, bounded in number and time.

    Parameters
    ----------
    max_records : int
        Records kept; the oldest are dropped first.

    Examples
    --------
    >>> table = OriginTable(max_records=2)
    >>> for number in range(3):
    ...     table.put(
    ...         messages.OriginRecord(bytes([number]), "s", "v1", 1, 5.0), 0.0
    ...     )
    >>> [table.get(bytes([number]), 1.0) is None for number in range(3)]
    [True, False, False]
    >>> table.get(bytes([2]), 5.0) is None
    True
    """

    max_records: int = MAX_RECORDS
    _entries: dict[bytes, Entry] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def put(
        self,
        record: messages.OriginRecord,
        now_s: float,
        shared_with: frozenset[Holder] = frozenset(),
    ) -> None:
        """Keep a record, unless a later attempt of the stream is known."""
        until_s = now_s + record.kept_for_s
        # Put again, it comes last: the first entries are the oldest.
        known = self._entries.pop(record.key, None)
        if known is not None:
            if known.record.is_same_software(record):
                until_s = max(until_s, known.until_s)
                order = max(record.order, known.record.order)
                record = attrs.evolve(record, order=order)
            elif known.record.order > record.order:
                self._entries[record.key] = known
                return
        self._entries[record.key] = Entry(record, until_s, shared_with)
        while len(self._entries) > self.max_records:
            del self._entries[next(iter(self._entries))]

    def get(self, key: bytes, now_s: float) -> messages.OriginRecord | None:
        """Return a record with the time left; None if there is none."""
        entry = self._entries.get(key)
        if entry is None or entry.until_s <= now_s:
            return None
        return entry.at(now_s)

    def expire(self, now_s: float) -> None:
        """Drop the records whose time is over."""
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.until_s > now_s
        }

    def holders(self, key: bytes) -> frozenset[Holder]:
        """Return the peers that have a record of a stream."""
        entry = self._entries.get(key)
        return entry.shared_with if entry else frozenset()

    def contradicts(self, record: messages.OriginRecord) -> bool:
        """Return whether other software is recorded for the stream."""
        entry = self._entries.get(record.key)
        return entry is not None and not entry.record.is_same_software(record)

    def entry(self, key: bytes) -> Entry:
        """Return what is kept of a stream; raise KeyError if nothing is."""
        return self._entries[key]

    def entries(self, now_s: float) -> list[Entry]:
        """Return all records whose time is not over."""
        return [
            entry for entry in self._entries.values() if entry.until_s > now_s
        ]
