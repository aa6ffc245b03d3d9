"""Loss of contact with the upstreams of a service."""

import pytest

from toucanrudder.forwarding.handover import contact

ADDRESSES = ("a:1", "b:1", "c:1", "d:1")

CASES = {
    "one upstream down": ("a-", False),
    "two upstreams down": ("a- b-", False),
    "three in a row": ("a- b- c-", True),
    "the same one again and again": ("a- a- a-", False),
    "another reached in between": ("a- b- d+ c-", False),
    "another reached since": ("a- b- c- d+", False),
    "lost again": ("a- b- c- d+ a- b- c-", True),
    "failures are too old": ("a- b- c- wait", False),
}


@pytest.mark.parametrize(("history", "is_lost"), CASES.values(), ids=CASES)
def test_contact_is_lost_only_if_several_upstreams_fail_in_a_row(
    history, is_lost
):
    table, now_s = contact.ContactTable(), 100.0
    for step in history.split():
        now_s += 0.1
        if step == "wait":
            now_s += contact.FAILURE_KEPT_S
        else:
            table.record(f"{step[0]}:1", step[1] == "+", now_s)
    assert table.is_lost(ADDRESSES, now_s) is is_lost


A, B = ADDRESSES[:2]

DOUBTS = {
    "never tried": ((), 9.0, False, False),
    "reached long ago": (((A, True, 1.0),), 9.0, False, False),
    "reached long ago, others lost theirs": (
        ((A, True, 1.0),),
        9.0,
        True,
        True,
    ),
    "reached just now, others lost theirs": (
        ((A, True, 8.5),),
        9.0,
        True,
        False,
    ),
    "one failed": (((A, False, 8.9),), 9.0, False, True),
    "one failed, another was reached since": (
        ((A, False, 8.8), (B, True, 8.9)),
        9.0,
        False,
        False,
    ),
}


@pytest.mark.parametrize(
    ("results", "now_s", "others_lost", "is_in_doubt"),
    DOUBTS.values(),
    ids=DOUBTS,
)
def test_contact_in_doubt_is_probed(results, now_s, others_lost, is_in_doubt):
    table = contact.ContactTable()
    for address, is_connected, at_s in results:
        table.record(address, is_connected, at_s)
    found = table.is_in_doubt((A, B), now_s, others_lost=others_lost)
    assert found is is_in_doubt
