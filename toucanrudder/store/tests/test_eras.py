"""Responses of a store that was restored from an older copy."""

import pytest

from toucanrudder.store import eras
from toucanrudder.store import interface


@pytest.mark.parametrize(
    ("newest", "header", "era"),
    [
        (0, None, 0),
        (0, b"0", 0),
        (0, b"7", 7),
        (3, b"3", 3),
        (3, b"4", 4),
    ],
)
def test_a_current_era_is_accepted(newest, header, era):
    guard = eras.EraGuard("store", newest)
    assert guard.check(header) == era
    assert guard.newest == era


@pytest.mark.parametrize(
    "header", [None, b"", b"2", b"-4", b"four", b"4.0", b"\xff", b"9" * 40]
)
def test_a_malformed_or_superseded_era_is_rejected(header):
    # A late response from before a restoration would bring lost objects back.
    guard = eras.EraGuard("store", newest=3)
    with pytest.raises(interface.MalformedObject):
        guard.check(header)
    assert guard.newest == 3
