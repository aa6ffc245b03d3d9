"""Ports that are given to processes."""

from toucanrudder.testing import ports


def test_reserved_ports_are_kept_apart_and_given_back(monkeypatch):
    monkeypatch.setattr(ports, "_given", set())
    with ports.reserved(3) as first, ports.reserved(3) as second:
        assert len({*first, *second}) == 6
        assert ports._given == {*first, *second}
    assert not ports._given
