import hashlib

import pytest

from toucanrudder.prefix import cache_index
from toucanrudder.prefix import identity
from toucanrudder.prefix import request_rates

KEYS = (b"k1", b"k2", b"k3")
FLEET_KEY = "0123456789abcdef"


def prompt_keys(organisation="hal", weights="1", text="x" * 16000):
    salt = identity.cache_salt(FLEET_KEY, organisation)
    return identity.block_keys(salt, "llm", "", weights, text)


def test_identity_follows_its_published_definition():
    salt = identity.cache_salt(FLEET_KEY, "hal")
    parent = hashlib.blake2b(b"llm\n\n1", key=salt, digest_size=16).digest()
    expected = []
    for _block in range(2):
        parent = hashlib.blake2b(
            parent + b"x" * 8000, key=salt, digest_size=16
        ).digest()
        expected.append(parent)
    assert prompt_keys() == tuple(expected)


@pytest.mark.parametrize(
    "changed",
    [{"organisation": "other"}, {"weights": "2"}, {"text": "y" * 16000}],
)
def test_identities_of_other_organisations_weights_or_texts_differ(changed):
    assert not set(prompt_keys()) & set(prompt_keys(**changed))


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


def test_text_with_lone_surrogates_has_an_identity():
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
def test_blocks_are_expected_in_one_engine_process_only(
    upstream, incarnation, keys, tokens
):
    """An engine is killed and restarts with an empty cache.

    Its name is the same, its incarnation is not.  Blocks of the first
    process must not be expected in the second, even if the crash has not
    been noticed yet and nothing was cleaned up.
    """
    index = cache_index.PrefixCacheIndex()
    index.record_dispatch("e", "one", KEYS, 1.0)
    assert (
        index.expected_cached_tokens(upstream, incarnation, keys, 2.0)
        == tokens
    )


@pytest.mark.parametrize("changed", [{"organisation": "b"}, {"weights": "2"}])
def test_blocks_of_other_organisations_or_weights_are_not_expected(changed):
    """Two organisations send byte-equal prompts, or the weights change.

    The engine process and the text are the same.  The blocks must not be
    expected: the engine would have to compute them again.
    """
    index = cache_index.PrefixCacheIndex()
    index.record_dispatch("e", "one", prompt_keys(), 1.0)
    assert index.expected_cached_tokens("e", "one", prompt_keys(), 2.0) == 4000
    assert (
        index.expected_cached_tokens("e", "one", prompt_keys(**changed), 2.0)
        == 0
    )


def test_answer_of_a_new_incarnation_changes_only_its_own_entries():
    """An engine restarts between the placement decision and the dispatch.

    The dispatch was recorded for the old process and the answer comes from
    the new one.  Only the new one is known to cache the prompt.
    """
    index = cache_index.PrefixCacheIndex()
    index.record_dispatch("e", "old", KEYS, 1.0)
    index.record_answer(
        "e", "new", KEYS[:1], expected_tokens=6000, cached_tokens=0, now_s=2.0
    )
    assert index.expected_cached_tokens("e", "new", KEYS, 2.0) == 2000
    assert index.accuracy.false_hit_rate == 1.0


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
def test_cache_events(events, tokens):
    index = cache_index.PrefixCacheIndex()
    for kind, sequence, keys in events:
        arguments = (sequence,) if keys is None else (sequence, keys)
        getattr(index, kind)("e", "one", *arguments, now_s=1.0)
    assert index.expected_cached_tokens("e", "one", KEYS, 1.0) == tokens


@pytest.mark.parametrize("detected_by", ["line", "heartbeat"])
def test_blocks_unused_for_long_are_not_expected_after_a_gap(detected_by):
    """Lines of the event stream are lost, possibly evictions among them.

    Blocks not used for long may have been evicted and are not expected any
    more.  Recently used ones are.
    """
    index = cache_index.PrefixCacheIndex(gap_max_age_s=10.0)
    index.stored("e", "one", 1, KEYS, 0.0)
    index.record_dispatch("e", "one", KEYS[:1], 25.0)
    assert index.expected_cached_tokens("e", "one", KEYS, 30.0) == 6000
    if detected_by == "line":
        index.stored("e", "one", 3, (), 30.0)
    else:
        index.heartbeat("e", "one", 3, 30.0)
    assert index.expected_cached_tokens("e", "one", KEYS, 30.0) == 2000


def test_entries_expire_and_are_bounded():
    index = cache_index.PrefixCacheIndex(
        max_blocks_per_engine=4, max_engines=2, max_age_s=60.0
    )
    index.record_dispatch("e", "one", KEYS, 0.0)
    assert index.expected_cached_tokens("e", "one", KEYS, 61.0) == 0
    for number in range(100):
        index.record_dispatch(f"e{number}", "one", KEYS, 1.0)
        index.record_dispatch("e", "one", (b"%d" % number,), 1.0)
    assert len(index) <= 8


def test_a_failed_dispatch_is_withdrawn():
    index = cache_index.PrefixCacheIndex()
    index.record_dispatch("e", "one", KEYS, 0.0)
    index.withdraw_dispatch("e", "one", KEYS)
    assert index.expected_cached_tokens("e", "one", KEYS, 0.0) == 0


def test_hot_prefixes_keep_their_rates_in_a_flood_of_unique_ones():
    """A caller sends a flood of unique prompts.

    Each of them replaces a counter.  The hot prefix must keep its rate, and
    no unique prompt may look hot by the count that it inherits.
    """
    prefix_rates = request_rates.PrefixRates(capacity=50, time_constant_s=10.0)
    for number in range(2000):
        now_s = number / 100
        prefix_rates.add((b"u%d" % number,), now_s)
        if number % 10 == 0:
            prefix_rates.add((b"hot",), now_s)
    rates = prefix_rates.rates((b"hot", b"u1999"), 20.0)
    assert 7 < rates[b"hot"] < 11
    assert rates[b"u1999"] < 0.2
    assert prefix_rates.hottest(1, 20.0)[0].key == b"hot"
    assert len(prefix_rates) == 50


def test_rates_decay_and_are_kept_by_rescaling():
    prefix_rates = request_rates.PrefixRates(time_constant_s=10.0)
    prefix_rates.add((b"a",), 0.0)
    prefix_rates.add((b"b",), 5000.0)
    rates = prefix_rates.rates((b"a", b"b"), 5000.0)
    assert rates[b"a"] < 1e-9
    assert rates[b"b"] == pytest.approx(0.1)


def test_rates_of_peers_count_until_they_expire():
    prefix_rates = request_rates.PrefixRates(peer_max_age_s=5.0)
    prefix_rates.update_peer(
        "r2", (request_rates.HotPrefix(b"a", 3.0),), 7.0, 10.0
    )
    assert prefix_rates.rates((b"a",), 12.0) == {b"a": 3.0}
    assert prefix_rates.total_rate_per_s(12.0) == 7.0
    assert prefix_rates.rates((b"a",), 16.0) == {b"a": 0.0}
