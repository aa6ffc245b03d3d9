"""Checks of a soak's record against what the router promises.  No I/O.

Each check takes the record and yields what breaks a promise.  Checks with
a time bound pass over what happened while the router or the store was
disturbed, or while the soak itself was held up.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
import math

from toucanrudder.soak import records

#: Seconds of calm after which a router is bound in time again.
CONTACT_S = 3.0

#: Within this time a new document is in force, and a leaving upstream
#: gets nothing new.
APPLY_S = 2.0
DRAIN_S = 2.0

#: Allowed beside a bound for a machine that also runs all the rest.
SLACK_S = 0.7

#: Time that a planned stop may take, and time from its beginning within
#: which requests are accepted that may outlast it.
GRACE_S = 4.0
ACCEPTED_STREAMS_S = 3.0

#: Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})

#: Bound of repeats: share of the requests, and a number in one window.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56
BUDGET_WINDOW_S = 10.0

#: Upstream processes that may end under one request, and tries that may
#: still arrive while routers hear of the last.
MOST_CRASHES = 3
LATE_TRIES = 3

#: Engines that may end under one part of prompts, and requests with it that
#: may reach engines once routers have had time to agree.
MOST_PART_CRASHES = 5
LATE_PARTS = 3

#: Requests in a window that an upstream gets beside the limit that it states.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERRUN = 1.5
LIMIT_SLACK = 5

#: Time after a refusal from which the rest that it asks for counts, and
#: requests of one router that may arrive in it.
REST_COUNTS_AFTER_S = 0.5
MOST_IN_REST = 2

#: Time after the end of a limit in which routers still share it.
LIMIT_RAMP_S = 4.0

#: Disturbances after which a router may not know what upstreams state.
ROUTER_DISTURBANCES = frozenset(
    {"term", "kill", "start", "pause", "standstill", "stall"}
)

#: Disturbances that cut no answer of a sound upstream.
STANDSTILLS = frozenset({"pause", "standstill", "upstream standstill"})

#: An answer that ends this much before its time limit may be due to it.
LIMIT_SLACK_S = 0.1

#: Memory that an instance of `site.MEMORY_MB` has left beside a router in
#: calm.
GROWTH_BYTES = 20 * 2**20

#: Within this time after the last fault callers are served again.
RECOVERY_S = 12.0

#: Events of a whole stream of the usual length.
EVENTS = records.EVENTS

Oracle = Callable[[records.Record], Iterator[str]]


def _runs(record: records.Record) -> dict[str, list[records.Run]]:
    found = collections.defaultdict(list)
    for run in record.runs:
        if not run.goes_on:
            found[run.request_id].append(run)
    return found


def at_most_once(record: records.Record) -> Iterator[str]:
    """What may run once does not run twice."""
    runs = _runs(record)
    for call in record.calls:
        count = len(runs[call.request_id])
        if not call.kind.may_repeat and count > 1:
            yield f"{call.request_id} ran {count} times"


def not_run_is_true(record: records.Record) -> Iterator[str]:
    """What was refused as not run has not run, nor does so later."""
    runs = _runs(record)
    for call in record.calls:
        promised = call.status in PROMISES
        if promised and not call.kind.may_repeat and runs[call.request_id]:
            yield f"{call.request_id} was refused {call.status} and ran"


def streams_whole(record: records.Record) -> Iterator[str]:
    """Events come once, in order, and a whole stream has them all."""
    for call in record.calls:
        if not call.kind.is_stream:
            continue
        first = call.resumed_after + 1
        last = call.resumed_after + len(call.events)
        if call.events != list(range(first, last + 1)):
            yield f"{call.request_id} got events {call.events}"
        if call.is_served and last != call.length:
            yield f"{call.request_id} looks whole after {last}"


def one_software(record: records.Record) -> Iterator[str]:
    """A stream holds events of one software version, over all its calls."""
    software = collections.defaultdict(set)
    for call in record.calls:
        software[call.stream_id or call.request_id] |= call.software
    for stream_id, versions in software.items():
        if len(versions) > 1:
            yield f"{stream_id} holds events of {sorted(versions)}"


def own_answers(record: records.Record) -> Iterator[str]:
    """A caller gets no other's answer."""
    for call in record.calls:
        if not call.is_own:
            yield f"{call.request_id} got what is not its own"


def asked_rightly(record: records.Record) -> Iterator[str]:
    """Nothing runs at the wrong process, on stale cache or over a wall."""
    for run in record.runs:
        for fault in run.faults:
            yield f"{run.request_id} at {run.incarnation}: {fault}"


def drained(record: records.Record) -> Iterator[str]:
    """An upstream that leaves gets nothing new."""
    calls = {call.request_id: call for call in record.calls}
    for run in record.runs:
        left_s = record.leaving.get(run.incarnation, float("inf"))
        call = calls.get(run.request_id)
        late_s = run.at_s - left_s - DRAIN_S - SLACK_S
        if call is None or late_s <= 0:
            continue
        if record.is_calm(call.router, left_s, run.at_s, CONTACT_S):
            yield f"{run.request_id} came {late_s:.2f} s late to a leaving one"


def stops_cut_nothing(record: records.Record) -> Iterator[str]:
    """What a stopping router has passed on gets its whole answer."""
    ran = {run.request_id for run in record.runs}
    for call in record.calls:
        stops = [
            span
            for span in record.spans
            if span.kind == "term" and span.target == call.router
        ]
        for stop in stops:
            if call.sent_s > stop.until_s or call.ended_s < stop.from_s:
                continue
            others = [each for each in record.spans if each is not stop]
            is_alone = not any(
                each.touches("", call.sent_s, call.ended_s)
                or each.touches(call.router, call.sent_s, call.ended_s)
                or each.kind.startswith("upstream")
                for each in others
                if each.until_s > call.sent_s and each.from_s < call.ended_s
            )
            lost = not call.is_whole and not call.left
            if _outlasts(call, stop):
                continue
            if is_alone and lost and call.request_id in ran:
                yield f"{call.request_id} was cut by a planned stop"


def _outlasts(call: records.Call, stop: records.Span) -> bool:
    """Whether a call was sent early in a planned stop and outlasts it."""
    return (
        call.sent_s <= stop.from_s + ACCEPTED_STREAMS_S
        and call.ended_s >= stop.from_s + GRACE_S * 5 / 6
    )


def sound_answers_whole(record: records.Record) -> Iterator[str]:
    """What has run at sound upstreams gets its whole answer.

    Neither standing still, of routers, upstreams or the soak itself, nor a
    new document is a reason to cut an answer.
    """
    runs = collections.defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    for call in record.calls:
        ran = runs[call.request_id]
        if not ran or call.is_whole or call.left:
            continue
        if call.kind in (records.Kind.POISON, records.Kind.POISON_PART):
            continue
        if call.ended_s - call.sent_s >= call.limit_s - LIMIT_SLACK_S:
            continue
        places = {call.router, *(run.incarnation for run in ran)}
        if not any(
            span.kind not in STANDSTILLS
            and span.target in places
            and span.from_s < call.ended_s
            and call.sent_s - CONTACT_S < span.until_s
            for span in record.spans
        ):
            yield (
                f"{call.request_id} was cut after {len(call.events)} events "
                f"by {call.router}"
            )


def document_in_force(record: records.Record) -> Iterator[str]:
    """A new document is in force in time, and never goes back."""
    served = collections.defaultdict(int)
    for call in sorted(record.calls, key=lambda each: each.ended_s):
        if call.kind is not records.Kind.PROBE or call.status is None:
            continue
        place = call.router, call.router_start
        if call.status != 404:
            if call.status == 200:
                served[place] = max(served[place], call.generation)
            continue
        began_after = call.sent_s
        seen = served[place]
        if call.generation <= seen and began_after > 0:
            yield f"{call.router} went back behind generation {seen}"
        late_s = _late_s(record, call)
        if late_s > 0:
            yield f"{call.router} was {late_s:.2f} s late with a document"


def _late_s(record: records.Record, call: records.Call) -> float:
    """Return for how long a probe's generation should have been in force.

    It is 0 if the router may not know it yet.
    """
    since_s = record.acknowledged[call.generation]
    late_s = call.sent_s - since_s - APPLY_S - SLACK_S
    is_calm = record.is_calm(call.router, since_s, call.sent_s, CONTACT_S)
    return max(0.0, late_s) if is_calm else 0.0


def limits_in_force(record: records.Record) -> Iterator[str]:
    """A raised limit holds on connections that were open before."""
    for call in record.calls:
        if not call.has_long_head or call.status != 431:
            continue
        next_s = record.acknowledged.get(call.generation + 1, math.inf)
        if _late_s(record, call) > 0 and next_s > call.ended_s:
            yield f"{call.router} refused a head within the limit"


def keys_in_force(record: records.Record) -> Iterator[str]:
    """Nobody is served with a key that was taken away."""
    for call in record.calls:
        if call.kind is records.Kind.KEY_PROBE and call.status == 200:
            late_s = _late_s(record, call)
            if late_s > 0:
                yield f"{call.router} was {late_s:.2f} s late with a key"


def statuses_exist(record: records.Record) -> Iterator[str]:
    """Callers get no status that HTTP does not have."""
    for call in record.calls:
        if call.status is not None and not 100 <= call.status < 600:
            yield f"{call.request_id} got status {call.status}"


def retry_budget(record: records.Record) -> Iterator[str]:
    """Repeats stay within the bound that all routers share."""
    by_service = collections.defaultdict(list)
    seen = set()
    for at_s, service, request_id in record.arrivals:
        by_service[service].append((at_s, request_id in seen))
        seen.add(request_id)
    for service, found in by_service.items():
        first_s = [at_s for at_s, again in found if not again]
        again_s = [at_s for at_s, again in found if again]
        for end_s in again_s:
            begin_s = end_s - BUDGET_WINDOW_S
            repeats = bisect.bisect_right(again_s, end_s)
            repeats -= bisect.bisect_left(again_s, begin_s)
            requests = bisect.bisect_right(first_s, end_s)
            requests -= bisect.bisect_left(first_s, begin_s - BUDGET_WINDOW_S)
            if repeats > BUDGET_RATIO * requests + BUDGET_SLACK:
                yield f"{service} got {repeats} repeats in one window"
                break


def poison_is_stopped(record: records.Record) -> Iterator[str]:
    """A request that ends upstreams reaches few of them."""
    allowed = MOST_CRASHES + LATE_TRIES
    if len(record.crashes) > allowed:
        yield f"{len(record.crashes)} upstreams ended under one request"


def bad_part_is_stopped(record: records.Record) -> Iterator[str]:
    """Requests with a part that ends engines cease to reach them."""
    if len(record.part_arrivals) < MOST_PART_CRASHES:
        return
    bound_s = record.part_arrivals[MOST_PART_CRASHES - 1] + CONTACT_S + SLACK_S
    late = sum(at_s > bound_s for at_s in record.part_arrivals)
    if late > LATE_PARTS:
        yield f"{late} requests with a bad part reached engines late"


def limits_hold(record: records.Record) -> Iterator[str]:
    """An upstream gets no more than it says it takes from all routers."""
    disturbances = [
        span for span in record.spans if span.kind in ROUTER_DISTURBANCES
    ]
    for limit in record.limits:
        allowed = (
            LIMIT_OVERRUN * limit.rate_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        )
        for begin_s in limit.arrivals_s:
            end_s = begin_s + LIMIT_WINDOW_S
            if begin_s < limit.from_s + CONTACT_S or end_s > limit.until_s:
                continue
            count = sum(begin_s <= at_s < end_s for at_s in limit.arrivals_s)
            if count > allowed and not any(
                span.from_s < end_s and begin_s - CONTACT_S < span.until_s
                for span in disturbances
            ):
                yield f"{limit.incarnation} got {count} requests in a window"
                break


def _is_undisturbed(
    record: records.Record, router: str, from_s: float, until_s: float
) -> bool:
    """Whether a router ran on, so that it knows what it was told."""
    return not any(
        span.kind in ROUTER_DISTURBANCES
        and span.touches(router, from_s, until_s)
        for span in record.spans
    )


def stated_leaving_is_kept_to(record: records.Record) -> Iterator[str]:
    """A router sends nothing new where an answer told it of a leaving."""
    calls = {call.request_id: call for call in record.calls}
    told_s: dict[tuple[str, str], float] = {}
    for told in record.stated_leaving:
        if call := calls.get(told.request_id):
            told_s.setdefault((call.router, told.incarnation), told.at_s)
    for run in record.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        since_s = told_s.get((call.router, run.incarnation), float("inf"))
        late_s = call.sent_s - since_s - DRAIN_S - SLACK_S
        if late_s > 0 and _is_undisturbed(
            record, call.router, since_s, run.at_s
        ):
            yield f"{run.request_id} sent {late_s:.2f} s late to a leaving one"


def _may_be_handed_over(
    record: records.Record, service: str, from_s: float, until_s: float
) -> bool:
    """Whether routers may have sent requests for each other.

    They do while an upstream of the service states a limit, and until its
    end has been forgotten.
    """
    return any(
        limit.service == service
        and limit.from_s < until_s
        and from_s < limit.until_s + LIMIT_RAMP_S
        for limit in record.limits
    )


def rests_are_kept(record: records.Record) -> Iterator[str]:
    """A router leaves an upstream alone that asked it for rest."""
    routers = {call.request_id: call.router for call in record.calls}
    for rest in record.rests:
        for refused in rest.refused:
            router = routers.get(refused.request_id)
            from_s = refused.at_s + REST_COUNTS_AFTER_S
            until_s = refused.at_s + rest.rest_s
            count = sum(
                from_s <= each.at_s < until_s
                and routers.get(each.request_id) == router
                for each in rest.arrivals
            )
            if (
                count > MOST_IN_REST
                and _is_undisturbed(record, router, refused.at_s, until_s)
                and not _may_be_handed_over(
                    record, rest.service, refused.at_s, until_s
                )
            ):
                yield f"{rest.incarnation} got {count} requests in a rest"
                break


def memory_is_bounded(record: records.Record) -> Iterator[str]:
    """Nobody's bytes make a router exceed its instance's memory."""
    for each in record.memory_growths:
        if each.after_bytes - each.before_bytes > GROWTH_BYTES:
            yield (
                f"{each.router} grew from {each.before_bytes} to "
                f"{each.after_bytes} bytes: {each.kind}"
            )


def recovers(record: records.Record) -> Iterator[str]:
    """After the last fault, callers are served again."""
    after_s = record.recovered_after_s
    if after_s is None or after_s > RECOVERY_S:
        yield f"served again after {after_s} s"


def processes_live(record: records.Record) -> Iterator[str]:
    """No router ends by itself."""
    for name in record.died:
        yield f"{name} ended by itself"


ORACLES: tuple[Oracle, ...] = (
    at_most_once,
    not_run_is_true,
    streams_whole,
    one_software,
    own_answers,
    asked_rightly,
    drained,
    stops_cut_nothing,
    sound_answers_whole,
    document_in_force,
    limits_in_force,
    keys_in_force,
    statuses_exist,
    retry_budget,
    poison_is_stopped,
    bad_part_is_stopped,
    limits_hold,
    stated_leaving_is_kept_to,
    rests_are_kept,
    memory_is_bounded,
    recovers,
    processes_live,
)


def check(record: records.Record) -> list[str]:
    """Return what breaks a promise, each with the name of its check."""
    return [
        f"{oracle.__name__}: {text}"
        for oracle in ORACLES
        for text in oracle(record)
    ]
