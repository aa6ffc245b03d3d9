"""Positions up to which routers have each other's quarantine entries.

A position in the log of one process says nothing about that of a later
process with the same name.  Both sides therefore name the process meant, by
its digest key, and what was said between two processes holds for as long as
both run, in whatever order messages arrive.
"""

from collections.abc import Callable

import attrs

from toucanrudder.membership import routers
from toucanrudder.peers import messages


@attrs.define(eq=False)
class _Peer:
    """What is known of one process of a peer.

    Parameters
    ----------
    key : int
        Its digest key.
    seen : int
        Position of its log up to which this router has all entries.
    acknowledged : int or None
        Position of this router's log up to which it has all entries, by its
        own word; None before it has said so.
    """

    key: int
    seen: int = 0
    acknowledged: int | None = None


class QuarantinePositions:
    """Positions in the logs of quarantine entries, by peer.

    Parameters
    ----------
    own_key : int
        Digest key of this process.
    """

    def __init__(self, own_key: int):
        self._own_key = own_key
        self._peers: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def receive(
        self, heartbeat: messages.Heartbeat, own_position: int
    ) -> None:
        """Note the positions in a heartbeat whose entries were merged.

        Parameters
        ----------
        heartbeat : messages.Heartbeat
            From a peer.
        own_position : int
            Position of this router's log.
        """
        sender = heartbeat.sender
        key = key_of(sender)
        peer = self._peers.get(sender.name)
        if peer is None or peer.key != key:
            peer = self._peers[sender.name] = _Peer(key)
        stated = heartbeat.quarantine_positions
        if stated is None or stated.receiver != self._own_key:
            return
        if stated.position is not None:
            peer.seen = max(peer.seen, stated.position)
        # A position that was never reached is not one of this process.
        if stated.seen <= own_position:
            peer.acknowledged = stated.seen

    def seen(self, receiver: routers.Member) -> int:
        """Return the position of a peer's log up to which all is merged."""
        peer = self._of(receiver)
        return peer.seen if peer else 0

    def acknowledged(self, receiver: routers.Member) -> int | None:
        """Return the position up to which a peer has all, if known."""
        peer = self._of(receiver)
        return peer.acknowledged if peer else None

    def _of(self, member: routers.Member) -> _Peer | None:
        peer = self._peers.get(member.name)
        if peer is None or peer.key != key_of(member):
            return None
        return peer

    def forget_unless(self, is_known: Callable[[str], bool]) -> None:
        """Forget the peers whose names are not known any more."""
        for name in [name for name in self._peers if not is_known(name)]:
            del self._peers[name]


def key_of(member: routers.Member) -> int:
    """Return the digest key of a router's process."""
    return routers.digest_key(member.name, member.incarnation)
