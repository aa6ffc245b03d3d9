"""Each check of the soak passes what is allowed and finds what is not."""

import attrs
import pytest

from toucanrudder.soak import oracles
from toucanrudder.soak import records

Kind = records.Kind
WHOLE = list(range(1, oracles.EVENTS + 1))


def call(kind=Kind.WRITE, request_id="c1", **fields):
    fields = {
        "router": "r1",
        "router_start": 1,
        "sent_s": 100.0,
        "ended_s": 100.1,
        "status": 200,
        "is_whole": True,
    } | fields
    return records.Call(request_id, kind, **fields)


def run(request_id="c1", at_s=100.05, incarnation="i1", **fields):
    return records.Run(request_id, "desk", incarnation, at_s, **fields)


def span(kind, target="", from_s=0.0, until_s=1000.0):
    return records.Span(kind, target, from_s, until_s)


def limit(*arrivals_s):
    return records.StatedLimit(
        "i1", "desk", 1.5, 100.0, 110.0, list(arrivals_s)
    )


def sighting(at_s, request_id="c1"):
    return records.Sighting(at_s, request_id, "i1")


def rest(*arrivals_s):
    arrivals = [sighting(at_s) for at_s in arrivals_s]
    return records.AskedRest("i1", "desk", 3.0, [sighting(100.0)], arrivals)


def sent_late(**fields):
    """Return a call that reaches i1 after its router was told it leaves."""
    late = call(request_id="c2", sent_s=104.0, ended_s=104.2)
    return record(
        [call(), late],
        [run(), run("c2", 104.1)],
        stated_leaving=[sighting(100.1)],
        **fields,
    )


def record(calls=(), runs=(), **fields):
    return records.Record(list(calls), list(runs), **fields)


def probe(status, generation, kind=Kind.PROBE, **fields):
    return call(kind, status=status, generation=generation, **fields)


def long_head(status, at_s=104.0):
    """Return a head that is refused until a limit is raised at 100 s."""
    return record(
        [
            probe(
                status,
                8,
                Kind.HEAD_PROBE,
                sent_s=at_s,
                ended_s=at_s + 0.1,
                has_long_head=True,
            )
        ],
        acknowledged={8: 100.0},
    )


def former_key(status, at_s=104.0, **fields):
    """Return a call with a key that is taken away at 100 s."""
    return record(
        [probe(status, 8, Kind.KEY_PROBE, sent_s=at_s, ended_s=at_s + 0.1)],
        acknowledged={8: 100.0},
        **fields,
    )


MANY = [(100.0 + n / 100, "desk", f"c{n % 2}") for n in range(80)]
STOP = span("term", "r1", 99.0, 103.0)
CUT = call(status=None, is_whole=False)
LATE_RUN = run(at_s=109.0)

LONG = {"length": 20, "limit_s": 12.0, "ended_s": 101.0, "is_whole": False}

BROKEN = {
    "cut while routers and engines stood still": (
        oracles.sound_answers_whole,
        record(
            [call(Kind.STREAM_ONCE, **LONG)],
            [run()],
            spans=[
                span("standstill", "r1"),
                span("upstream standstill", "i1"),
                span("upstream crash", "i2"),
            ],
        ),
    ),
    "ran twice": (
        oracles.at_most_once,
        record([call()], [run(), run(incarnation="i2")]),
    ),
    "refused and ran": (
        oracles.not_run_is_true,
        record([call(status=503)], [run()]),
    ),
    "an event twice": (
        oracles.streams_whole,
        record([call(Kind.STREAM_ONCE, events=[1, 2, 2])]),
    ),
    "an event missing": (
        oracles.streams_whole,
        record([call(Kind.STREAM_ONCE, events=[1, 3])]),
    ),
    "whole too early": (
        oracles.streams_whole,
        record([call(Kind.STREAM_RESUMABLE, events=[1, 2])]),
    ),
    "events of two versions in one answer": (
        oracles.one_software,
        record([call(Kind.STREAM_RESUMABLE, software={"v1", "v2"})]),
    ),
    "resumed at another version": (
        oracles.one_software,
        record(
            [
                call(Kind.STREAM_RESUMABLE, software={"v1"}),
                call(
                    Kind.STREAM_RESUMABLE,
                    "c2",
                    stream_id="c1",
                    software={"v2"},
                ),
            ]
        ),
    ),
    "resumed one event too late": (
        oracles.streams_whole,
        record([call(Kind.STREAM_RESUMABLE, resumed_after=2, events=[4, 5])]),
    ),
    "refused by a limit that is not in force any more": (
        oracles.limits_in_force,
        long_head(431),
    ),
    "served with a key that is not in force any more": (
        oracles.keys_in_force,
        former_key(200),
    ),
    "a status that is none": (
        oracles.statuses_exist,
        record([call(status=666)]),
    ),
    "another's answer": (oracles.own_answers, record([call(is_own=False)])),
    "asked wrongly": (
        oracles.asked_rightly,
        record(runs=[run(faults=("stale cache",))]),
    ),
    "sent to a leaving one": (
        oracles.drained,
        record([call()], [LATE_RUN], leaving={"i1": 100.0}),
    ),
    "cut by a stop": (
        oracles.stops_cut_nothing,
        record([CUT], [run()], spans=[STOP]),
    ),
    "cut by a stop that came after it": (
        oracles.stops_cut_nothing,
        record(
            [attrs.evolve(CUT, sent_s=98.9, ended_s=99.1)],
            [run(at_s=98.95)],
            spans=[STOP],
        ),
    ),
    "document late": (
        oracles.document_in_force,
        record([probe(404, 7)], acknowledged={7: 90.0}),
    ),
    "document went back": (
        oracles.document_in_force,
        record(
            [
                probe(200, 7),
                probe(404, 6, sent_s=101.0, ended_s=101.1),
            ],
            acknowledged={6: 101.0, 7: 101.0},
        ),
    ),
    "too many repeats": (oracles.retry_budget, record(arrivals=MANY)),
    "poison goes round": (
        oracles.poison_is_stopped,
        record(crashes=[100.0] * 7),
    ),
    "a bad part goes round": (
        oracles.bad_part_is_stopped,
        record(part_arrivals=[100.0] * 5 + [104.0] * 4),
    ),
    "more than a stated limit": (
        oracles.limits_hold,
        record(limits=[limit(*[104.0 + n / 10 for n in range(15)])]),
    ),
    "sent to one that said it leaves": (
        oracles.stated_leaving_is_kept_to,
        sent_late(),
    ),
    "three requests in a rest": (
        oracles.rests_are_kept,
        record([call()], rests=[rest(100.5, 101.0, 102.9)]),
    ),
    "not served again": (oracles.recovers, record()),
    "ended by itself": (oracles.processes_live, record(died=["r1"])),
}


@pytest.mark.parametrize(
    ("oracle", "seen"), BROKEN.values(), ids=BROKEN.keys()
)
def test_what_breaks_a_promise_is_found(oracle, seen):
    assert list(oracle(seen))
    assert any(
        text.startswith(oracle.__name__) for text in oracles.check(seen)
    )


ALLOWED = {
    "refused before a raised limit must be in force": (
        oracles.limits_in_force,
        long_head(431, at_s=102.0),
    ),
    "refused by the limit of a newer document": (
        oracles.limits_in_force,
        attrs.evolve(long_head(431), acknowledged={8: 100.0, 9: 104.05}),
    ),
    "served before a key must be taken away": (
        oracles.keys_in_force,
        former_key(200, at_s=102.0),
    ),
    "served with a former key by a router that was cut off": (
        oracles.keys_in_force,
        former_key(200, spans=[span("store cut", "", 101.0, 102.0)]),
    ),
    "refused with a former key": (oracles.keys_in_force, former_key(401)),
    "a status of HTTP": (oracles.statuses_exist, record([call(status=502)])),
    "sent to one that said it leaves, by a router that was paused": (
        oracles.stated_leaving_is_kept_to,
        sent_late(spans=[span("pause", "r1", 101.0, 102.0)]),
    ),
    "two requests in a rest, and others about it": (
        oracles.rests_are_kept,
        record([call()], rests=[rest(100.4, 101.0, 102.9, 103.0)]),
    ),
    "more in a rest, by a router that was killed": (
        oracles.rests_are_kept,
        record(
            [call()],
            rests=[rest(100.5, 101.0, 102.9)],
            spans=[span("kill", "r1", 100.2, 100.4)],
        ),
    ),
    "more in a rest, while routers hand requests over for a limit": (
        oracles.rests_are_kept,
        record(
            [call()],
            limits=[limit()],
            rests=[rest(100.5, 101.0, 102.9)],
        ),
    ),
    "as many as a stated limit allows": (
        oracles.limits_hold,
        record(limits=[limit(*[104.0 + n / 10 for n in range(14)])]),
    ),
    "before routers knew of a stated limit": (
        oracles.limits_hold,
        record(limits=[limit(*[101.0 + n / 20 for n in range(30)])]),
    ),
    "more than a stated limit after a router started": (
        oracles.limits_hold,
        record(
            limits=[limit(*[104.0 + n / 10 for n in range(15)])],
            spans=[span("start", "r1", 102.0, 102.5)],
        ),
    ),
    "its upstream crashed": (
        oracles.sound_answers_whole,
        record(
            [call(Kind.STREAM_ONCE, **LONG)],
            [run()],
            spans=[span("upstream crash", "i1")],
        ),
    ),
    "its caller left a long stream": (
        oracles.sound_answers_whole,
        record([call(Kind.STREAM_ONCE, **LONG, left=True)], [run()]),
    ),
    "it did not run": (
        oracles.sound_answers_whole,
        record([call(Kind.STREAM_ONCE, **LONG | {"status": 503})]),
    ),
    "its time limit was reached": (
        oracles.sound_answers_whole,
        record([call(Kind.STREAM_ONCE, **LONG | {"limit_s": 1.0})], [run()]),
    ),
    "it outlasts the stop during which it was sent": (
        oracles.stops_cut_nothing,
        record(
            [call(Kind.STREAM_ONCE, **LONG | {"ended_s": 103.0})],
            [run()],
            spans=[span("term", "r1", 99.0, 103.0)],
        ),
    ),
    "a repeatable one ran twice": (
        oracles.at_most_once,
        record([call(Kind.READ)], [run(), run()]),
    ),
    "one run went on from a copy": (
        oracles.at_most_once,
        record([call()], [run(), run(goes_on=True)]),
    ),
    "refused": (oracles.not_run_is_true, record([call(status=503)])),
    "a stream broke off": (
        oracles.streams_whole,
        record([call(Kind.STREAM_ONCE, events=[1, 2], is_whole=False)]),
    ),
    "resumed at the same version": (
        oracles.one_software,
        record(
            [
                call(Kind.STREAM_RESUMABLE, software={"v1"}),
                call(
                    Kind.STREAM_RESUMABLE,
                    "c2",
                    stream_id="c1",
                    software={"v1"},
                ),
                call(Kind.STREAM_RESUMABLE, "c3", software={"v2"}),
            ]
        ),
    ),
    "resumed and whole": (
        oracles.streams_whole,
        record(
            [call(Kind.STREAM_RESUMABLE, resumed_after=4, events=WHOLE[4:])]
        ),
    ),
    "a whole stream": (
        oracles.streams_whole,
        record([call(Kind.STREAM_ONCE, events=WHOLE)]),
    ),
    "sent just after": (
        oracles.drained,
        record([call()], [run(at_s=101.0)], leaving={"i1": 100.0}),
    ),
    "sent by one that was cut off": (
        oracles.drained,
        record(
            [call()],
            [LATE_RUN],
            leaving={"i1": 100.0},
            spans=[span("pause", "r1", 98.0, 107.0)],
        ),
    ),
    "lost with its upstream": (
        oracles.stops_cut_nothing,
        record(
            [CUT],
            [run()],
            spans=[STOP, span("upstream crash", "i1", 99.0, 101.0)],
        ),
    ),
    "its caller left": (
        oracles.stops_cut_nothing,
        record([attrs.evolve(CUT, left=True)], [run()], spans=[STOP]),
    ),
    "document late while the store is away": (
        oracles.document_in_force,
        record(
            [probe(404, 7)],
            acknowledged={7: 90.0},
            spans=[span("store busy", "", 89.0, 99.0)],
        ),
    ),
    "a router that was started anew": (
        oracles.document_in_force,
        record(
            [
                probe(200, 7),
                probe(404, 7, router_start=2, sent_s=101.0, ended_s=101.1),
            ],
            acknowledged={7: 100.5},
        ),
    ),
    "served again": (oracles.recovers, record(recovered_after_s=1.0)),
}


@pytest.mark.parametrize(
    ("oracle", "seen"), ALLOWED.values(), ids=ALLOWED.keys()
)
def test_what_is_allowed_passes(oracle, seen):
    assert not list(oracle(seen))
