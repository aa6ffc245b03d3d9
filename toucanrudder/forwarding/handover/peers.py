"""Which peer a request of this router is offered to."""

from typing import TYPE_CHECKING

from toucanrudder import clock
from toucanrudder.admission import shares
from toucanrudder.forwarding import placing
from toucanrudder.forwarding.handover import choice
from toucanrudder.membership import routers
from toucanrudder.peers import handovers

if TYPE_CHECKING:
    from toucanrudder.forwarding import execution as executions


def for_contact_or_room(
    execution: "executions.RequestExecution",
) -> routers.Member | None:
    """Return the peer to hand a request over to; None if not needed.

    A request that was handed over already is never handed on.
    """
    now_s, state = clock.now_s(), execution.state
    if not _may_be_handed_over(execution):
        return None
    if (
        execution.unreached_attempts >= choice.MAX_UNREACHED
        or state.has_lost_contact(execution.service, now_s)
    ):
        peers = state.peers()
    elif len(execution.tried_peers) < choice.MAX_OFFERS_FOR_ROOM:
        peers = _owners_of_room(execution, now_s)
    else:
        return None
    return _chosen(execution, peers, now_s)


def with_shorter_line(
    execution: "executions.RequestExecution",
) -> routers.Member | None:
    """Return a peer that may serve a request that need not wait here.

    It is asked where this router's line refuses a request at once although
    room frees often enough for all of its rank: others have come just before.
    """
    if not _may_be_handed_over(execution):
        return None
    if len(execution.tried_peers) >= choice.MAX_OFFERS_FOR_ROOM:
        return None
    now_s, state = clock.now_s(), execution.state
    places = sum(
        max(0, upstream.slots)
        for upstream in state.registry.for_service(execution.service)
        if not upstream.is_leaving
    )
    peers = state.peers()
    names = [state.name, *(peer.name for peer in peers)]
    owners = shares.owners(names, places)
    owning = [peer for peer in peers if peer.name in owners]
    return _chosen(execution, owning, now_s)


def _may_be_handed_over(execution: "executions.RequestExecution") -> bool:
    if execution.is_taken_over:
        return False
    if execution.origin and execution.origin.software_version is None:
        return False
    if len(execution.request.body) > handovers.MAX_BODY_BYTES:
        return False
    return len(execution.tried_peers) < choice.MAX_OFFERS


def _chosen(
    execution: "executions.RequestExecution",
    peers: list[routers.Member],
    now_s: float,
) -> routers.Member | None:
    state = execution.state
    return choice.choose_peer(
        peers,
        service=execution.service,
        zone=state.zone,
        contacts=state.peer_contacts,
        excluded=execution.tried_peers,
        now_s=now_s,
        rng=state.rng,
    )


def _owners_of_room(
    execution: "executions.RequestExecution", now_s: float
) -> list[routers.Member]:
    """Return peers that may have room if only this router has none."""
    state = execution.state
    if not state.shares_room(execution.service, now_s):
        return []
    candidates, usable = execution.chooser.candidates(now_s)
    if usable:
        return []
    not_full = placing.usable_candidates(candidates, now_s, state.pace.bound_s)
    if not not_full:
        return []
    upstream = state.rng.choice(not_full).upstream
    peers = state.peers()
    owners = set(state.owners_of_room(upstream, now_s))
    return [peer for peer in peers if peer.name in owners]
