import random
import types
from unittest import mock

import pytest

from toucanrudder import quarantine
from toucanrudder.document import model
from toucanrudder.messages import request as requests
from toucanrudder.placement import types as placement_types
from toucanrudder.router import state
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import in_flight
from toucanrudder.upstreams import loads

ENGINES = ("e0", "e1")


def test_a_new_document_changes_existing_budgets():
    """Operators lower the retry ratio while a pool is failing.  The pool's
    budget was created under the old document; the new ratio must apply to
    it at once, not only after a restart.
    """
    documents = [
        model.Document(policy=model.Policy(retry_ratio=ratio))
        for ratio in (0.5, 0.1)
    ]
    router = types.SimpleNamespace(_budgets={}, document=lambda: documents[0])
    first = state.RouterState.budget(router, "demo")
    assert first.ratio == 0.5
    documents.pop(0)
    assert state.RouterState.budget(router, "demo") is first
    assert first.ratio == 0.1


def _router():
    """Return the state of a router without I/O, and its engines' reports."""
    fields = dict.fromkeys(
        (
            "conf",
            "rng",
            "objects",
            "session",
            "engines",
            "services",
            "prefix_rates",
            "fleet",
            "admission",
            "limiter",
            "claims",
            "exchanges",
            "background",
            "routers",
            "peer_loads",
        )
    )
    upstreams = tuple(
        model.Upstream(
            name, model.ENGINE, name, "zone-a", "llm", models=("demo",)
        )
        for name in ENGINES
    )
    configuration = mock.Mock()
    configuration.current.document = model.Document(upstreams=upstreams)
    router = state.RouterState(
        configuration=configuration,
        loads=loads.LoadTable(),
        in_flight=in_flight.InFlightTable(),
        instances=mock.Mock(is_leaving=lambda *_: False),
        prefix_index=mock.Mock(),
        suspects=quarantine.SuspectTracker(settle_s=0.0),
        **fields,
    )
    for name in ENGINES:
        report = loads.LoadReport(name, f"{name}-first")
        router.loads.record_report(name, report, router.now_s())
    return router


def _request(name):
    return requests.ModelRequest(
        request_id=name,
        organisation="acme",
        priority=requests.Priority.URGENT,
        path="/v1/completions",
        model="demo",
        stream=True,
        prompt_tokens=1,
        prefix_keys=(),
        body={},
        body_sha256=name,
        first_token_by_s=0.0,
    )


def _send(router, request, engine, isolated=False):
    report = router.loads.get(engine).report
    decision = placement_types.Decision(
        engine, report.incarnation, 0, 0.0, "least_wait"
    )
    entry = router.in_flight_entry(request, decision, isolated)
    return entry, router.in_flight.track(engine, entry)


def _crash(router, request, engine):
    _, tracked = _send(router, request, engine)
    with tracked:
        router.record_crash(engine, f"{engine}-first")


def test_request_is_not_held_against_a_crash_known_when_it_was_sent():
    """The next poll shows the restart while the request is in flight."""
    router = _router()
    _crash(router, _request("first"), "e0")
    second = _request("second")
    _, tracked = _send(router, second, "e0")
    with tracked:
        router.record_crash("e0", "e0-first")
    assert router.standing(second) is quarantine.Standing.FREE


def test_request_is_held_against_a_crash_of_a_process_that_answered_it():
    """The process was presumed dead before, but had only lost connections."""
    router = _router()
    _crash(router, _request("first"), "e0")
    second = _request("second")
    entry, tracked = _send(router, second, "e0")
    with tracked:
        entry.record_first_event("e0-first")
        router.record_crash("e0", "e0-first")
    assert router.standing(second) is quarantine.Standing.SUSPECT


def test_trial_at_a_dead_process_proves_nothing():
    """A trial fails at once at the process whose crash led to it."""
    router = _router()
    request = _request("first")
    _crash(router, request, "e0")
    _, tracked = _send(router, request, "e0", isolated=True)
    with tracked:
        router.record_crash("e0", "e0-first")
    _crash(router, request, "e1")
    assert router.standing(request) is quarantine.Standing.SUSPECT


@pytest.mark.parametrize(("crashed", "expected"), [("e0", "e1"), ("e1", "e0")])
def test_trial_avoids_a_process_that_has_crashed(crashed, expected):
    """Both engines have crashed a short time before; one has restarted."""
    router = _router()
    _crash(router, _request("earlier"), expected)
    report = loads.LoadReport(expected, f"{expected}-second")
    router.loads.record_report(expected, report, router.now_s())
    suspect = _request("suspect")
    _crash(router, suspect, crashed)
    trial = router.plan_trial(suspect, router.now_s())
    assert trial.upstream == expected


def _usable(router):
    engines = router.usable_engines("demo", router.now_s())
    return {engine.name for engine in engines}


def _refuse(router, name, rest_s):
    router.record_failure(
        failures.UpstreamFailure(
            failures.Kind.REFUSED, name, "refused", rest_s=rest_s
        )
    )


def test_an_engine_gets_nothing_in_the_rest_that_it_asks_for():
    """Neither if no other is left; a restarted one has asked for nothing."""
    router = _router()
    router.rng = random.Random(1)
    _refuse(router, "e0", 30.0)
    assert _usable(router) == {"e1"}
    _refuse(router, "e1", 20.0)
    assert _usable(router) == set()
    engines = router.engines_of("demo")
    assert 19.0 < router.retry_after_s(engines, 0.25) < 30.0
    report = loads.LoadReport("e0", "e0-second")
    router.loads.record_report("e0", report, router.now_s())
    assert _usable(router) == {"e0"}


READINESS = {
    "all have answered": ({"e0", "e1"}, set(), 0.2, True),
    "one has not": ({"e0"}, set(), 0.2, False),
    "one is out of reach": ({"e0"}, {"e1"}, 0.2, True),
    "one is silent for long": ({"e0"}, set(), 9.0, True),
    "none has been asked": (set(), set(), 0.2, False),
}


@pytest.mark.parametrize(
    ("answered", "unreachable", "after_s", "is_ready"),
    READINESS.values(),
    ids=READINESS.keys(),
)
def test_router_is_ready_once_it_has_asked_all_engines(
    answered, unreachable, after_s, is_ready
):
    """Guards against crashes at engines whose process is not known yet."""
    table = loads.LoadTable()
    for name in answered:
        table._reports[name] = object()
    for name in unreachable:
        table.mark_unreachable(name)
    upstreams = tuple(
        model.Upstream(name, model.ENGINE, name, "zone-a", "llm")
        for name in ENGINES
    )
    router = types.SimpleNamespace(
        stopping=False,
        configuration=types.SimpleNamespace(current=object()),
        conf=types.SimpleNamespace(
            upstreams=types.SimpleNamespace(load_interval_s=1.0)
        ),
        started_s=100.0,
        loads=table,
        document=lambda: model.Document(upstreams=upstreams),
    )
    ready = state.RouterState.is_ready(router, 100.0 + after_s)
    assert ready is is_ready
    router.stopping = True
    assert not state.RouterState.is_ready(router, 100.0 + after_s)
