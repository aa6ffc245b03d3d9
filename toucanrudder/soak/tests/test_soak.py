"""A short soak of the real program, and the mutants' places."""

import pytest

from toucanrudder.soak import mutants
from toucanrudder.soak import plans
from toucanrudder.soak import runs

SHORT = runs.Size(length_s=9.0, routers=3, engines=3, desks=2, callers=6)
USUAL = runs.Size(length_s=15.0)

PLAYED = {
    "many kinds of faults": (3, SHORT),
    "stops and crashes": (4, SHORT),
    # Each seed that ever failed, with its cause.
    "a caller that leaves looked cut by a stop": (1, USUAL),
    "a hang-up met a router that was starting": (7, USUAL),
    "two callers' poison looked like one": (108, USUAL),
    "broken streams looked like one poisonous request": (1040, USUAL),
    "engines did not register the weights that they had loaded": (6117, USUAL),
}


@pytest.mark.parametrize(("seed", "size"), PLAYED.values(), ids=PLAYED.keys())
def test_promises_hold_under_faults(seed, size, tmp_path):
    result = runs.play(seed, size, str(tmp_path))
    assert result.broken == []
    assert result.figures["runs"] > 0


STANDSTILLS = {
    "routers": (plans.Fault.STANDSTILL,),
    "engines": (plans.Fault.UPSTREAM_STANDSTILL,),
    "both": (plans.Fault.STANDSTILL, plans.Fault.UPSTREAM_STANDSTILL),
}


@pytest.mark.parametrize(
    "faults", STANDSTILLS.values(), ids=STANDSTILLS.keys()
)
def test_standstills_cut_no_answer(faults, tmp_path):
    size = runs.Size(
        length_s=9.0, routers=3, engines=6, callers=4, long_streams=30
    )
    steps = plans.standstills(907, size.length_s, *faults)
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["long"] > 0


def test_a_stated_limit_holds_under_load(tmp_path):
    size = runs.Size(length_s=14.0, callers=24)
    steps = (plans.Step(1.0, plans.Fault.LIMIT, 0.5, 11.0),)
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["limited"] > 0


STATEMENTS = {
    "leaving": (plans.Fault.LEAVE, 3.0, "told_leaving"),
    "rest": (plans.Fault.REST, 9.0, "asked_for_rest"),
}


@pytest.mark.parametrize(
    ("fault", "for_s", "figure"), STATEMENTS.values(), ids=STATEMENTS
)
def test_what_upstreams_state_is_kept_to_under_load(
    fault, for_s, figure, tmp_path
):
    size = runs.Size(length_s=14.0, callers=24)
    steps = (plans.Step(1.0, fault, 0.5, for_s),)
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures[figure] > 0


def test_a_document_is_in_force_though_all_watches_are_lost(tmp_path):
    size = runs.Size(length_s=14.0, routers=8, watch_wait_s=6.0)
    steps = (plans.Step(4.0, plans.Fault.WATCHES_LOST, 0.5, 0.0),)
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["runs"] > 0


def test_open_connections_follow_documents(tmp_path):
    size = runs.Size(length_s=20.0)
    steps = tuple(
        plans.Step(1.0 + 6.0 * number, plans.Fault.DOCUMENT, 0.5, 0.0)
        for number in range(4)
    )
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["long_heads"] > 0


def test_upstreams_are_followed_beside_a_strange_entry(tmp_path):
    size = runs.Size(length_s=14.0)
    steps = (
        plans.Step(1.0, plans.Fault.STRANGE_ENTRY, 0.5, 0.0),
        plans.Step(3.0, plans.Fault.DRAIN, 0.2, 0.0),
        plans.Step(5.0, plans.Fault.DRAIN, 0.7, 0.0),
    )
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["runs"] > 0


def test_crowds_of_clients_leave_memory_and_callers_alone(tmp_path):
    size = runs.Size(length_s=14.0)
    steps = tuple(
        plans.Step(1.0 + 2.0 * number, plans.Fault.CLIENT_CROWD, draw, 2.0)
        for number, draw in enumerate((0.1, 0.3, 0.5, 0.7, 0.9))
    )
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["memory_growths"] > 0


def test_answers_that_are_broken_reach_no_caller(tmp_path):
    size = runs.Size(length_s=14.0, callers=24)
    steps = (plans.Step(1.0, plans.Fault.BROKEN_ANSWERS, 0.5, 9.0),)
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["memory_growths"] > 0


def test_no_run_goes_on_beside_an_engine_that_resets(tmp_path):
    size = runs.Size(length_s=14.0, engines=6, callers=4, long_streams=30)
    steps = tuple(
        plans.Step(2.0 + 3.0 * number, plans.Fault.RESETS, draw, 2.0)
        for number, draw in enumerate((0.1, 0.4, 0.8))
    )
    result = runs.play(907, size, str(tmp_path), steps)
    assert result.broken == []
    assert result.figures["long"] > 0


def test_a_plan_draws_each_kind_of_fault():
    drawn = {
        step.fault
        for seed in range(40)
        for step in plans.plan(seed, 20.0, 0.8)
    }
    assert drawn == set(plans.Fault)


@pytest.mark.parametrize(
    "mutant", mutants.MUTANTS, ids=lambda mutant: mutant.name
)
def test_each_mutant_still_finds_its_place(mutant, tmp_path):
    # A safeguard that moved would leave a mutant that changes nothing,
    # and nobody would notice that the soak cannot see its loss.
    tree = mutants.applied(mutant, tmp_path)
    text = (tree / "toucanrudder" / mutant.path).read_text()
    compile(text, mutant.path, "exec")
