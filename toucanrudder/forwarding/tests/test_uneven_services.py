"""Where learned costs are used, and that nothing changes elsewhere."""

import random

import pytest

from toucanrudder.costs import request_costs
from toucanrudder.costs import servers
from toucanrudder.costs import work
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import cost_gossip
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import plain_choice
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import upstream_states
from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.membership import routers
from toucanrudder.peers import messages

NOW_S = 10.0


def upstream(name, zone="za", service="s"):
    return model.Upstream(name, service, f"{name}:80", zone, slots=6)


def router(name="r1"):
    state = states.ForwardingState(
        name, "za", random.Random(1), retry_window.RetryBounds()
    )
    for name in ("u1", "u2", "v1"):
        state.registry.put(upstream(name, service=name[0]))
    return state


def candidates(state, service):
    return state.candidates(service, None, NOW_S)


def test_costs_are_used_only_where_an_upstream_has_stated_a_slowness():
    state = router()
    assert all(each.cost is None for each in candidates(state, "u"))
    state.costs.record_stated("u", "u1", 2.5, NOW_S)
    assert all(each.cost is not None for each in candidates(state, "u"))
    assert all(each.cost is None for each in candidates(state, "v"))
    state.retain({"u2", "v1"})
    assert all(each.cost is None for each in candidates(state, "u"))


def test_a_configured_service_needs_no_statement():
    assert request_costs.RequestCosts(["u"]).is_uneven("u")


def reference_plain(zone, candidates, now_s, rng):
    """Choose by the share of slots in use."""

    def cost(candidate):
        share = candidate.requests(now_s) / max(1, candidate.upstream.slots)
        if candidate.upstream.zone != zone:
            share += 0.17
        return share + 5 * candidate.state.failure_share, rng.random()

    return min(candidates, key=cost).upstream


@pytest.mark.parametrize("seed", range(100))
def test_plain_choices_of_other_services_are_as_before(seed):
    rng = random.Random(seed)
    drawn = [
        placing.Candidate(
            upstream(f"u{number}", rng.choice(("za", "zb"))),
            upstream_states.UpstreamState(
                requests=rng.randrange(8),
                failure_share=rng.choice((0.0, 0.0, 0.1)),
                load=rng.choice((None, model.Load(3, 1, 6, 2.5))),
                load_at_s=NOW_S - rng.choice((0.1, 5.0)),
            ),
            peer_requests=rng.randrange(4),
        )
        for number in range(rng.randint(1, 12))
    ]
    one, two = random.Random(seed), random.Random(seed)
    chosen = plain_choice.choose_for_plain("za", drawn, now_s=NOW_S, rng=one)
    assert chosen.upstream == reference_plain("za", drawn, NOW_S, two)
    assert one.getstate() == two.getstate()
    assert chosen.outlook is None


def costed(name, stretch, left_s=0.0, requests=0):
    view = servers.ServerView(stretch, 1.0, 1e9)
    return placing.Candidate(
        upstream(name),
        upstream_states.UpstreamState(requests=requests),
        cost=request_costs.ServerCost(view, left_s),
    )


#: The candidates, and the one to choose for 15 ms of work.
PLAIN = {
    "faster": ([costed("u1", 1.4), costed("u2", 0.6)], "u2"),
    "shorter": ([costed("u1", 1, 0.3, 8), costed("u2", 1, 0.1, 8)], "u2"),
    "slower but idle": (
        [costed("u1", 0.8, 0.4, 12), costed("u2", 1.2)],
        "u2",
    ),
}


@pytest.mark.parametrize(("among", "name"), PLAIN.values(), ids=PLAIN.keys())
def test_plain_requests_go_where_the_answer_is_expected_first(among, name):
    choice = plain_choice.choose_for_plain(
        "za", among, now_s=NOW_S, rng=random.Random(1), work_s=0.015
    )
    assert choice.upstream.incarnation == name
    assert choice.outlook.second != name


def test_a_prompt_leaves_a_slow_engine_that_caches_its_part():
    index = cache.CacheIndex()
    prompt = model.Prompt(
        "m", (model.Part("a", 2_000), model.Part("own", 500)), 2_500
    )
    index.add_parts("u1", "0", prompt.parts[:1])
    chosen = [
        placing.choose_for_prompt(
            prompt,
            "",
            [costed("u1", stretch), costed("u2", 1.0)],
            index,
            now_s=NOW_S,
            times=work.UsualTimes(),
            rng=random.Random(2),
        ).upstream.incarnation
        for stretch in (1.0, 4.0)
    ]
    assert chosen == ["u1", "u2"]


def test_heartbeats_carry_costs_to_a_router_that_has_seen_nothing():
    one, two = router(), router("r2")
    one.costs.record_stated("u", "u1", 2.5, NOW_S)
    for _ in range(50):
        one.costs.servers.record_answer("u1", 0.5, 0.1, NOW_S)
    heartbeat = messages.from_wire(
        messages.to_wire(
            messages.Heartbeat(
                routers.Member("r1", "10.9.0.1:1", 1),
                loads=cost_gossip.told_loads(one, NOW_S + 0.1),
            )
        )
    )
    cost_gossip.merge(two, heartbeat, NOW_S + 0.2)
    learned = two.costs.servers.view("u1", NOW_S + 0.2)
    assert two.costs.is_uneven("u")
    assert learned.slowness == pytest.approx(2.1, abs=0.2)
    assert learned.time_factor > 1.5


def test_no_costs_of_processes_that_are_not_known():
    state = router()
    load = messages.UpstreamLoad("gone", 0, 1, 5.0, 3.0, 9.0, 2.5, 0.0)
    heartbeat = messages.Heartbeat(
        routers.Member("r2", "10.9.0.2:1", 1), loads=(load,)
    )
    cost_gossip.merge(state, heartbeat, NOW_S)
    assert not state.costs.servers.time_factors()


#: Fields of a load that a peer may not claim.
IMPLAUSIBLE = {
    "endless work": {"work_s": float("inf")},
    "negative work": {"work_s": -1.0},
    "much work": {"work_s": 1e9},
    "no time at all": {"samples": 1.0, "time_factor": 0.0},
    "no number": {"samples": 1.0, "time_factor": float("nan")},
    "many samples": {"samples": 1e12, "time_factor": 1.0},
    "very slow": {"slowness": 1e6},
    "in the future": {"slowness": 1.0, "slowness_age_s": -1.0},
}


@pytest.mark.parametrize("fields", IMPLAUSIBLE.values(), ids=IMPLAUSIBLE)
def test_implausible_costs_are_refused(fields):
    wire = messages.to_wire(
        messages.Heartbeat(
            routers.Member("r2", "10.9.0.2:1", 1),
            loads=(messages.UpstreamLoad("u1", 0, 1, **fields),),
        )
    )
    with pytest.raises(messages.BadHeartbeat):
        messages.from_wire(wire)
