"""Records of where streams began, as typed values and in wire form."""

from collections.abc import Iterable

import attrs

from toucanrudder.peers import peers_pb2

#: Length of a stream's key.
KEY_BYTES = 16

#: Records that are read from one message.
MAX_RECORDS = 512

#: Longest name of a service or a software version.
MAX_NAME_LENGTH = 256

#: Longest time for which a record is kept.
MAX_KEPT_S = 600.0


@attrs.frozen
class OriginRecord:
    """Which software of which service began a stream.

    Parameters
    ----------
    key : bytes
        The stream's key.
    service, software_version : str
        What began it.
    order : int
        Rises with each attempt of the request; the latest one counts.
    kept_for_s : float
        Time until the record is dropped.
    """

    key: bytes
    service: str
    software_version: str
    order: int
    kept_for_s: float

    def is_same_software(self, other: "OriginRecord") -> bool:
        """Return whether another record names the same software."""
        return (self.service, self.software_version) == (
            other.service,
            other.software_version,
        )


def to_wire(record: OriginRecord) -> peers_pb2.OriginRecord:
    """Return a record as a protobuf message."""
    return peers_pb2.OriginRecord(
        key=record.key,
        service=record.service,
        software_version=record.software_version,
        order=record.order,
        kept_for_s=record.kept_for_s,
    )


def from_wire(message: peers_pb2.OriginRecord) -> OriginRecord:
    """Return the record in a message.

    Raises
    ------
    ValueError
        A field has no valid length or value.
    """
    names = (message.service, message.software_version)
    if len(message.key) != KEY_BYTES or not message.service:
        raise ValueError("a stream's key or service is missing")
    if max(map(len, names)) > MAX_NAME_LENGTH:
        raise ValueError("a name is too long")
    if not 0 <= message.kept_for_s <= MAX_KEPT_S:
        raise ValueError("the time of a record is out of bounds")
    return OriginRecord(message.key, *names, message.order, message.kept_for_s)


def records_to_wire(
    records: Iterable[OriginRecord],
) -> peers_pb2.OriginRecords:
    """Return records as one protobuf message."""
    return peers_pb2.OriginRecords(records=[*map(to_wire, records)])


def records_from_wire(
    message: peers_pb2.OriginRecords,
) -> tuple[OriginRecord, ...]:
    """Return the records in a message; raise ValueError if one is invalid."""
    return tuple(map(from_wire, message.records[:MAX_RECORDS]))


def found_from_wire(message: peers_pb2.OriginReply) -> OriginRecord | None:
    """Return the record in a reply; None if the peer has none.

    Raises
    ------
    ValueError
        The record is invalid.
    """
    if not message.HasField("record"):
        return None
    return from_wire(message.record)
