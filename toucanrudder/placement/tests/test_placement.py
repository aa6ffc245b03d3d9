import random

import pytest

from toucanrudder import errors
from toucanrudder.document import model
from toucanrudder.messages import request
from toucanrudder.placement import homes
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


def place(view, asked=None, chosen_by="toucanrudder", **fields):
    return policies.decide(
        policies.by_name(chosen_by),
        view,
        asked or query(),
        context(**fields),
        NOW_S,
    )


OWNERS = rendezvous.ranked(KEYS[0], ["a", "b", "c"])
HOME, OTHER, LAST = OWNERS

CASES = {
    "cached engine wins": (
        [engine(HOME), engine(OTHER, expected_cached_tokens=6000)],
        {},
        OTHER,
    ),
    "cached engine with a long queue loses": (
        [
            engine(
                HOME, expected_cached_tokens=6000, queued_prefill_tokens=50000
            ),
            engine(OTHER),
        ],
        {},
        OTHER,
    ),
    "old report of a long queue no longer counts": (
        [
            engine(
                HOME,
                expected_cached_tokens=6000,
                queued_prefill_tokens=50000,
                reported_at_s=NOW_S - 4.9,
            ),
            engine(OTHER),
        ],
        {},
        HOME,
    ),
    "reported idle, but own work is under way": (
        [engine(HOME, own_prefill_tokens=50000), engine(OTHER)],
        {},
        OTHER,
    ),
    "reported idle, but peers' work is under way": (
        [engine(HOME, peer_prefill_tokens=50000), engine(OTHER)],
        {},
        OTHER,
    ),
    "no free slot": (
        [engine(HOME, running=8, waiting=16), engine(OTHER)],
        {},
        OTHER,
    ),
    "cold prompt goes home": ([engine(HOME), engine(OTHER)], {}, HOME),
    "home excluded by a retry": (
        [engine(HOME), engine(OTHER), engine(LAST)],
        {"excluded": (HOME,)},
        OTHER,
    ),
    "hit rate weighed more": (
        [
            engine(
                HOME, expected_cached_tokens=6000, queued_prefill_tokens=8000
            ),
            engine(OTHER),
        ],
        {"recompute_weight": 3.0},
        HOME,
    ),
    "waiting weighed more": (
        [
            engine(
                HOME, expected_cached_tokens=6000, queued_prefill_tokens=8000
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
def test_choice(engines, fields, expected):
    for seed in range(20):
        decision = place(fleet(*engines), seed=seed, **fields)
        assert decision.upstream == expected


def test_decision_names_the_incarnation_it_relied_on():
    decision = place(fleet(engine("a", expected_cached_tokens=4000)))
    assert decision.incarnation == "a-1"
    assert decision.expected_hit_tokens == 4000


@pytest.mark.parametrize("name", sorted(policies._BY_NAME))
def test_same_seed_same_decisions(name):
    view = fleet(*(engine(each) for each in "abcde"))
    runs = [
        [place(view, chosen_by=name, seed=seed) for seed in range(10)]
        for _run in range(2)
    ]
    assert runs[0] == runs[1]


@pytest.mark.parametrize("name", sorted(policies._BY_NAME))
def test_no_engine_is_a_refusal_that_says_when_to_come_back(name):
    with pytest.raises(errors.RudderError) as caught:
        place(fleet(engine("a")), chosen_by=name, excluded=("a",))
    assert caught.value.code is errors.Code.NO_UPSTREAM
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after_s


def test_deadline_that_no_engine_meets_is_refused_at_once():
    """All engines have a queue longer than the caller will wait.

    The caller must hear at once, with when to come back, instead of
    waiting for an answer that will be too late and delaying others.
    """
    engines = [engine(each, queued_prefill_tokens=50000) for each in "ab"]
    with pytest.raises(errors.RudderError) as caught:
        place(fleet(*engines), query(deadline_s=NOW_S + 1))
    assert caught.value.code is errors.Code.DEADLINE_UNMET
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after_s == pytest.approx(4.6, abs=0.1)


def test_prompts_without_a_full_block_do_not_herd():
    """Eight routers see the same idle engines and many short prompts.

    With one rule for breaking ties all would choose the same engine until
    the next load report.
    """
    view = fleet(*(engine(each) for each in "abcde"))
    chosen = {
        place(view, query((), 100), seed=seed).upstream for seed in range(50)
    }
    assert chosen == set("abcde")


@pytest.mark.parametrize(
    ("share", "engines"), [(0.0, 1), (0.1, 1), (0.4, 4), (1.0, 8)]
)
def test_hot_prefix_spreads_and_shrinks_with_its_share(share, engines):
    names = "abcdefgh"
    view = fleet(
        *(engine(each) for each in names),
        heat={b"project": share * 50},
        total_rate_per_s=50.0,
    )
    assert len(homes.homes(view, query((b"project",)))) == engines


def test_homes_of_a_project_are_among_those_of_its_preamble():
    names = "abcdefgh"
    view = fleet(
        *(engine(each) for each in names),
        heat={b"preamble": 20.0, b"project": 8.0},
        total_rate_per_s=50.0,
    )
    outer = homes.homes(view, query((b"preamble",)))
    inner = homes.homes(view, query((b"preamble", b"project")))
    assert len(outer) == 4
    assert len(inner) == 2
    assert set(inner) < set(outer)


def test_loss_of_an_engine_moves_only_its_own_prefixes():
    names = ["a", "b", "c", "d", "e"]
    for number in range(100):
        key = b"%d" % number
        before = rendezvous.ranked(key, names)
        after = rendezvous.ranked(key, [each for each in names if each != "c"])
        assert after == [each for each in before if each != "c"]


@pytest.mark.parametrize(
    ("fields", "tokens"),
    [
        ({"queued_prefill_tokens": 8000}, 8000),
        ({"queued_prefill_tokens": 8000, "reported_at_s": 99.5}, 3000),
        ({"queued_prefill_tokens": 80000, "reported_at_s": 90.0}, 0),
        ({"queued_prefill_tokens": 8000, "own_prefill_tokens": 5000}, 8000),
        ({"own_prefill_tokens": 5000, "peer_prefill_tokens": 100}, 5100),
    ],
    ids=["fresh", "worked-off", "too-old", "not-twice", "not-yet-reported"],
)
def test_queue_is_estimated_from_late_reports(fields, tokens):
    assert waiting.queued_tokens(engine("a", **fields), NOW_S) == tokens


@pytest.mark.parametrize(
    ("held", "kept", "blocks"),
    [
        (0, KEYS, KEYS),
        (2000, KEYS, KEYS[1:]),
        (0, (KEYS[0], KEYS[2]), KEYS[:1]),
        (0, KEYS[1:], None),
        (6000, KEYS, None),
        (0, (), None),
    ],
    ids=["cold", "partly", "hole", "no-start", "all-held", "none-kept"],
)
def test_import_takes_an_unbroken_run(held, kept, blocks):
    order = imports.plan_import(
        engine("a", expected_cached_tokens=held),
        query(),
        kept,
        imports.ImportCost(),
    )
    assert (order.blocks if order else None) == blocks


def test_import_slower_than_recompute_is_left():
    slow = imports.ImportCost(start_s=0.1, tokens_per_s=9000.0)
    assert imports.plan_import(engine("a"), query(), KEYS, slow) is None
