"""Changes of the store's objects, as routers tell them to each other."""

import orjson

from toucanrudder.peers import peers_pb2
from toucanrudder.store import fanout
from toucanrudder.store import feed
from toucanrudder.store import interface


def to_wire(told: fanout.ReaderReply) -> peers_pb2.ChangesReply:
    """Return what is told as a protobuf message."""
    if told.changes is None:
        return peers_pb2.ChangesReply(age_s=told.age_s)
    return peers_pb2.ChangesReply(
        is_known=True,
        revision=told.changes.position.revision,
        era=told.changes.position.era,
        changes=[
            peers_pb2.Change(
                name=each.object.name,
                version=each.object.version,
                value_json=orjson.dumps(each.object.value),
                is_deleted=each.is_deleted,
            )
            for each in told.changes.changes
        ],
        age_s=told.age_s,
    )


def from_wire(
    kind: str, message: peers_pb2.ChangesReply
) -> fanout.ReaderReply:
    """Return what is told in a protobuf message.

    Raises
    ------
    ValueError
        An object cannot be read.
    """
    if not message.is_known:
        return fanout.ReaderReply(None, message.age_s)
    changes = tuple(
        feed.Change(
            interface.StoredObject(
                kind, each.name, each.version, orjson.loads(each.value_json)
            ),
            each.is_deleted,
        )
        for each in message.changes
    )
    position = feed.Position(message.era, message.revision)
    return fanout.ReaderReply(feed.Changes(changes, position), message.age_s)
