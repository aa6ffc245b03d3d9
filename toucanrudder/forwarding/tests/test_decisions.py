"""Retry, placement, rollout and registry decisions, without a network."""

import random

import pytest

from toucanrudder import errors
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import plain_choice
from toucanrudder.forwarding import registry
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import upstream_states
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.store import continuity

FailureKind, Progress, Step = (
    retry_policy.FailureKind,
    retry_policy.Progress,
    retry_policy.Step,
)


def route(repetition=model.Repetition.ONCE, **fields):
    return model.Route(
        "r", "h", "/", (model.Split("s"),), repetition, **fields
    )


ONCE = route()
TWICE = route(model.Repetition.IDEMPOTENT, max_upstreams=2)
RESUMABLE = route(model.Repetition.RESUMABLE, max_upstreams=3, is_stream=True)

STEPS = {
    "once, nothing sent": (
        ONCE,
        FailureKind.NOT_REACHED,
        Progress(0, 1),
        "retry",
    ),
    "once, refused": (ONCE, FailureKind.FULL, Progress(0, 1), "retry"),
    "once, other process": (
        ONCE,
        FailureKind.NOT_THERE,
        Progress(0, 1),
        "retry",
    ),
    "once, other weights": (
        ONCE,
        FailureKind.OTHER_WEIGHTS,
        Progress(0, 1),
        "retry",
    ),
    "once, broken": (ONCE, FailureKind.BROKEN, Progress(1, 1), "give_up"),
    "once, silent": (ONCE, FailureKind.SILENT, Progress(1, 1), "give_up"),
    "once, failed": (ONCE, FailureKind.FAILED, Progress(1, 1), "give_up"),
    "once, refused after a lost try": (
        ONCE,
        FailureKind.FULL,
        Progress(1, 2),
        "give_up",
    ),
    "once, broken with a copy": (
        ONCE,
        FailureKind.BROKEN,
        Progress(1, 1, events=4, streamed_s=0.5, is_copy_requested=True),
        "continue",
    ),
    "copy, but no event": (
        ONCE,
        FailureKind.BROKEN,
        Progress(1, 1, streamed_s=0.5, is_copy_requested=True),
        "give_up",
    ),
    "copy that can hardly have been sent": (
        ONCE,
        FailureKind.SILENT,
        Progress(1, 1, events=1, streamed_s=0.1, is_copy_requested=True),
        "give_up",
    ),
    "once, crossed with a copy": (
        ONCE,
        FailureKind.CROSSED,
        Progress(1, 1, events=4, streamed_s=0.5, is_copy_requested=True),
        "give_up",
    ),
    "copy, but no point to go on from": (
        ONCE,
        FailureKind.BROKEN,
        Progress(
            1,
            1,
            events=4,
            can_resume=False,
            streamed_s=0.5,
            is_copy_requested=True,
        ),
        "give_up",
    ),
    "twice, broken": (TWICE, FailureKind.BROKEN, Progress(1, 1), "retry"),
    "twice, broken again": (
        TWICE,
        FailureKind.BROKEN,
        Progress(2, 2),
        "give_up",
    ),
    "resumable, midway": (
        RESUMABLE,
        FailureKind.BROKEN,
        Progress(1, 1, events=4),
        "retry",
    ),
    "resumable, event without identity": (
        RESUMABLE,
        FailureKind.BROKEN,
        Progress(1, 1, events=4, can_resume=False),
        "give_up",
    ),
    "refused too often": (
        TWICE,
        FailureKind.FULL,
        Progress(0, retry_policy.MAX_ATTEMPTS),
        "give_up",
    ),
}


@pytest.mark.parametrize(
    ("on_route", "failure", "progress", "step"),
    STEPS.values(),
    ids=STEPS.keys(),
)
def test_next_step_after_a_failed_attempt(on_route, failure, progress, step):
    next_step = retry_policy.next_step(
        failure, progress, on_route, remaining_s=1.0
    )
    assert next_step is Step(step)


def test_no_attempt_starts_without_time_for_it():
    next_step = retry_policy.next_step(
        FailureKind.FULL,
        Progress(0, 1),
        TWICE,
        remaining_s=retry_policy.MIN_ATTEMPT_TIME_S / 2,
    )
    assert next_step is Step.GIVE_UP


FAILURES = [(failure, 1) for failure in FailureKind] + [
    (failure, 0)
    for failure in FailureKind
    if failure in retry_policy.PROVES_NOT_RUN
]


@pytest.mark.parametrize(("failure", "possible_runs"), FAILURES)
def test_not_run_is_reported_only_with_proof(failure, possible_runs):
    # Callers retry after a status that means "not run".  If the request
    # may have run, the retry would execute it twice.
    error = retry_policy.final_error(
        failure, Progress(possible_runs, 1), "i1", 0.2
    )
    is_not_run = error.status in (408, 421, 429, 503)
    assert is_not_run is not bool(possible_runs)
    assert is_not_run is (error.retry_after_s is not None)
    assert is_not_run is (error.ran is errors.Ran.NOT_RUN)


def upstream(name, version=1, zone="za", **fields):
    return model.Upstream(
        name,
        "s",
        f"10.0.0.{name[1:]}:80",
        zone,
        slots=8,
        weights={"m": version},
        **fields,
    )


def candidate(name, version=1, zone="za", leaving=False, **fields):
    state = upstream_states.UpstreamState()
    for key in set(fields) & set(dir(state)):
        setattr(state, key, fields.pop(key))
    return placing.Candidate(
        upstream(name, version, zone, is_leaving=leaving), state, **fields
    )


SHARED = (model.Part("a", 500), model.Part("b", 4500))
PROMPT = model.Prompt("m", (*SHARED, model.Part("own", 6000)), 11_000)


def choose(candidates, index=None, prompt=PROMPT, store=None, **options):
    return placing.choose_for_prompt(
        prompt,
        "",
        candidates,
        index or cache.CacheIndex(),
        store=store,
        now_s=10.0,
        **options,
    )


def test_a_prompt_goes_to_the_engine_that_caches_it():
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    choice = choose([candidate("i1"), candidate("i2")], index)
    assert choice.upstream.incarnation == "i2"
    assert choice.missing_tokens == 6000
    assert not choice.copy_from


def test_parts_are_copied_from_a_busy_engine():
    # The engine that caches the parts has a long queue.  Waiting there
    # would cost more than a prefill; another engine copies the parts.
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    busy = candidate("i2", prefill_tokens=60_000)
    choice = choose([candidate("i1"), busy], index)
    assert choice.upstream.incarnation == "i1"
    assert choice.copy_from == busy.upstream.address


def test_nothing_is_copied_between_different_weights():
    # KV cache computed with other weights gives wrong answers.
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    busy = candidate("i2", version=1, prefill_tokens=200_000)
    choice = choose([candidate("i1", version=2), busy], index)
    assert choice.upstream.incarnation == "i1"
    assert not choice.copy_from


def test_first_requests_for_a_part_share_one_engine():
    names = [f"i{number}" for number in range(1, 9)]
    homes = {
        choose([candidate(each) for each in order]).upstream.incarnation
        for order in (names, names[::-1], names[3:] + names[:3])
    }
    assert len(homes) == 1


def test_load_of_other_routers_counts():
    one, two = candidate("i1"), candidate("i2")
    home = choose([one, two]).upstream.incarnation
    loaded = candidate(home, peer_prefill_tokens=60_000)
    other = two if home == "i1" else one
    assert choose([loaded, other]).upstream != loaded.upstream


STORE = model.CacheStore("10.9.0.1:80")


def saved(*parts):
    index = cache.CacheIndex()
    index.add_parts(STORE.address, "1", parts)
    return index


def test_shared_parts_are_fetched_from_their_store():
    # New weights have cleared the caches of all engines, but one engine has
    # saved the parts.  Otherwise each engine would prefill 5,000 tokens.
    choice = choose([candidate("i1")], saved(*SHARED), store=STORE)
    assert choice.copy_from == STORE.address
    assert choice.missing_tokens == 6000
    assert not choice.save_to


def test_unknown_parts_are_fetched_and_saved():
    choice = choose([candidate("i1")], store=STORE)
    assert choice.copy_from == choice.save_to == STORE.address
    assert choice.missing_tokens == 11_000


def test_parts_cached_on_the_engine_are_not_saved_again():
    # The engine may have evicted the parts without a timely report; then it
    # computes them again unless it gets the address of the store.
    index = cache.CacheIndex()
    index.add_parts("i1", "1", SHARED)
    choice = choose([candidate("i1")], index, store=STORE)
    assert choice.copy_from == STORE.address
    assert not choice.save_to


def test_superseded_weights_use_no_store():
    # An engine that loads new weights during a prefill saves parts that
    # match neither version.  Engines with the old weights would use them.
    old = candidate("i1", weights_age_s=0.5)
    choice = choose([old], saved(*SHARED), store=STORE)
    assert not choice.copy_from
    assert not choice.save_to


def test_a_queued_prompt_is_not_saved():
    # Its prefill would start seconds later, possibly during a change of
    # weights, and the parts would be saved under the old version.
    queued = candidate("i1")
    queued.state.load = model.Load(running=8, waiting=2, slots=8)
    queued.state.load_at_s = 9.9
    choice = choose([queued], store=STORE)
    assert choice.copy_from == STORE.address
    assert not choice.save_to


@pytest.mark.parametrize("engines_report_cache", [False, True])
def test_parts_are_copied_only_from_engines_that_report_evictions(
    engines_report_cache,
):
    # Otherwise it has often evicted the parts, and the store has them.
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    busy = candidate("i2", prefill_tokens=60_000)
    choice = choose(
        [candidate("i1"), busy],
        index,
        store=STORE,
        engines_report_cache=engines_report_cache,
    )
    assert choice.upstream.incarnation == "i1"
    engine_address = busy.upstream.address
    assert choice.copy_from == (
        engine_address if engines_report_cache else STORE.address
    )


def test_with_a_store_the_idle_engine_is_chosen():
    # If the parts can be fetched, an idle engine is as good as the one that
    # caches them.
    index = saved(*SHARED)
    index.add_parts("i1", "1", SHARED)
    busy = candidate("i1", prefill_tokens=9_000)
    choice = choose([busy, candidate("i2")], index, store=STORE)
    assert choice.upstream.incarnation == "i2"
    assert choice.copy_from


USABLE = {
    "leaving": ({"leaving": True}, False),
    "failed just now": ({"backoff_until_s": 11.0}, False),
    "loads weights": ({"avoided_until_s": 11.0}, False),
    "full just now": ({"full_until_s": 11.0}, False),
    "weights far too old": ({"weights_age_s": 7.0}, False),
    "weights superseded just now": ({"weights_age_s": 1.0}, True),
}


@pytest.mark.parametrize(
    ("fields", "is_usable"), USABLE.values(), ids=USABLE.keys()
)
def test_usable_upstreams(fields, is_usable):
    other = candidate("i2")
    usable = placing.usable_candidates(
        [candidate("i1", **fields), other], now_s=10.0
    )
    names = [each.upstream.incarnation for each in usable]
    assert names == (["i1", "i2"] if is_usable else ["i2"])


LAST_RESORT = {
    "failed just now": ({"backoff_until_s": 11.0}, True),
    "loads weights": ({"avoided_until_s": 11.0}, True),
    "weights too old": ({"weights_age_s": 6.9}, True),
    "weights past the time": ({"weights_age_s": 7.1}, False),
    "weights almost past, and a queue": (
        {
            "weights_age_s": 6.1,
            "load": model.Load(8, 2, 8),
            "load_at_s": 9.9,
        },
        False,
    ),
    "leaving": ({"leaving": True}, False),
    "full just now": ({"full_until_s": 11.0}, False),
}


@pytest.mark.parametrize(
    ("fields", "is_usable"), LAST_RESORT.values(), ids=LAST_RESORT.keys()
)
def test_fallback_upstreams(fields, is_usable):
    usable = placing.usable_candidates([candidate("i1", **fields)], now_s=10.0)
    assert bool(usable) is is_usable


def test_a_plain_request_goes_to_the_least_loaded_upstream():
    rng = random.Random(1)
    chosen = plain_choice.choose_for_plain(
        "za",
        [candidate("i1", requests=4), candidate("i2", zone="zb")],
        now_s=10.0,
        rng=rng,
    )
    assert chosen.upstream.incarnation == "i2"


def test_a_plain_request_stays_in_its_zone_at_similar_load():
    rng = random.Random(1)
    chosen = {
        plain_choice.choose_for_plain(
            "zb",
            [candidate("i1", requests=1), candidate("i2", 1, "zb")],
            now_s=10.0,
            rng=rng,
        ).upstream.incarnation
        for _ in range(20)
    }
    assert chosen == {"i2"}


ENGINE = model.Engine(8, 140_000, takes_copies=True)


def backup_of(chosen, *others):
    backup_upstream = placing.choose_backup(
        placing.Choice(chosen.upstream),
        PROMPT,
        ENGINE,
        [chosen, *others],
        10.0,
    )
    return backup_upstream.incarnation if backup_upstream else None


def test_a_backup_is_in_another_zone_with_free_memory():
    first = candidate("i1")
    assert backup_of(first, candidate("i2"), candidate("i3", 1, "zb")) == "i3"
    assert backup_of(first, candidate("i2", version=2)) is None
    assert backup_of(first, candidate("i2", requests=5)) is None
    assert backup_of(first) is None


def engines_to_order(versions, busy=None, pending=None, ages=None, newest=3):
    engines = [
        upstream(f"i{number}", version)
        for number, version in enumerate(versions, 1)
    ]
    ages = ages or {}
    tasks = rollout.plan_orders(
        engines,
        {"m": newest},
        pending or {},
        busy or {},
        lambda task: ages.get(task.upstream.incarnation, 0.0),
        now_s=10.0,
    )
    return [task.upstream.incarnation for task in tasks]


def test_few_engines_load_at_once():
    assert engines_to_order([1] * 5) == ["i1"]
    assert len(engines_to_order([1] * 10)) == 2
    assert engines_to_order([1]) == ["i1"]
    assert engines_to_order([3, 3]) == []


def test_the_least_busy_engine_loads_first():
    assert engines_to_order([1] * 3, busy={"i1": 5, "i2": 1, "i3": 2}) == [
        "i2"
    ]


def test_a_busy_engine_is_not_starved_of_new_weights():
    # New versions are published faster than all engines can load them.  If
    # orders went by load alone, the busiest engine would keep its old
    # version until its answers are worthless.
    ordered = engines_to_order(
        [1, 2, 2],
        busy={"i1": 9},
        ages={"i1": 6.0, "i2": 0.5, "i3": 0.5},
    )
    assert ordered == ["i1"]


def test_more_engines_load_at_once_as_weights_age():
    ages = {f"i{number}": 4.0 for number in range(1, 10)}
    assert len(engines_to_order([1] * 9, ages=ages)) == 3


def test_an_ineffective_order_is_repeated_after_a_timeout():
    pending = {"i1": rollout.PendingOrder(3, 9.0)}
    assert engines_to_order([1, 3], pending=pending) == []
    pending = {"i1": rollout.PendingOrder(3, 10.0 - rollout.ORDER_TIMEOUT_S)}
    assert engines_to_order([1, 3], pending=pending) == ["i1"]


def report(**fields):
    return rollout.EngineReport({}, **fields)


MODES = {
    "idle": (report(), "wait"),
    "few runs": (report(running=2), "wait"),
    "many runs": (report(running=9), "keep"),
    "many runs, a prompt half read": (report(running=9, reading=1), "wait"),
}


@pytest.mark.parametrize(
    ("engine_report", "mode"), MODES.values(), ids=MODES.keys()
)
def test_no_prefill_spans_a_change_of_weights(engine_report, mode):
    # An engine that loads new weights during a prefill saves parts computed
    # with the new weights under the old version.  An engine that still has
    # the old weights would fetch them and give wrong answers.
    assert rollout.load_mode(engine_report) is rollout.Mode(mode)


WAITS = {
    "few runs": (report(running=2), 0.0, False),
    "many runs": (report(running=9), 0.0, True),
    "many runs, long enough": (report(running=9), rollout.MAX_DRAIN_S, False),
    "many runs on a loaded engine": (
        report(running=9, memory_share=0.8),
        0.0,
        False,
    ),
    "prompts half read": (
        report(running=9, reading=1, memory_share=0.8),
        rollout.MAX_DRAIN_S,
        True,
    ),
    "prompts half read for too long": (
        report(running=9, reading=1),
        rollout.MAX_PREFILL_WAIT_S,
        False,
    ),
}


@pytest.mark.parametrize(
    ("engine_report", "waited_s", "waits"), WAITS.values(), ids=WAITS.keys()
)
def test_an_engine_drains_before_its_order(engine_report, waited_s, waits):
    assert (
        rollout.waits_for_requests(engine_report, waited_s, age_s=1.0) is waits
    )


URGENT = {
    "many runs": (report(running=9), 0.0, False),
    "prompts half read": (report(running=9, reading=1), 0.0, True),
    "prompts half read for too long": (
        report(running=9, reading=1),
        rollout.URGENT_PREFILL_WAIT_S,
        False,
    ),
}


@pytest.mark.parametrize(
    ("engine_report", "waited_s", "waits"), URGENT.values(), ids=URGENT.keys()
)
def test_urgent_orders_do_not_wait_for_running_requests(
    engine_report, waited_s, waits
):
    # After the lease holder freezes, its successor may send orders five
    # seconds later.  If each engine then had another second to drain, the
    # last one would start requests on weights superseded more than eight
    # seconds ago, whose answers are worthless.
    is_waiting = rollout.waits_for_requests(engine_report, waited_s, age_s=5.0)
    assert is_waiting is waits


def registry_of(*names):
    table = registry.Registry()
    table.replace([upstream(name) for name in names], 0.0)
    return table


def test_an_entry_removed_without_an_outage_is_dropped():
    table = registry_of("i1", "i2")
    table.remove("i1", 5.0)
    assert table.incarnations == {"i2"}


def test_entries_expired_in_an_outage_stay_for_a_grace_period():
    # During an outage of the registry, entries expire although their
    # upstreams are live.  They register again within about two seconds;
    # dropping them at once would refuse all requests until then.
    table = registry_of("i1", "i2")
    table.mark_recovered(5.0)
    table.replace([upstream("i2")], 5.0)
    assert table.incarnations == {"i1", "i2"}
    table.expire_missing(5.0 + registry.RELIST_GRACE_S - 0.1)
    assert table.incarnations == {"i1", "i2"}
    table.expire_missing(5.0 + registry.RELIST_GRACE_S)
    assert table.incarnations == {"i2"}


@pytest.mark.parametrize(
    ("served", "until_s"),
    [
        # No other router was served, or only until long before.
        (None, 10.0 + registry.RELIST_GRACE_S),
        (continuity.Span(0.0, 7.0), 10.0 + registry.RELIST_GRACE_S),
        # Other routers were served throughout, or earlier than this one.
        (continuity.Span(0.0, 9.9), 10.0),
        (continuity.Span(9.0, 10.1), 9.0 + registry.RELIST_GRACE_S),
        # Other routers were served again only later.
        (continuity.Span(11.0, 12.0), 10.0 + registry.RELIST_GRACE_S),
    ],
)
def test_an_outage_of_the_router_is_not_taken_for_one_of_the_registry(
    served, until_s
):
    """Otherwise a router that was cut off keeps using departed upstreams."""
    table = registry_of("i1")
    table.mark_recovered(10.0)
    table.remove("i1", 10.0)
    if served is not None:
        table.add_served_span(served)
    table.expire_missing(until_s - 0.01)
    assert table.incarnations == ({"i1"} if until_s > 10.0 else set())
    table.expire_missing(until_s)
    assert not table.incarnations


def test_absent_upstreams_are_reported_once():
    table = registry_of("i1", "i2", "i3")
    table.mark_leaving("i2")
    table.mark_recovered(5.0)
    absent = table.replace([upstream("i3")], 5.0)
    assert [(each.name, absence) for each, absence in absent] == [
        ("i1", registry.Absence.MISSING),
        ("i2", registry.Absence.GONE),
    ]
    assert table.counts() == {"known": 2, "missing": 1}
    assert table.replace([upstream("i3")], 5.1) == []
    assert [each.name for each in table.expire_missing(60.0)] == ["i1"]


def test_an_entry_that_reappears_stays():
    table = registry_of("i1")
    table.mark_recovered(5.0)
    table.remove("i1", 5.1)
    table.put(upstream("i1"))
    table.expire_missing(60.0)
    assert table.incarnations == {"i1"}


def test_a_leaving_upstream_is_not_kept_through_an_outage():
    table = registry_of("i1")
    table.mark_leaving("i1")
    table.mark_recovered(5.0)
    table.remove("i1", 5.1)
    assert not table.incarnations


def test_an_old_entry_reverts_nothing():
    # The entry was written before the upstream reported newer weights and
    # announced to stop.
    table = registry_of("i1")
    table.update_weights("i1", "m", 4)
    table.mark_leaving("i1")
    table.put(upstream("i1", version=2))
    known = table.get("i1")
    assert (known.weights["m"], known.is_leaving) == (4, True)


def test_cache_events_of_a_restarted_engine_reset_its_index():
    index = cache.CacheIndex()
    event = cache.Event("1", "a", 500, True)
    index.apply_events("i1", 7, [event])
    assert index.cached_tokens("i1", "1", SHARED) == 500
    index.apply_events("i1", 8, [])
    assert index.cached_tokens("i1", "1", SHARED) == 0


def test_a_cached_part_needs_all_preceding_parts():
    index = cache.CacheIndex()
    index.add_parts("i1", "1", SHARED)
    index.apply_events("i1", None, [cache.Event("1", "a", 0, False)])
    assert index.cached_tokens("i1", "1", SHARED) == 0


def configured(*organisations):
    return routing.RoutingTable(
        model.Configuration(1, (ONCE,), {}, organisations)
    )


def test_organisation_priority_outranks_route_priority():
    # All requests of an organisation have its priority.  If they were not
    # ordered by route as well, short lookups would wait behind the prefill
    # of long documents and miss their deadlines.
    routes = tuple(
        model.Route(name, "h", f"/{name}/", (model.Split("s"),), priority=rank)
        for name, rank in {"quick": 0, "long": 1}.items()
    )
    organisations = tuple(
        model.Organisation(name, frozenset({name}), priority)
        for name, priority in {"first": 0, "next": 1, "none": None}.items()
    )
    table = routing.RoutingTable(
        model.Configuration(1, routes, {}, organisations)
    )

    def rank(name, path):
        return table.match(model.Call("id", "h", f"/{path}/", name)).rank

    ranks = [
        rank("first", "quick"),
        rank("first", "long"),
        rank("next", "quick"),
        rank("next", "long"),
    ]
    assert ranks == sorted(set(ranks))
    assert rank("none", "quick") == rank("first", "quick")
    assert rank("none", "long") == rank("next", "long")


def test_a_split_follows_its_weights():
    split = (model.Split("a", 3), model.Split("b", 1), model.Split("c", 0))
    split_route = model.Route("r", "h", "/", split)
    rng = random.Random(5)
    services = [routing.pick_service(split_route, rng) for _ in range(400)]
    assert 260 < services.count("a") < 340
    assert "c" not in services


BOUNDS = {8.0: 3, 6.0: 2, 3.0: 1}


@pytest.mark.parametrize(("bound_s", "urgent_s"), BOUNDS.items())
def test_a_shorter_bound_makes_orders_urgent_sooner(bound_s, urgent_s):
    pace = rollout.Pace(bound_s)
    assert rollout.max_concurrent_loads(9, urgent_s, pace) == 3
    assert rollout.max_concurrent_loads(9, urgent_s - 1, pace) == 2
    old = placing.LAST_RESORT_AGE_SHARE * bound_s
    usable = placing.usable_candidates(
        [candidate("i1", weights_age_s=old + 0.01), candidate("i2")],
        now_s=10.0,
        bound_s=bound_s,
    )
    assert [each.upstream.incarnation for each in usable] == ["i2"]


@pytest.mark.parametrize("bound_s", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("waiting", [0, 3])
def test_engines_with_newest_weights_are_usable_under_any_bound(
    bound_s, waiting
):
    # With a bound of one or two seconds, the margin for queued requests is
    # as long as the bound itself.  If it also applied to the newest weights,
    # no engine would be usable and every request would be refused.
    load = model.Load(8, waiting, 8)
    newest = candidate("i1", load=load, load_at_s=10.0)
    assert placing.usable_candidates([newest], now_s=10.0, bound_s=bound_s)


def test_a_quiet_registry_is_not_overdue():
    # In a small fleet a watch waits for seconds while nothing changes.  If
    # the time since its last answer counted as the list's age, a lease
    # holder would release the lease repeatedly in a healthy system.
    table = registry.Registry()
    assert table.overdue_s(0.0) > 0.0
    table.mark_synced(10.0, due_s=15.5)
    assert table.overdue_s(15.0) == 0.0
    assert table.overdue_s(18.0) == 2.5
