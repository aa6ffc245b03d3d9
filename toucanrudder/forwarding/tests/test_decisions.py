"""Decisions of the forwarding path, without a network."""

import random

import pytest

from toucanrudder import errors
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import registry
from toucanrudder.forwarding import retry_policy
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import upstream_states
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
    ("of", "ended", "progress", "step"), STEPS.values(), ids=STEPS.keys()
)
def test_what_follows_a_failed_try(of, ended, progress, step):
    found = retry_policy.next_step(ended, progress, of, remaining_s=1.0)
    assert found is Step(step)


def test_no_try_begins_without_time_for_it():
    found = retry_policy.next_step(
        FailureKind.FULL,
        Progress(0, 1),
        TWICE,
        remaining_s=retry_policy.MIN_ATTEMPT_TIME_S / 2,
    )
    assert found is Step.GIVE_UP


SAID = [(ended, 1) for ended in FailureKind] + [
    (ended, 0) for ended in FailureKind if ended in retry_policy.PROVES_NOT_RUN
]


@pytest.mark.parametrize(("ended", "possible_runs"), SAID)
def test_not_run_is_said_only_with_proof(ended, possible_runs):
    # A caller comes back after a status that says "not run".  Said of a
    # request that may have run, it makes him book twice.
    error = retry_policy.final_error(
        ended, Progress(possible_runs, 1), "i1", 0.2
    )
    promises = error.status in (408, 421, 429, 503)
    assert promises is not bool(possible_runs)
    assert promises is (error.retry_after_s is not None)
    assert promises is (error.ran is errors.Ran.NOT_RUN)


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


def placed(candidates, index=None, prompt=PROMPT, store=None, **known):
    return placing.choose_for_prompt(
        prompt,
        "",
        candidates,
        index or cache.CacheIndex(),
        store=store,
        now_s=10.0,
        **known,
    )


def test_a_prompt_goes_where_its_parts_are():
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    choice = placed([candidate("i1"), candidate("i2")], index)
    assert choice.upstream.incarnation == "i2"
    assert choice.missing_tokens == 6000
    assert not choice.copy_from


def test_a_busy_holder_is_copied_from():
    # The engine that holds the parts has a long queue.  Waiting there
    # would cost more than reading; another engine copies and starts.
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    busy = candidate("i2", prefill_tokens=60_000)
    choice = placed([candidate("i1"), busy], index)
    assert choice.upstream.incarnation == "i1"
    assert choice.copy_from == busy.upstream.address


def test_nothing_is_copied_between_different_weights():
    # Cache made on other weights gives wrong answers.
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    busy = candidate("i2", version=1, prefill_tokens=200_000)
    choice = placed([candidate("i1", version=2), busy], index)
    assert choice.upstream.incarnation == "i1"
    assert not choice.copy_from


def test_first_readers_of_a_part_meet():
    names = [f"i{number}" for number in range(1, 9)]
    homes = {
        placed([candidate(each) for each in order]).upstream.incarnation
        for order in (names, names[::-1], names[3:] + names[:3])
    }
    assert len(homes) == 1


def test_work_of_other_routers_counts():
    one, two = candidate("i1"), candidate("i2")
    home = placed([one, two]).upstream.incarnation
    loaded = candidate(home, peer_prefill_tokens=60_000)
    other = two if home == "i1" else one
    assert placed([loaded, other]).upstream != loaded.upstream


STORE = model.CacheStore("10.9.0.1:80")


def kept(*parts):
    index = cache.CacheIndex()
    index.add_parts(STORE.address, "1", parts)
    return index


def test_shared_parts_are_fetched_from_their_store():
    # New weights have emptied all engines but one reader has had the
    # parts kept.  Each other engine would read 5,000 tokens again.
    choice = placed([candidate("i1")], kept(*SHARED), store=STORE)
    assert choice.copy_from == STORE.address
    assert choice.missing_tokens == 6000
    assert not choice.save_to


def test_parts_that_nobody_tells_of_are_asked_for_and_kept():
    choice = placed([candidate("i1")], store=STORE)
    assert choice.copy_from == choice.save_to == STORE.address
    assert choice.missing_tokens == 11_000


def test_what_the_engine_is_believed_to_hold_is_not_kept_again():
    # It may have dropped the parts since, which nobody tells in time; then
    # it reads them again unless it is told where else they are.
    index = cache.CacheIndex()
    index.add_parts("i1", "1", SHARED)
    choice = placed([candidate("i1")], index, store=STORE)
    assert choice.copy_from == STORE.address
    assert not choice.save_to


def test_superseded_weights_use_no_store():
    # An engine loads new weights while it reads a prompt that began on
    # the old ones, and keeps parts that belong to neither.  Others on the
    # old weights would answer from them.
    old = candidate("i1", weights_age_s=0.5)
    choice = placed([old], kept(*SHARED), store=STORE)
    assert not choice.copy_from
    assert not choice.save_to


def test_a_prompt_that_queues_is_not_kept():
    # It would begin to be read seconds later, when new weights may be on
    # their way, and its parts would bear the old ones' name.
    queued = candidate("i1")
    queued.state.load = model.Load(running=8, waiting=2, slots=8)
    queued.state.load_at_s = 9.9
    choice = placed([queued], store=STORE)
    assert choice.copy_from == STORE.address
    assert not choice.save_to


@pytest.mark.parametrize("engines_report_cache", [False, True])
def test_an_engine_is_copied_from_only_if_it_tells_what_it_drops(
    engines_report_cache,
):
    # Otherwise it has often dropped the parts, and the store has them.
    index = cache.CacheIndex()
    index.add_parts("i2", "1", SHARED)
    busy = candidate("i2", prefill_tokens=60_000)
    choice = placed(
        [candidate("i1"), busy],
        index,
        store=STORE,
        engines_report_cache=engines_report_cache,
    )
    assert choice.upstream.incarnation == "i1"
    told = busy.upstream.address
    assert choice.copy_from == (
        told if engines_report_cache else STORE.address
    )


def test_a_store_makes_engines_alike():
    # Where the parts can be fetched, the idle engine is as good as the
    # one that holds them.
    index = kept(*SHARED)
    index.add_parts("i1", "1", SHARED)
    busy = candidate("i1", prefill_tokens=9_000)
    choice = placed([busy, candidate("i2")], index, store=STORE)
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
    ("fields", "taken"), USABLE.values(), ids=USABLE.keys()
)
def test_which_upstreams_get_work(fields, taken):
    other = candidate("i2")
    found = placing.usable_candidates(
        [candidate("i1", **fields), other], now_s=10.0
    )
    names = [each.upstream.incarnation for each in found]
    assert names == (["i1", "i2"] if taken else ["i2"])


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
    ("fields", "taken"), LAST_RESORT.values(), ids=LAST_RESORT.keys()
)
def test_what_is_used_when_there_is_nothing_else(fields, taken):
    found = placing.usable_candidates([candidate("i1", **fields)], now_s=10.0)
    assert bool(found) is taken


def test_a_plain_request_goes_to_the_least_busy():
    rng = random.Random(1)
    chosen = placing.choose_for_plain(
        "za",
        [candidate("i1", requests=4), candidate("i2", zone="zb")],
        now_s=10.0,
        rng=rng,
    )
    assert chosen.upstream.incarnation == "i2"


def test_a_plain_request_stays_in_its_zone_if_that_costs_little():
    rng = random.Random(1)
    chosen = {
        placing.choose_for_plain(
            "zb",
            [candidate("i1", requests=1), candidate("i2", 1, "zb")],
            now_s=10.0,
            rng=rng,
        ).upstream.incarnation
        for _ in range(20)
    }
    assert chosen == {"i2"}


ENGINE = model.Engine(8, 140_000, takes_copies=True)


def backup(chosen, *others):
    found = placing.choose_backup(
        placing.Choice(chosen.upstream),
        PROMPT,
        ENGINE,
        [chosen, *others],
        10.0,
    )
    return found.incarnation if found else None


def test_a_copy_lies_in_another_zone_where_memory_is_free():
    first = candidate("i1")
    assert backup(first, candidate("i2"), candidate("i3", 1, "zb")) == "i3"
    assert backup(first, candidate("i2", version=2)) is None
    assert backup(first, candidate("i2", requests=5)) is None
    assert backup(first) is None


def planned(versions, busy=None, given=None, ages=None, newest=3):
    engines = [
        upstream(f"i{number}", version)
        for number, version in enumerate(versions, 1)
    ]
    ages = ages or {}
    tasks = rollout.plan_orders(
        engines,
        {"m": newest},
        given or {},
        busy or {},
        lambda task: ages.get(task.upstream.incarnation, 0.0),
        now_s=10.0,
    )
    return [task.upstream.incarnation for task in tasks]


def test_few_engines_load_at_once():
    assert planned([1] * 5) == ["i1"]
    assert len(planned([1] * 10)) == 2
    assert planned([1]) == ["i1"]
    assert planned([3, 3]) == []


def test_the_least_busy_engine_loads_first():
    assert planned([1] * 3, busy={"i1": 5, "i2": 1, "i3": 2}) == ["i2"]


def test_a_busy_engine_is_not_passed_over_for_ever():
    # New versions come faster than all engines can load.  Ordered by load
    # alone, the busiest would keep its first version until its answers
    # are worth nothing.
    found = planned(
        [1, 2, 2],
        busy={"i1": 9},
        ages={"i1": 6.0, "i2": 0.5, "i3": 0.5},
    )
    assert found == ["i1"]


def test_more_load_at_once_when_weights_get_too_old():
    ages = {f"i{number}": 4.0 for number in range(1, 10)}
    assert len(planned([1] * 9, ages=ages)) == 3


def test_an_order_without_effect_is_given_again_later():
    given = {"i1": rollout.PendingOrder(3, 9.0)}
    assert planned([1, 3], given=given) == []
    given = {"i1": rollout.PendingOrder(3, 10.0 - rollout.ORDER_TIMEOUT_S)}
    assert planned([1, 3], given=given) == ["i1"]


def report(**fields):
    return rollout.EngineReport({}, **fields)


MODES = {
    "idle": (report(), "wait"),
    "few runs": (report(running=2), "wait"),
    "many runs": (report(running=9), "keep"),
    "many runs, a prompt half read": (report(running=9, reading=1), "wait"),
}


@pytest.mark.parametrize(("said", "mode"), MODES.values(), ids=MODES.keys())
def test_no_prompt_is_read_across_a_change_of_weights(said, mode):
    # An engine loads new weights while it reads a prompt.  The parts it
    # keeps were made on the new weights and bear the old ones' name.  An
    # engine that still has the old ones fetches them and answers wrongly.
    assert rollout.load_mode(said) is rollout.Mode(mode)


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
    ("said", "waited_s", "waits"), WAITS.values(), ids=WAITS.keys()
)
def test_an_engine_works_off_what_it_has_before_its_order(
    said, waited_s, waits
):
    assert rollout.waits_for_requests(said, waited_s, age_s=1.0) is waits


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
    ("said", "waited_s", "waits"), URGENT.values(), ids=URGENT.keys()
)
def test_urgent_weights_do_not_wait_for_runs(said, waited_s, waits):
    # The holder of the lease freezes; its successor may give orders five
    # seconds later.  If each engine then gets another second to work off
    # what it has, the last one begins requests on weights that were
    # superseded more than eight seconds ago: their answers are worthless.
    found = rollout.waits_for_requests(said, waited_s, age_s=5.0)
    assert found is waits


def registered(*names):
    found = registry.Registry()
    found.replace([upstream(name) for name in names], 0.0)
    return found


def test_an_entry_that_goes_while_the_registry_is_well_is_gone():
    found = registered("i1", "i2")
    found.remove("i1", 5.0)
    assert found.incarnations == {"i2"}


def test_entries_that_ran_out_in_an_outage_are_believed_for_a_while():
    # The registry was away and entries ran out although their upstreams
    # live.  They register again within about two seconds; to drop them at
    # once would refuse every request in between.
    found = registered("i1", "i2")
    found.mark_recovered(5.0)
    found.replace([upstream("i2")], 5.0)
    assert found.incarnations == {"i1", "i2"}
    found.expire_missing(5.0 + registry.RELIST_GRACE_S - 0.1)
    assert found.incarnations == {"i1", "i2"}
    found.expire_missing(5.0 + registry.RELIST_GRACE_S)
    assert found.incarnations == {"i2"}


@pytest.mark.parametrize(
    ("served", "until_s"),
    [
        # Nobody else was served; others were until long before.
        (None, 10.0 + registry.RELIST_GRACE_S),
        (continuity.Span(0.0, 7.0), 10.0 + registry.RELIST_GRACE_S),
        # Others were served all along, or sooner again than this router.
        (continuity.Span(0.0, 9.9), 10.0),
        (continuity.Span(9.0, 10.1), 9.0 + registry.RELIST_GRACE_S),
        # Others were served again only later.
        (continuity.Span(11.0, 12.0), 10.0 + registry.RELIST_GRACE_S),
    ],
)
def test_own_outage_is_not_taken_for_one_of_the_registry(served, until_s):
    """A router that was cut off goes on sending to upstreams that left."""
    found = registered("i1")
    found.mark_recovered(10.0)
    found.remove("i1", 10.0)
    if served is not None:
        found.add_served_span(served)
    found.expire_missing(until_s - 0.01)
    assert found.incarnations == ({"i1"} if until_s > 10.0 else set())
    found.expire_missing(until_s)
    assert not found.incarnations


def test_what_a_list_lacks_is_told_once():
    found = registered("i1", "i2", "i3")
    found.mark_leaving("i2")
    found.mark_recovered(5.0)
    absent = found.replace([upstream("i3")], 5.0)
    assert [(each.name, absence) for each, absence in absent] == [
        ("i1", registry.Absence.MISSING),
        ("i2", registry.Absence.GONE),
    ]
    assert found.counts() == {"known": 2, "missing": 1}
    assert found.replace([upstream("i3")], 5.1) == []
    assert [each.name for each in found.expire_missing(60.0)] == ["i1"]


def test_an_entry_that_is_back_stays():
    found = registered("i1")
    found.mark_recovered(5.0)
    found.remove("i1", 5.1)
    found.put(upstream("i1"))
    found.expire_missing(60.0)
    assert found.incarnations == {"i1"}


def test_a_leaving_upstream_is_not_kept_through_an_outage():
    found = registered("i1")
    found.mark_leaving("i1")
    found.mark_recovered(5.0)
    found.remove("i1", 5.1)
    assert not found.incarnations


def test_an_old_entry_takes_nothing_back():
    # An entry was written before the upstream answered with newer weights
    # and said that it leaves.
    found = registered("i1")
    found.update_weights("i1", "m", 4)
    found.mark_leaving("i1")
    found.put(upstream("i1", version=2))
    known = found.get("i1")
    assert (known.weights["m"], known.is_leaving) == (4, True)


def test_events_of_a_restarted_engine_replace_all_beliefs():
    index = cache.CacheIndex()
    event = cache.Event("1", "a", 500, True)
    index.apply_events("i1", 7, [event])
    assert index.cached_tokens("i1", "1", SHARED) == 500
    index.apply_events("i1", 8, [])
    assert index.cached_tokens("i1", "1", SHARED) == 0


def test_a_part_without_those_before_it_is_of_no_use():
    index = cache.CacheIndex()
    index.add_parts("i1", "1", SHARED)
    index.apply_events("i1", None, [cache.Event("1", "a", 0, False)])
    assert index.cached_tokens("i1", "1", SHARED) == 0


def configured(*organisations):
    return routing.RoutingTable(
        model.Configuration(1, (ONCE,), {}, organisations)
    )


def test_an_organisations_priority_goes_before_its_routes():
    # An organisation's long documents and its quick lookups have the same
    # priority of their own.  Without the routes' order among them, the
    # lookups wait until the documents have been read, and are lost.
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
    of = model.Route("r", "h", "/", split)
    rng = random.Random(5)
    found = [routing.pick_service(of, rng) for _ in range(400)]
    assert 260 < found.count("a") < 340
    assert "c" not in found


PACES = {8.0: 3, 6.0: 2, 3.0: 1}


@pytest.mark.parametrize(("bound_s", "urgent_s"), PACES.items())
def test_a_shorter_time_makes_weights_urgent_sooner(bound_s, urgent_s):
    pace = rollout.Pace(bound_s)
    assert rollout.max_concurrent_loads(9, urgent_s, pace) == 3
    assert rollout.max_concurrent_loads(9, urgent_s - 1, pace) == 2
    old = placing.LAST_RESORT_AGE_SHARE * bound_s
    found = placing.usable_candidates(
        [candidate("i1", weights_age_s=old + 0.01), candidate("i2")],
        now_s=10.0,
        bound_s=bound_s,
    )
    assert [each.upstream.incarnation for each in found] == ["i2"]


@pytest.mark.parametrize("bound_s", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("waiting", [0, 3])
def test_newest_weights_get_work_however_short_the_time(bound_s, waiting):
    # Engines must follow new weights within a second or two, and all have
    # them.  The margin for requests that wait is as long as that time:
    # taken off the time of newest weights too, it would close every
    # engine, and callers would be refused for good.
    load = model.Load(8, waiting, 8)
    newest = candidate("i1", load=load, load_at_s=10.0)
    assert placing.usable_candidates([newest], now_s=10.0, bound_s=bound_s)


def test_a_quiet_registry_makes_no_list_old():
    # A small fleet's watch waits for seconds while nothing changes.  Were
    # the time since its last answer taken for the list's age, a holder
    # would give its turn up again and again on a site that is well.
    found = registry.Registry()
    assert found.overdue_s(0.0) > 0.0
    found.mark_synced(10.0, due_s=15.5)
    assert found.overdue_s(15.0) == 0.0
    assert found.overdue_s(18.0) == 2.5
