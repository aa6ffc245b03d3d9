"""Wire form of changes of the store's objects."""

import orjson

from toucanrudder.http1 import json_text
from toucanrudder.peers import peers_pb2
from toucanrudder.store import fanout
from toucanrudder.store import feed
from toucanrudder.store import interface


def to_wire(reply: fanout.ReaderReply) -> peers_pb2.ChangesReply:
    """Return a reader's reply as a protobuf message."""
    if reply.changes is None:
        return peers_pb2.ChangesReply(age_s=reply.age_s)
    return peers_pb2.ChangesReply(
        is_known=True,
        revision=reply.changes.position.revision,
        era=reply.changes.position.era,
        changes=[
            peers_pb2.Change(
                name=change.object.name,
                version=change.object.version,
                value_json=json_text.encode(change.object.value),
                is_deleted=change.is_deleted,
            )
            for change in reply.changes.changes
        ],
        age_s=reply.age_s,
    )


def from_wire(
    kind: str, message: peers_pb2.ChangesReply
) -> fanout.ReaderReply:
    """Return the reader's reply in a protobuf message.

    Raises
    ------
    ValueError
        An object is not valid JSON.
    """
    if not message.is_known:
        return fanout.ReaderReply(None, message.age_s)
    changes = tuple(
        feed.Change(
            interface.StoredObject(
                kind,
                change.name,
                change.version,
                orjson.loads(change.value_json),
            ),
            change.is_deleted,
        )
        for change in message.changes
    )
    position = feed.Position(message.era, message.revision)
    return fanout.ReaderReply(feed.Changes(changes, position), message.age_s)
