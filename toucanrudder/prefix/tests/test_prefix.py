import hashlib

import pytest

from toucanrudder.prefix import cache_index
from toucanrudder.prefix import identity
from toucanrudder.prefix import request_rates

KEYS = (b"k1", b"k2", b"k3")
FLEET_KEY = "0123456789abcdef"


def chain(organisation="hal", weights="1", text="x" * 16000):
    salt = identity.cache_salt(FLEET_KEY, organisation)
    return identity.block_keys(salt, "llm", "", weights, text)


def test_identity_is_as_published():
    salt = identity.cache_salt(FLEET_KEY, "hal")
    parent = hashlib.blake2b(b"llm\n\n1", key=salt, digest_size=16).digest()
    expected = []
    for _block in range(2):
        parent = hashlib.blake2b(
            parent + b"x" * 8000, key=salt, digest_size=16
        ).digest()
        expected.append(parent)
    assert chain() == tuple(expected)


@pytest.mark.parametrize(
    "changed",
    [{"organisation": "other"}, {"weights": "2"}, {"text": "y" * 16000}],
)
def test_identities_never_meet(changed):
    assert not set(chain()) & set(chain(**changed))


@pytest.mark.parametrize(
    ("body", "text"),
    [
        ({"messages": [{"role": "user", "content": "a"}]}, "user\na\n"),
        ({"messages": [{"role": "a", "content": None}]}, "a\n\n"),
        (
            {"messages": [{"role": "u", "content": [{"text": "p"}]}]},
            "u\np\n",
        ),
        ({"messages": ["odd"]}, "odd"),
        ({}, ""),
    ],
)
def test_canonical_text_of_chats(body, text):
    assert identity.canonical_text("/v1/chat/completions", body) == text


def test_text_that_is_no_valid_unicode_has_an_identity():
    assert identity.block_keys(b"s" * 16, "m", "", "1", "\ud800" * 8000)


@pytest.mark.parametrize(
    ("upstream", "incarnation", "keys", "tokens"),
    [
        ("e", "one", KEYS, 6000),
        ("e", "one", (b"k1", b"other", b"k3"), 2000),
        ("e", "two", KEYS, 0),
        ("f", "one", KEYS, 0),
    ],
    ids=["same", "branch", "restarted", "other-engine"],
)
def test_beliefs_hold_for_one_engine_process(
    upstream, incarnation, keys, tokens
):
    """An engine is killed and comes back cold.

    Its name is the same, its incarnation is not.  What was believed of
    the first process must not be credited to the second, even if nobody
    has yet noticed the crash and nothing was cleaned up.
    """
    held = cache_index.PrefixCacheIndex()
    held.record_dispatch("e", "one", KEYS, 1.0)
    assert (
        held.expected_cached_tokens(upstream, incarnation, keys, 2.0) == tokens
    )


@pytest.mark.parametrize("changed", [{"organisation": "b"}, {"weights": "2"}])
def test_beliefs_never_cross_organisations_or_weights(changed):
    """Two organisations send byte-equal prompts, or weights change.

    The engine process is the same, and so is the text.  Its blocks may
    not be credited: the engine would have to compute them anew.
    """
    held = cache_index.PrefixCacheIndex()
    held.record_dispatch("e", "one", chain(), 1.0)
    assert held.expected_cached_tokens("e", "one", chain(), 2.0) == 4000
    assert held.expected_cached_tokens("e", "one", chain(**changed), 2.0) == 0


def test_answer_of_a_new_incarnation_teaches_nothing_of_the_old():
    """An engine restarts between the decision and the dispatch.

    The answer names the new process.  The dispatch was noted for the old
    one; only the new one is known to hold the prompt now.
    """
    held = cache_index.PrefixCacheIndex()
    held.record_dispatch("e", "old", KEYS, 1.0)
    held.record_answer(
        "e", "new", KEYS[:1], expected_tokens=6000, cached_tokens=0, now_s=2.0
    )
    assert held.expected_cached_tokens("e", "new", KEYS, 2.0) == 2000
    assert held.accuracy.false_hit_rate == 1.0


EVENTS = {
    "in-order": ([("stored", 1, KEYS), ("evicted", 2, KEYS[2:])], 4000),
    "repeated-line": (
        [
            ("stored", 1, KEYS),
            ("evicted", 2, KEYS),
            ("stored", 1, KEYS),
        ],
        0,
    ),
    "cleared": ([("stored", 1, KEYS), ("cleared", 2, None)], 0),
    "recent-before-gap": ([("stored", 1, KEYS), ("stored", 5, ())], 6000),
}


@pytest.mark.parametrize(("events", "tokens"), EVENTS.values(), ids=EVENTS)
def test_events(events, tokens):
    held = cache_index.PrefixCacheIndex()
    for kind, sequence, keys in events:
        arguments = (sequence,) if keys is None else (sequence, keys)
        getattr(held, kind)("e", "one", *arguments, now_s=1.0)
    assert held.expected_cached_tokens("e", "one", KEYS, 1.0) == tokens


@pytest.mark.parametrize("told_by", ["line", "heartbeat"])
def test_gap_ages_beliefs(told_by):
    """Lines of the event stream are lost, evictions perhaps among them.

    Blocks not used for long are no longer trusted; nothing says that they
    are there.  Blocks in recent use stay.
    """
    held = cache_index.PrefixCacheIndex(gap_max_age_s=10.0)
    held.stored("e", "one", 1, KEYS, 0.0)
    held.record_dispatch("e", "one", KEYS[:1], 25.0)
    assert held.expected_cached_tokens("e", "one", KEYS, 30.0) == 6000
    if told_by == "line":
        held.stored("e", "one", 3, (), 30.0)
    else:
        held.heartbeat("e", "one", 3, 30.0)
    assert held.expected_cached_tokens("e", "one", KEYS, 30.0) == 2000


def test_beliefs_age_and_are_bounded():
    held = cache_index.PrefixCacheIndex(
        max_blocks_per_engine=4, max_engines=2, max_age_s=60.0
    )
    held.record_dispatch("e", "one", KEYS, 0.0)
    assert held.expected_cached_tokens("e", "one", KEYS, 61.0) == 0
    for number in range(100):
        held.record_dispatch(f"e{number}", "one", KEYS, 1.0)
        held.record_dispatch("e", "one", (b"%d" % number,), 1.0)
    assert len(held) <= 8


def test_failed_dispatch_is_withdrawn():
    held = cache_index.PrefixCacheIndex()
    held.record_dispatch("e", "one", KEYS, 0.0)
    held.withdraw_dispatch("e", "one", KEYS)
    assert held.expected_cached_tokens("e", "one", KEYS, 0.0) == 0


def test_hot_prefixes_survive_a_flood_of_unique_ones():
    """A caller floods with unique prompts.

    Each takes over a counter.  The hot prefix must keep its rate, and no
    unique prompt may inherit one that makes it look hot.
    """
    counts = request_rates.PrefixRates(capacity=50, time_constant_s=10.0)
    for number in range(2000):
        now_s = number / 100
        counts.add((b"u%d" % number,), now_s)
        if number % 10 == 0:
            counts.add((b"hot",), now_s)
    rates = counts.rates((b"hot", b"u1999"), 20.0)
    assert 7 < rates[b"hot"] < 11
    assert rates[b"u1999"] < 0.2
    assert counts.hottest(1, 20.0)[0].key == b"hot"
    assert len(counts) == 50


def test_heat_decays_and_outlives_rescaling():
    counts = request_rates.PrefixRates(time_constant_s=10.0)
    counts.add((b"a",), 0.0)
    counts.add((b"b",), 5000.0)
    rates = counts.rates((b"a", b"b"), 5000.0)
    assert rates[b"a"] < 1e-9
    assert rates[b"b"] == pytest.approx(0.1)


def test_peers_heat_counts_until_they_fall_silent():
    counts = request_rates.PrefixRates(peer_max_age_s=5.0)
    counts.update_peer("r2", (request_rates.HotPrefix(b"a", 3.0),), 7.0, 10.0)
    assert counts.rates((b"a",), 12.0) == {b"a": 3.0}
    assert counts.total_rate_per_s(12.0) == 7.0
    assert counts.rates((b"a",), 16.0) == {b"a": 0.0}
