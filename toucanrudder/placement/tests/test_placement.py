import random

import pytest

from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.messages import request
from toucanrudder.placement import affinity
from toucanrudder.placement import imports
from toucanrudder.placement import policies
from toucanrudder.placement import rendezvous
from toucanrudder.placement import types
from toucanrudder.placement import waiting

NOW_S = 100.0
KEYS = (b"preamble", b"project", b"question")


def engine(name, **fields):
    defaults = {
        "zone": "hal",
        "incarnation": f"{name}-1",
        "weights_version": "1",
        "reported_at_s": NOW_S,
    }
    return types.UpstreamView(name=name, **(defaults | fields))


def fleet(*engines, **fields):
    return types.FleetView(upstreams=engines, zone="hal", **fields)


def query(keys=KEYS, tokens=6000, deadline_s=NOW_S + 60):
    return types.Query(
        "r", "org", request.Priority.NORMAL, keys, tokens, deadline_s
    )


def context(seed=1, excluded=(), **weights):
    return types.Context(
        model.Policy(**weights), random.Random(seed), frozenset(excluded)
    )


def place(view, requested=None, policy="toucanrudder", **fields):
    return policies.decide(
        policies.by_name(policy),
        view,
        requested or query(),
        context(**fields),
        NOW_S,
    )


RANKED = rendezvous.ranked(KEYS[0], ["a", "b", "c"])
PREFERRED, OTHER, LAST = RANKED

CASES = {
    "cached engine is chosen": (
        [engine(PREFERRED), engine(OTHER, expected_cached_tokens=6000)],
        {},
        OTHER,
    ),
    "cached engine with a long queue is not chosen": (
        [
            engine(
                PREFERRED,
                expected_cached_tokens=6000,
                queued_prefill_tokens=50000,
            ),
            engine(OTHER),
        ],
        {},
        OTHER,
    ),
    "reported queue shrinks as the report ages": (
        [
            engine(
                PREFERRED,
                expected_cached_tokens=6000,
                queued_prefill_tokens=50000,
                reported_at_s=NOW_S - 4.9,
            ),
            engine(OTHER),
        ],
        {},
        PREFERRED,
    ),
    "reported idle, but own requests are in flight": (
        [engine(PREFERRED, own_prefill_tokens=50000), engine(OTHER)],
        {},
        OTHER,
    ),
    "reported idle, but peers' requests are in flight": (
        [engine(PREFERRED, peer_prefill_tokens=50000), engine(OTHER)],
        {},
        OTHER,
    ),
    "no free slot": (
        [engine(PREFERRED, running=8, waiting=16), engine(OTHER)],
        {},
        OTHER,
    ),
    "uncached prompt goes to the preferred engine": (
        [engine(PREFERRED), engine(OTHER)],
        {},
        PREFERRED,
    ),
    "preferred engine excluded by a retry": (
        [engine(PREFERRED), engine(OTHER), engine(LAST)],
        {"excluded": (PREFERRED,)},
        OTHER,
    ),
    "higher weight of recomputation": (
        [
            engine(
                PREFERRED,
                expected_cached_tokens=6000,
                queued_prefill_tokens=8000,
            ),
            engine(OTHER),
        ],
        {"recompute_weight": 3.0},
        PREFERRED,
    ),
    "higher weight of waiting": (
        [
            engine(
                PREFERRED,
                expected_cached_tokens=6000,
                queued_prefill_tokens=8000,
            ),
            engine(OTHER),
        ],
        {"wait_weight": 3.0},
        OTHER,
    ),
}


@pytest.mark.parametrize(
    ("engines", "fields", "expected"), CASES.values(), ids=CASES
)
def test_chosen_engine(engines, fields, expected):
    for seed in range(20):
        decision = place(fleet(*engines), seed=seed, **fields)
        assert decision.upstream == expected


def test_decision_holds_the_incarnation_it_was_made_for():
    decision = place(fleet(engine("a", expected_cached_tokens=4000)))
    assert decision.incarnation == "a-1"
    assert decision.expected_hit_tokens == 4000


@pytest.mark.parametrize("name", sorted(policies._BY_NAME))
def test_equal_seeds_give_equal_decisions(name):
    view = fleet(*(engine(letter) for letter in "abcde"))
    runs = [
        [place(view, policy=name, seed=seed) for seed in range(10)]
        for _run in range(2)
    ]
    assert runs[0] == runs[1]


@pytest.mark.parametrize("name", sorted(policies._BY_NAME))
def test_refusal_without_an_engine_has_a_retry_delay(name):
    with pytest.raises(errors.RudderError) as caught:
        place(fleet(engine("a")), policy=name, excluded=("a",))
    assert caught.value.code is errors.Code.NO_UPSTREAM
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after_s


def test_deadline_that_no_engine_can_meet_is_refused_at_once():
    """All engines have queues longer than the request's deadline.

    The caller must be refused at once, with a retry delay.  A queued request
    would be answered too late and would delay others.
    """
    engines = [engine(name, queued_prefill_tokens=50000) for name in "ab"]
    with pytest.raises(errors.RudderError) as caught:
        place(fleet(*engines), query(deadline_s=NOW_S + 1))
    assert caught.value.code is errors.Code.DEADLINE_UNMET
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after_s == pytest.approx(4.6, abs=0.1)


def test_prompts_without_a_full_block_are_spread_over_equal_engines():
    """Eight routers see the same idle engines and many short prompts.

    If ties were broken by a fixed rule, all routers would choose the same
    engine until the next load report.
    """
    view = fleet(*(engine(name) for name in "abcde"))
    chosen = {
        place(view, query((), 100), seed=seed).upstream for seed in range(50)
    }
    assert chosen == set("abcde")


@pytest.mark.parametrize(
    ("share", "engines"), [(0.0, 1), (0.1, 1), (0.4, 4), (1.0, 8)]
)
def test_engines_of_a_prefix_follow_its_share_of_requests(share, engines):
    names = "abcdefgh"
    view = fleet(
        *(engine(name) for name in names),
        prefix_rates={b"project": share * 50},
        total_rate_per_s=50.0,
    )
    assert (
        len(affinity.preferred_engines(view, query((b"project",)))) == engines
    )


def test_engines_of_a_project_are_among_those_of_its_preamble():
    names = "abcdefgh"
    view = fleet(
        *(engine(name) for name in names),
        prefix_rates={b"preamble": 20.0, b"project": 8.0},
        total_rate_per_s=50.0,
    )
    outer = affinity.preferred_engines(view, query((b"preamble",)))
    inner = affinity.preferred_engines(view, query((b"preamble", b"project")))
    assert len(outer) == 4
    assert len(inner) == 2
    assert set(inner) < set(outer)


def test_loss_of_an_engine_moves_only_its_own_prefixes():
    names = ["a", "b", "c", "d", "e"]
    for number in range(100):
        key = b"%d" % number
        before = rendezvous.ranked(key, names)
        after = rendezvous.ranked(key, [name for name in names if name != "c"])
        assert after == [name for name in before if name != "c"]


@pytest.mark.parametrize(
    ("fields", "tokens"),
    [
        ({"queued_prefill_tokens": 8000}, 8000),
        ({"queued_prefill_tokens": 8000, "reported_at_s": 99.5}, 3000),
        ({"queued_prefill_tokens": 80000, "reported_at_s": 90.0}, 0),
        ({"queued_prefill_tokens": 8000, "own_prefill_tokens": 5000}, 8000),
        ({"own_prefill_tokens": 5000, "peer_prefill_tokens": 100}, 5100),
    ],
    ids=["fresh", "aged", "too-old", "not-counted-twice", "not-yet-reported"],
)
def test_queue_is_estimated_from_lagging_reports(fields, tokens):
    assert waiting.queued_tokens(engine("a", **fields), NOW_S) == tokens


@pytest.mark.parametrize(
    ("cached_tokens", "stored_keys", "blocks"),
    [
        (0, KEYS, KEYS),
        (2000, KEYS, KEYS[1:]),
        (0, (KEYS[0], KEYS[2]), KEYS[:1]),
        (0, KEYS[1:], None),
        (6000, KEYS, None),
        (0, (), None),
    ],
    ids=[
        "none-cached",
        "partly-cached",
        "gap",
        "no-start",
        "all-cached",
        "none-stored",
    ],
)
def test_import_ends_at_the_first_missing_block(
    cached_tokens, stored_keys, blocks
):
    planned = imports.plan_import(
        engine("a", expected_cached_tokens=cached_tokens),
        query(),
        stored_keys,
        imports.ImportCost(),
    )
    assert (planned.blocks if planned else None) == blocks


def test_no_import_that_is_slower_than_recomputation():
    slow = imports.ImportCost(start_s=0.1, tokens_per_s=9000.0)
    assert imports.plan_import(engine("a"), query(), KEYS, slow) is None
