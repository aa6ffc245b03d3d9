"""Choices for engines and links of different speeds."""

import random

import pytest

from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import upstream_states

PARTS = (model.Part("a", 6_000), model.Part("own", 3_000))
PROMPT = model.Prompt("m", PARTS, prompt_tokens=9_000)


def candidate(name, queued=0, version=1, **fields):
    upstream = model.Upstream(
        name,
        "s",
        f"10.0.0.{name[1:]}:80",
        "za",
        slots=64,
        weights={"m": version},
    )
    state = upstream_states.UpstreamState(prefill_tokens=queued)
    return placing.Candidate(upstream, state, **fields)


def choose(candidates, speed, *holders):
    index = cache.CacheIndex()
    for name in holders:
        index.add_parts(name, "1", PARTS[:1])
    return placing.choose_for_prompt(
        PROMPT, "", candidates, index, speed=speed, now_s=10.0
    )


#: Prefilled tokens per second, and the chosen engine: i1 has the part and old
#: weights, whose answer is worth a fifth less; i2 must prefill the part.
OLD_WEIGHTS = {
    "usual": (60_000.0, "i2"),
    "four times slower": (15_000.0, "i1"),
}


@pytest.mark.parametrize(
    ("tokens_per_s", "name"), OLD_WEIGHTS.values(), ids=OLD_WEIGHTS.keys()
)
def test_slow_engines_weigh_a_prefill_more_than_old_weights(
    tokens_per_s, name
):
    # With a prefill that takes four times as long, the newest weights cost
    # the caller more time than the better answer is worth.
    old = candidate("i1", weights_age_s=1.5)
    new = candidate("i2", version=2)
    choice = choose([old, new], speeds.EngineSpeeds(tokens_per_s), "i1")
    assert choice.upstream.incarnation == name


#: Time per copied token relative to the default, and the engine chosen for a
#: prompt whose part is cached at i1, which has 4,000 tokens queued.
LINKS = {"usual": (1.0, "i2"), "ten times slower": (10.0, "i1")}


@pytest.mark.parametrize(("factor", "name"), LINKS.values(), ids=LINKS.keys())
def test_slow_links_keep_prompts_where_their_parts_are_cached(factor, name):
    speed = speeds.EngineSpeeds(copy_token_s=factor * speeds.PRIOR_COPY_S)
    holder = candidate("i1", queued=4_000)
    choice = choose([holder, candidate("i2")], speed, "i1")
    assert choice.upstream.incarnation == name


@pytest.mark.parametrize("tokens_per_s", [15_000, 60_000, 180_000])
def test_the_prefill_speed_is_estimated_from_answers(tokens_per_s):
    # Half of the prompts wait before their prefill, and a few have cached
    # parts that the router does not know of.
    rng = random.Random(3)
    speeds_seen = speeds.PrefillSpeeds()
    for _ in range(60):
        uncached = rng.randint(2_500, 12_000)
        prefilled_share = 0.4 if rng.random() < 0.08 else 1.0
        waited_s = rng.expovariate(4.0) if rng.random() < 0.5 else 0.0
        took_s = prefilled_share * uncached / tokens_per_s + waited_s + 0.004
        speeds_seen.record_prefill("s", uncached, took_s)
    estimate = speeds_seen.tokens_per_s("s")
    assert estimate == pytest.approx(tokens_per_s, rel=1 / 3)


def test_short_prompts_are_no_samples_of_the_speed():
    speeds_seen = speeds.PrefillSpeeds()
    for _ in range(50):
        speeds_seen.record_prefill("s", speeds.MIN_SAMPLE_TOKENS - 1, 1.0)
    assert speeds_seen.tokens_per_s("s") == speeds.PRIOR_TOKENS_PER_S
