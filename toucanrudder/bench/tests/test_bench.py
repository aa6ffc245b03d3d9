import pytest

from toucanrudder.bench import command
from toucanrudder.bench import deployments
from toucanrudder.bench import fates
from toucanrudder.bench import judge
from toucanrudder.bench import locking
from toucanrudder.bench import records
from toucanrudder.bench import report
from toucanrudder.bench import systems
from toucanrudder.bench import workload
from toucanrudder.messages import request
from toucanrudder.testing import ports

TIMES = workload.Times(1.0, 10.0, 4.0, 6.0)
KEYS = {"a": (b"p", b"a"), "b": (b"p", b"b")}


def make(seed=1, shifts=False):
    return workload.make(deployments.CELBOUW, seed, TIMES, shifts=shifts)


def run(prompt, started_s, cached_tokens=0, **fields):
    return {
        "prompt": prompt,
        "started_s": started_s,
        "finished_s": started_s + 1,
        "state": "finished",
        "weights_version": "1",
        "prompt_tokens": 4000,
        "cached_tokens": cached_tokens,
        "prefill_tokens": 4000 - cached_tokens,
    } | fields


def judged(*processes, capacity_blocks=10):
    return judge.judge(
        processes,
        lambda entry: tuple(
            key + entry["weights_version"].encode()
            for key in KEYS[entry["prompt"]]
        ),
        capacity_blocks=capacity_blocks,
        prefill_tokens_per_s=40000.0,
        window_s=(0.0, 100.0),
    )


def engine(*runs, **fields):
    return judge.EngineProcess(runs, **fields)


def test_seed_determines_the_workload():
    assert make() == make()
    assert make() != make(seed=2)


def test_prompts_share_levels():
    load = make()
    asks = [each for each in load.asks if isinstance(each, workload.ModelAsk)]
    texts = {
        (each.prompt.organisation, each.prompt.project): load.messages(
            each.prompt
        )[0]["content"]
        for each in asks
    }
    firm = workload.preamble(load.seed, asks[0].prompt.organisation)
    same_firm = [
        text
        for (organisation, _), text in texts.items()
        if organisation == asks[0].prompt.organisation
    ]
    assert len(set(same_firm)) > 1
    assert all(text.startswith(firm) for text in same_firm)


def test_shift_changes_nothing_before_the_event():
    steady, shifted = make(), make(shifts=True)
    before = [
        [each for each in load.asks if each.at_s < TIMES.event_s]
        for load in (steady, shifted)
    ]
    assert before[0] == before[1]
    assert steady != shifted


WASTE = {
    "same engine hits": ([engine(run("a", 1), run("a", 2, 4000))], 0),
    "other engine computes again": (
        [engine(run("a", 1)), engine(run("a", 2))],
        4000,
    ),
    "other engine shares the outer level": (
        [engine(run("a", 1)), engine(run("b", 2))],
        2000,
    ),
    "not yet computed there": (
        [engine(run("a", 1.0)), engine(run("a", 1.05))],
        0,
    ),
    "holder is dead": (
        [engine(run("a", 1), ended_s=1.5), engine(run("a", 2))],
        0,
    ),
    "holder computed with other weights": (
        [
            engine(run("a", 1), run("b", 1.5, weights_version="2")),
            engine(run("a", 2)),
        ],
        0,
    ),
    "cancelled before it was stored": (
        [
            engine(run("a", 1, state="cancelled", finished_s=1.01)),
            engine(run("a", 2)),
        ],
        0,
    ),
}


@pytest.mark.parametrize(("engines", "wasted"), WASTE.values(), ids=WASTE)
def test_waste(engines, wasted):
    use = judged(*engines)
    assert use.wasted_tokens == wasted
    assert use.mismatched_runs == 0


def test_replay_evicts_and_disagreement_is_counted():
    evicting = engine(run("a", 1), run("b", 2, 2000), run("a", 3, 4000))
    assert judged(evicting).mismatched_runs == 0
    assert judged(evicting, capacity_blocks=2).mismatched_runs == 1


def test_two_benches_exclude_each_other(tmp_path):
    path = tmp_path / "lock"
    with (
        locking.only_one(path),
        pytest.raises(locking.BenchRunning),
        locking.only_one(path),
    ):
        pass
    with locking.only_one(path):
        pass


@pytest.mark.parametrize(
    ("options", "runs"),
    [
        (([1, 2, 3], [], [], []), 102),
        (([1], ["celbouw"], [], []), 17),
        (([1], [], ["crash"], []), 8),
        (([1], [], ["herd"], ["random"]), 2),
        (([1], ["swarlipi"], ["lag"], ["toucanrudder"]), 1),
    ],
)
def test_options_choose_runs(options, runs):
    assert len(list(command.planned(*options, short=False))) == runs


@pytest.mark.parametrize(
    "options",
    [
        ([1], ["x"], [], []),
        ([1], [], ["x"], []),
        ([1], [], [], ["x"]),
    ],
)
def test_unknown_names_are_refused(options):
    with pytest.raises(KeyError):
        list(command.planned(*options, short=False))


def outcome(at_s, fate, **fields):
    prompt = workload.Prompt(0, 0, 0, 400)
    ask = workload.ModelAsk(at_s, request.Priority.URGENT, prompt, 8, 0.5)
    return fates.Outcome(ask, fate, **fields)


def measured(**fields):
    defaults = {
        "outcomes": [],
        "cache": judge.CacheUse(100, 50, 10, 1, 0),
        "service_runs": {},
        "metrics_pages": [],
        "store_calls": 0,
        "duration_s": 10.0,
        "standin_lag_s": 0.001,
        "caller_lag_s": 0.001,
    }
    return records.Measured(**(defaults | fields))


def test_record_counts_fates_outside_the_warm_up():
    made = records.record(
        {"policy": "x"},
        TIMES,
        measured(
            outcomes=[
                outcome(0.5, fates.Fate.ANSWERED, first_token_s=9.0),
                outcome(2.0, fates.Fate.ANSWERED, first_token_s=0.2),
                outcome(3.0, fates.Fate.REFUSED, code="limit_exceeded"),
                outcome(5.0, fates.Fate.CUT),
                outcome(0.6, fates.Fate.LOST),
            ],
            service_runs={"k1": 1, "k2": 2},
            metrics_pages=[
                "# TYPE toucanrudder_retries_total counter\n"
                'toucanrudder_retries_total{reason="refused"} 3\n',
                "# TYPE toucanrudder_retries_total counter\n"
                'toucanrudder_retries_total{reason="refused"} 4\n',
            ],
        ),
    )
    assert made["answered"] == 1
    assert made["refused"] == {"limit_exceeded": 1}
    assert made["retried"] == {"refused": 7}
    assert (made["lost"], made["cut"], made["doubled"]) == (1, 1, 1)
    assert made["ttft_p99_ms"]["urgent"] == 200.0
    assert made["hit_rate"] == 0.5


@pytest.mark.parametrize(
    ("fields", "valid"),
    [
        ({}, True),
        ({"standin_lag_s": 0.1}, False),
        ({"caller_lag_s": 0.1}, False),
        ({"cache": judge.CacheUse(100, 50, 10, 10, 2)}, False),
    ],
    ids=["quiet", "slow-standins", "slow-callers", "wrong-replay"],
)
def test_run_that_measured_the_machine_is_invalid(fields, valid):
    assert records.record({}, TIMES, measured(**fields))["valid"] is valid


def test_ratios_are_paired_by_seed():
    rows = [
        {"policy": policy, "seed": seed, "hit_rate": rate}
        for policy, seed, rate in (
            ("toucanrudder", 1, 0.8),
            ("random", 1, 0.4),
            ("toucanrudder", 2, 0.9),
            ("random", 2, 0.3),
            ("random", 3, 0.1),
        )
    ]
    ratios = report.paired_ratios(rows, report.MEASURES[0], "random")
    assert ratios == pytest.approx([2.0, 3.0])


def test_no_port_is_given_twice(monkeypatch):
    """A run draws some forty ports before its processes bind them.  Two
    equal ones end the bench hours later with an address in use.
    """
    few = range(20000, 20000 + 64 * ports.PARTS)
    monkeypatch.setattr(ports, "PORTS", few)
    found = [systems._free_address() for _ in range(20)]
    assert len(set(found)) == 20
