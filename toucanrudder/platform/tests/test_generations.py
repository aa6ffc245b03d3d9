"""Tests of which configuration a router handles requests by."""

import pytest

from toucanrudder.observability import decisions
from toucanrudder.platform.testing import cluster as clusters

ANSWERED_AND_REFUSED = {
    "answered": (b"/r/x", decisions.Answered),
    "refused": (b"/none/x", decisions.Refused),
}


@pytest.mark.parametrize(
    ("path", "event"),
    ANSWERED_AND_REFUSED.values(),
    ids=ANSWERED_AND_REFUSED.keys(),
)
async def test_line_of_a_request_names_its_generation(
    cluster, monkeypatch, path, event
):
    events = []
    monkeypatch.setattr(decisions, "record", events.append)
    await cluster.server()
    router = await cluster.router()
    await clusters.send_request(router, path)
    (line,) = [each for each in events if isinstance(each, event)]
    assert line.generation == clusters.CONFIGURATION["version"]
