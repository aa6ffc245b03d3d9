"""Which peer a request is offered to, and whether an offer is accepted.

No I/O.  Expected load: some hundred requests per second over the whole
fleet, of which those at cut off routers are handed over; these may be most
routers of an availability zone.
"""

from collections.abc import Collection
from collections.abc import Sequence
import random

import attrs

from toucanrudder.forwarding.handover import contact
from toucanrudder.membership import routers
from toucanrudder.peers import handovers

#: Attempts of one request that reached no upstream, after which it is handed
#: over although contact with the service does not count as lost yet.
MAX_UNREACHED = 2

#: Peers to which one request is offered.  An offer that is declined costs a
#: round trip, and the peers of a whole availability zone may be cut off.
MAX_OFFERS = 32

#: Share of the peers of an availability zone that may be cut off from a
#: service before peers of all zones are preferred alike.
MAX_ZONE_LOST_SHARE = 0.5

#: Peers to which a request is offered because the upstreams' slots that this
#: router may use are taken; after that it waits or is refused here.
MAX_OFFERS_FOR_ROOM = 2

#: Requests that a router works on for its peers at one time, and the sum of
#: their bodies, so that its own callers keep most of its memory and time.
MAX_TAKEN = 96
MAX_TAKEN_BYTES = 16_777_216


@attrs.frozen
class Receiver:
    """State of a router that is offered a request.

    Parameters
    ----------
    generation : int
        Generation of its configuration.
    is_stopping : bool
        Whether it is in a planned stop.
    has_contact : bool
        Whether it reaches the service.
    has_room : bool
        Whether an upstream of the service probably takes the request.
    taken, taken_bytes : int
        Requests that it works on for peers, and the sum of their bodies.
    """

    generation: int
    is_stopping: bool
    has_contact: bool
    has_room: bool
    taken: int
    taken_bytes: int


def judge_offer(
    offer: handovers.Offer, receiver: Receiver
) -> handovers.Verdict:
    """Return a router's answer to an offer.

    A router with an older configuration declines: it might handle the
    request as only the older one allows.
    """
    if receiver.is_stopping:
        return handovers.Verdict.STOPPING
    if receiver.generation < offer.generation:
        return handovers.Verdict.BEHIND
    if not receiver.has_contact:
        return handovers.Verdict.UNREACHED
    if (
        not receiver.has_room
        or receiver.taken >= MAX_TAKEN
        or receiver.taken_bytes + offer.body_bytes > MAX_TAKEN_BYTES
    ):
        return handovers.Verdict.FULL
    return handovers.Verdict.ACCEPTED


def choose_peer(
    peers: Sequence[routers.Member],
    *,
    service: str,
    zone: str,
    contacts: contact.PeerContacts,
    excluded: Collection[str],
    now_s: float,
    rng: random.Random,
) -> routers.Member | None:
    """Return the peer to offer a request to; None if there is none.

    Parameters
    ----------
    peers : sequence of routers.Member
        Live routers that are not stopping.
    service : str
        The request's service.
    zone : str
        This router's availability zone, which is preferred.
    contacts : contact.PeerContacts
        What peers have reported.
    excluded : collection of str
        Names of the peers that were tried.
    now_s : float
        Monotonic time.
    rng : random.Random
        Spreads requests over the peers.
    """
    in_reach = [
        peer
        for peer in peers
        if not contacts.is_lost(peer.name, service, now_s)
    ]
    usable = [peer for peer in in_reach if peer.name not in excluded]
    if not usable:
        return None
    near = [peer for peer in usable if peer.zone == zone]
    zone_peers = sum(peer.zone == zone for peer in peers)
    zone_in_reach = sum(peer.zone == zone for peer in in_reach)
    if zone_in_reach < (1.0 - MAX_ZONE_LOST_SHARE) * zone_peers:
        near = usable
    return rng.choice(near or usable)
