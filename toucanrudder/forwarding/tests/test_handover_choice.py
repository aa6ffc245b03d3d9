"""Choice of the peer for a request, and of the answer to an offer."""

import random

import attrs
import pytest

from toucanrudder.forwarding.handover import choice
from toucanrudder.forwarding.handover import contact
from toucanrudder.membership import routers
from toucanrudder.peers import handovers

OFFER = handovers.Offer("r1", "llm", generation=7, body_bytes=1000)
RECEIVER = choice.Receiver(7, False, True, True, 0, 0)

VERDICTS = {
    "accepted": ({}, handovers.Verdict.ACCEPTED),
    "newer configuration": ({"generation": 8}, handovers.Verdict.ACCEPTED),
    "older configuration": ({"generation": 6}, handovers.Verdict.BEHIND),
    "stopping": ({"is_stopping": True}, handovers.Verdict.STOPPING),
    "cut off too": ({"has_contact": False}, handovers.Verdict.UNREACHED),
    "no free slot": ({"has_room": False}, handovers.Verdict.FULL),
    "too many": ({"taken": choice.MAX_TAKEN}, handovers.Verdict.FULL),
    "too large": (
        {"taken_bytes": choice.MAX_TAKEN_BYTES - 999},
        handovers.Verdict.FULL,
    ),
}


@pytest.mark.parametrize(
    ("changes", "verdict"), VERDICTS.values(), ids=VERDICTS
)
def test_offers_are_declined_for_a_reason(changes, verdict):
    receiver = attrs.evolve(RECEIVER, **changes)
    assert choice.judge_offer(OFFER, receiver) is verdict


PEERS = tuple(
    routers.Member(name, f"{name}:1", 1, zone=zone)
    for name, zone in (("a", "za"), ("b", "za"), ("c", "zb"), ("d", "zb"))
)

CHOICES = {
    "own zone first": ((), (), {"a", "b"}),
    "not one that was tried": ((), ("a",), {"b"}),
    "not one without contact": (("b",), (), {"a"}),
    "another zone if the own one is cut off": (("a", "b"), (), {"c", "d"}),
    "another zone if the own one was tried": ((), ("a", "b"), {"c", "d"}),
    "none if all are cut off": (("a", "b", "c", "d"), (), set()),
}


@pytest.mark.parametrize(
    ("lost", "tried", "expected"), CHOICES.values(), ids=CHOICES
)
def test_requests_are_offered_to_peers_with_contact(lost, tried, expected):
    contacts = contact.PeerContacts()
    for name in lost:
        contacts.replace(name, ("llm",), now_s=10.0)
    chosen = {
        choice.choose_peer(
            PEERS,
            service="llm",
            zone="za",
            contacts=contacts,
            excluded=tried,
            now_s=10.5,
            rng=random.Random(seed),
        )
        for seed in range(40)
    }
    assert {peer.name for peer in chosen if peer} == expected


def test_no_zone_is_preferred_once_most_of_the_own_one_is_cut_off():
    peers = PEERS + tuple(
        routers.Member(name, f"{name}:1", 1, zone="za") for name in "ef"
    )
    contacts = contact.PeerContacts()
    for name in "abe":
        contacts.record_lost(name, "llm", now_s=10.0)
    chosen = {
        choice.choose_peer(
            peers,
            service="llm",
            zone="za",
            contacts=contacts,
            excluded=(),
            now_s=10.5,
            rng=random.Random(seed),
        ).name
        for seed in range(40)
    }
    assert chosen == {"c", "d", "f"}
