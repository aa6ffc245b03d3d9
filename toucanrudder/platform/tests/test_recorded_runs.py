import pytest

from toucanrudder.platform.testing import soaking
from toucanrudder.platform.testing import standins
from toucanrudder.soak import oracles
from toucanrudder.soak import records

CALL = records.Call(
    "c1", records.Kind.STREAM_ONCE, "r1", 1, 100.0, 100.1, 502, False
)
PROMPT = {"prompt-prefix": "a:100"}
COPY = ("127.0.0.1:9", "c1")
FROM_COPY = {"kv-from": "127.0.0.1:9/c1"}

SECOND_RUNS = [
    # existing copies, headers of the second run, whether it counts as new
    ({COPY: {1}}, FROM_COPY, False),
    ({}, FROM_COPY, True),
    ({("127.0.0.1:8", "c1"): {1}}, FROM_COPY, True),
    ({COPY: {1}}, {}, True),
]


@pytest.mark.parametrize(("copies", "headers", "is_new"), SECOND_RUNS)
def test_run_from_a_missing_copy_counts_as_new(copies, headers, is_new):
    """A faulty engine runs a continuation although it holds no copy."""
    shared = soaking.SharedState(records.Record(calls=[CALL]), copies=copies)
    for run_headers in (PROMPT, PROMPT | headers):
        upstream = soaking.Upstream(shared, soaking.ENGINES, "za")
        upstream.record_run(standins.Run("c1", run_headers, b"/", b""))
    assert bool(list(oracles.at_most_once(shared.record))) is is_new


def test_copy_serves_only_one_run():
    shared = soaking.SharedState(
        records.Record(calls=[CALL]), copies={COPY: {1}}
    )
    for run_headers in (PROMPT, PROMPT | FROM_COPY, PROMPT | FROM_COPY):
        upstream = soaking.Upstream(shared, soaking.ENGINES, "za")
        upstream.record_run(standins.Run("c1", run_headers, b"/", b""))
    assert list(oracles.at_most_once(shared.record))


@pytest.mark.parametrize(
    ("made_by", "is_found"),
    [({1}, False), ({2}, True), ({1, 2}, True)],
    ids=["one version", "another version", "two versions"],
)
def test_run_from_memory_of_other_weights_is_found(made_by, is_found):
    """A faulty router continues a run whose engine loaded new weights."""
    shared = soaking.SharedState(records.Record(), copies={COPY: made_by})
    upstream = soaking.Upstream(shared, soaking.ENGINES, "za")
    upstream.record_run(standins.Run("c1", PROMPT | FROM_COPY, b"/", b""))
    found = list(oracles.asked_rightly(shared.record))
    assert any("other weights" in text for text in found) is is_found
