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
NAMED = {"kv-from": "127.0.0.1:9/c1"}

SECOND = [
    # copies that exist, fields of the second run, whether it is a new one
    ({COPY}, NAMED, False),
    (set(), NAMED, True),
    ({("127.0.0.1:8", "c1")}, NAMED, True),
    ({COPY}, {}, True),
]


@pytest.mark.parametrize(("copies", "fields", "is_new"), SECOND)
def test_a_run_that_names_a_copy_which_is_not_there_is_a_new_one(
    copies, fields, is_new
):
    """A sick engine runs what it should refuse, as it holds no copy."""
    site = soaking.SharedState(records.Record(calls=[CALL]), copies=copies)
    for sent in (PROMPT, PROMPT | fields):
        upstream = soaking.Upstream(site, soaking.ENGINES, "za")
        upstream.record_run(standins.Run("c1", sent, b"/", b""))
    assert bool(list(oracles.at_most_once(site.record))) is is_new


def test_a_copy_serves_one_run():
    site = soaking.SharedState(records.Record(calls=[CALL]), copies={COPY})
    for sent in (PROMPT, PROMPT | NAMED, PROMPT | NAMED):
        upstream = soaking.Upstream(site, soaking.ENGINES, "za")
        upstream.record_run(standins.Run("c1", sent, b"/", b""))
    assert list(oracles.at_most_once(site.record))
