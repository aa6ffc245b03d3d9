"""Routers that learn costs, beside other rules, before uneven engines."""

import pytest

from toucanrudder.costs.tests import fleet

EVEN = {"engine_speeds": (1.0,) * 30, "slow_share": 0.0}

SCENARIOS = {
    "the load": fleet.Scenario(),
    "twice the load": fleet.Scenario(rate=2.0),
    "a third slowed at the peak": fleet.Scenario(peak_at_s=4.0, rate=1.5),
    "an engine that lies": fleet.Scenario(liar=0),
    "a restarted router": fleet.Scenario(restarted_at_s=5.0),
    "nothing learned": fleet.Scenario(measured_from_s=0.0, duration_s=4.0),
    "one router": fleet.Scenario(routers=1),
}

#: Share of what the oracle serves in its objective that is to be served.
MIN_SHARE_OF_ORACLE = 0.9

#: Largest mean time to the first event on even engines, relative to that of
#: the present rule: drawing among near ties costs this much at most.
MAX_EVEN_TIME = 1.03


def run(scenario, name):
    return fleet.Fleet(scenario, fleet.POLICIES[name]).run()


def mean_s(done):
    return sum(done.waits_s) / len(done.waits_s)


@pytest.mark.parametrize("name", SCENARIOS)
def test_uneven_engines(name):
    scenario = SCENARIOS[name]
    done = {policy: run(scenario, policy) for policy in fleet.POLICIES}
    for policy, each in done.items():
        print(f"\n{name}, {policy}: {each.summary()}", end="")
    shares = {policy: each.share() for policy, each in done.items()}
    assert shares["costs"] >= MIN_SHARE_OF_ORACLE * shares["oracle"]
    assert shares["costs"] >= shares["present"]
    assert mean_s(done["costs"]) < mean_s(done["present"])


@pytest.mark.parametrize("rate", [1.0, 2.0])
@pytest.mark.parametrize("routers", [1, 59])
def test_even_engines(rate, routers):
    scenario = fleet.Scenario(**EVEN, rate=rate, routers=routers)
    costs, present = run(scenario, "costs"), run(scenario, "present")
    assert costs.share() >= present.share()
    assert mean_s(costs) <= MAX_EVEN_TIME * mean_s(present)


def test_the_lasting_speed_of_each_engine_is_learned():
    scenario = fleet.Scenario(duration_s=20.0)
    done = run(scenario, "costs")
    factors = done.routers[0].costs.servers.time_factors()
    slow = [factors[f"e{number}"] for number in range(0, 30, 3)]
    fast = [factors[f"e{number}"] for number in range(2, 30, 3)]
    print("\nslow", sorted(slow), "fast", sorted(fast))
    assert min(slow) > 1.5 * max(fast)
