"""Learned speeds and stated slowness of server processes."""

import random

import pytest

from toucanrudder.costs import servers


def learned(ratios, now_s=0.0):
    models = servers.ServerModels()
    for ratio in ratios:
        models.record_answer("e1", ratio, 1.0, now_s)
    return models


@pytest.mark.parametrize("factor", [0.59, 1.0, 1.43, 4.0])
def test_the_factor_is_learned_despite_waits(factor):
    # A sixth of the answers waited for something else, some very long.
    rng = random.Random(5)
    models = learned(
        factor
        * rng.lognormvariate(0.0, 0.2)
        * (rng.choice((3, 40)) if rng.random() < 1 / 6 else 1)
        for _ in range(200)
    )
    view = models.view("e1", 0.0)
    assert view.time_factor == pytest.approx(factor, rel=0.25)


def test_one_slow_answer_changes_little():
    assert learned([1_000.0]).view("e1", 0.0).time_factor < 1.2


def test_the_stated_slowness_is_not_learned_as_a_factor():
    models = servers.ServerModels()
    for n in range(100):
        models.record_stated("e1", 2.5, float(n))
        models.record_answer("e1", 2.5, 1.0, float(n))
    assert models.view("e1", 99.0).time_factor == pytest.approx(1.0, abs=0.05)


def test_a_false_statement_is_made_up_for_by_the_factor():
    models = servers.ServerModels()
    for n in range(300):
        models.record_stated("e1", 0.5, n / 10)
        models.record_answer("e1", 2.0, 1.0, n / 10)
    view = models.view("e1", 29.9)
    assert view.time_factor * view.slowness == pytest.approx(2.0, rel=0.1)


def test_a_stated_slowness_decays_to_the_usual_one():
    models = servers.ServerModels()
    models.record_stated("e1", 2.5, 0.0)
    slowness = [models.view("e1", age_s).slowness for age_s in (0, 0.3, 3)]
    usual = 1 + 1.5 / 6
    assert slowness[0] == 2.5
    assert slowness[1] == pytest.approx(usual + (2.5 - usual) / 2.718, 0.01)
    assert slowness[2] == pytest.approx(usual, rel=0.01)


def test_a_statement_that_seems_to_come_from_the_future_counts_as_new():
    models = servers.ServerModels()
    models.record_stated("e1", 2.5, 10_000.0)
    assert models.view("e1", 0.0).slowness == 2.5


def test_a_later_report_of_a_peer_replaces_its_earlier_one():
    models = servers.ServerModels()
    told = [servers.Told("e1", 2.0, 10.0)]
    models.merge("r2", told, 0.0)
    first = models.view("e1", 0.0)
    for n in range(50):
        models.merge("r2", told, n / 10)
    again = models.view("e1", 5.0)
    assert again.samples == pytest.approx(first.samples)
    assert again.time_factor == pytest.approx(first.time_factor)


def test_samples_of_peers_are_not_told_on():
    models = servers.ServerModels()
    models.merge("r2", [servers.Told("e1", 2.0, 10.0, 2.5, 0.1)], 1.0)
    (told,) = models.own(1.2)
    assert (told.samples, told.slowness) == (0.0, 2.5)
    assert told.slowness_age_s == pytest.approx(0.3)


def test_an_older_statement_does_not_replace_a_newer_one():
    models = servers.ServerModels()
    models.record_stated("e1", 1.0, 1.0)
    models.merge("r2", [servers.Told("e1", slowness=4.0)], 0.9)
    assert models.view("e1", 1.0).slowness == 1.0


def test_one_peer_cannot_claim_more_than_the_bounds():
    models = learned([1.0] * 200)
    models.merge("r2", [servers.Told("e1", 1e9, 1e9, 1e9)], 0.0)
    view = models.view("e1", 0.0)
    assert view.time_factor < servers.MAX_FACTOR**0.6
    assert view.slowness <= servers.MAX_SLOWNESS


def test_a_restarted_process_is_learned_anew():
    models = learned([3.0] * 50)
    models.merge("r2", [servers.Told("e1", 3.0, 50.0)], 0.0)
    models.retain({"e2"})
    assert models.view("e1", 0.0) == servers.USUAL
    models.merge("r2", [], 0.1)
    assert models.view("e1", 0.1) == servers.USUAL


def test_what_a_silent_peer_told_is_dropped():
    models = servers.ServerModels()
    models.merge("r2", [servers.Told("e1", 2.0, 50.0)], 0.0)
    models.merge("r3", [], servers.TOLD_KEPT_S + 1)
    assert models.view("e1", 0.0).samples == pytest.approx(0.0)
