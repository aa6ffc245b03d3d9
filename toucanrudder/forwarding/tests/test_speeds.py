"""Engines of other makes than the usual one."""

import random

import pytest

from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import upstream_states

PARTS = (model.Part("a", 6_000), model.Part("own", 3_000))
PROMPT = model.Prompt("m", PARTS, prompt_tokens=9_000)


def candidate(name, unread=0, version=1, **fields):
    upstream = model.Upstream(
        name,
        "s",
        f"10.0.0.{name[1:]}:80",
        "za",
        slots=64,
        weights={"m": version},
    )
    state = upstream_states.UpstreamState(prefill_tokens=unread)
    return placing.Candidate(upstream, state, **fields)


def chosen(candidates, speed, *holders):
    index = cache.CacheIndex()
    for name in holders:
        index.add_parts(name, "1", PARTS[:1])
    return placing.choose_for_prompt(
        PROMPT, "", candidates, index, speed=speed, now_s=10.0
    )


#: What an engine reads in a second, and whether a fifth of the worth of an
#: answer on old weights is rather lost than the prompt read anew.
OLD_WEIGHTS = {
    "usual": (60_000.0, "i2"),
    "four times slower": (15_000.0, "i1"),
}


@pytest.mark.parametrize(
    ("tokens_per_s", "name"), OLD_WEIGHTS.values(), ids=OLD_WEIGHTS.keys()
)
def test_a_slower_engine_does_not_read_anew_so_lightly(tokens_per_s, name):
    # One engine has the part and old weights, the other must read it all.
    # Where reading takes four times as long, going there costs the caller
    # more than the answer gains.
    old = candidate("i1", weights_age_s=1.5)
    new = candidate("i2", version=2)
    choice = chosen([old, new], speeds.EngineSpeeds(tokens_per_s), "i1")
    assert choice.upstream.incarnation == name


#: Time of a copied token against the usual one, and where a prompt goes
#: whose part is at an engine with 4,000 tokens before it.
LINKS = {"usual": (1.0, "i2"), "ten times slower": (10.0, "i1")}


@pytest.mark.parametrize(("factor", "name"), LINKS.values(), ids=LINKS.keys())
def test_over_slow_links_prompts_stay_where_their_parts_are(factor, name):
    speed = speeds.EngineSpeeds(copy_token_s=factor * speeds.PRIOR_COPY_S)
    holder = candidate("i1", unread=4_000)
    choice = chosen([holder, candidate("i2")], speed, "i1")
    assert choice.upstream.incarnation == name


@pytest.mark.parametrize("tokens_per_s", [15_000, 60_000, 180_000])
def test_the_speed_is_learned_from_what_routers_see(tokens_per_s):
    # Most prompts wait a little before they are read, a few were cached
    # though nobody knew: the speed is found within a third all the same.
    rng = random.Random(3)
    learned = speeds.PrefillSpeeds()
    for _ in range(60):
        unread = rng.randint(2_500, 12_000)
        share_read = 0.4 if rng.random() < 0.08 else 1.0
        waited_s = rng.expovariate(4.0) if rng.random() < 0.5 else 0.0
        took_s = share_read * unread / tokens_per_s + waited_s + 0.004
        learned.record_prefill("s", unread, took_s)
    found = learned.tokens_per_s("s")
    assert found == pytest.approx(tokens_per_s, rel=1 / 3)


def test_short_prompts_say_nothing_of_the_speed():
    learned = speeds.PrefillSpeeds()
    for _ in range(50):
        learned.record_prefill("s", speeds.MIN_SAMPLE_TOKENS - 1, 1.0)
    assert learned.tokens_per_s("s") == speeds.PRIOR_TOKENS_PER_S
