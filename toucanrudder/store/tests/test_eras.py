"""Answers of a store that was restored from an older copy."""

import pytest

from toucanrudder.store import eras
from toucanrudder.store import interface


@pytest.mark.parametrize(
    ("newest", "said", "era"),
    [
        (0, None, 0),
        (0, b"0", 0),
        (0, b"7", 7),
        (3, b"3", 3),
        (3, b"4", 4),
    ],
)
def test_the_era_of_an_answer_is_taken(newest, said, era):
    guard = eras.EraGuard("store", newest)
    assert guard.check(said) == era
    assert guard.newest == era


@pytest.mark.parametrize(
    "said", [None, b"", b"2", b"-4", b"four", b"4.0", b"\xff", b"9" * 40]
)
def test_a_strange_or_superseded_era_changes_nothing(said):
    # A late answer from before a restoration would bring lost objects back.
    guard = eras.EraGuard("store", newest=3)
    with pytest.raises(interface.MalformedObject):
        guard.check(said)
    assert guard.newest == 3
