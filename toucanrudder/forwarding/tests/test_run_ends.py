"""Proof that an engine has ended a run."""

import pytest

from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import run_ends

STARTED_AT_MS = 1_700_000_000_000
ENGINE = model.Upstream(
    "i@1", "s", "10.0.0.1:1", name="i", started_at_ms=STARTED_AT_MS
)
FIRST_EVENT_AT_S = 10.0
LATE_S = FIRST_EVENT_AT_S + run_ends.MAX_REPORT_AGE_S


def reported(asked_at_s=LATE_S, **fields):
    """Return a reply with a report."""
    report = rollout.EngineReport({}, **fields)
    contact = rollout.Contact.REPORTED
    return rollout.ReportReply(contact, report, asked_at_s)


#: Reply and what it says of the run.
REPLIES = {
    "listed": (reported(events={"r": 5}), "in_progress"),
    "not listed": (reported(), "ended"),
    "others listed": (reported(events={"q": 5}), "ended"),
    "put back": (reported(waiting=1), "in_progress"),
    "old report": (reported(asked_at_s=LATE_S - 0.01), "unknown"),
    "same start": (reported(started_at_ms=STARTED_AT_MS), "ended"),
    "later start": (
        reported(started_at_ms=STARTED_AT_MS + 1, events={"r": 5}),
        "ended",
    ),
    "earlier start": (reported(started_at_ms=STARTED_AT_MS - 1), "unknown"),
    "refused": (rollout.ReportReply(rollout.Contact.REFUSED), "ended"),
    "replaced": (rollout.ReportReply(rollout.Contact.REPLACED), "ended"),
    "no answer": (rollout.ReportReply(rollout.Contact.NO_ANSWER), "unknown"),
    "not reached": (
        rollout.ReportReply(rollout.Contact.NOT_REACHED),
        "not_reached",
    ),
}


@pytest.mark.parametrize(
    ("reply", "state"), REPLIES.values(), ids=REPLIES.keys()
)
def test_only_proof_ends_a_run(reply, state):
    """Guards against a run that is taken for ended without proof."""
    found = run_ends.run_state(reply, ENGINE, "r", FIRST_EVENT_AT_S)
    assert found.value == state


@pytest.mark.parametrize(
    ("contacts", "is_continued"),
    [
        (["not_reached"], True),
        (["not_reached", "no_answer"], False),
    ],
)
async def test_run_of_an_unreached_engine_is_continued(
    contacts, is_continued, monkeypatch
):
    """Guards against streams lost with an engine that cannot be reached."""
    monkeypatch.setattr(run_ends, "REPORT_INTERVAL_S", 0.01)
    monkeypatch.setattr(run_ends, "OUT_OF_REACH_AFTER_S", 0.05)
    asked = []

    async def ask(upstream, *, timeout_s):
        asked.append(upstream)
        contact = contacts[len(asked) % len(contacts)]
        return rollout.ReportReply(rollout.Contact(contact))

    run_end = run_ends.RunEnd(
        run_ends.SharedReports(ask), ENGINE, "r", FIRST_EVENT_AT_S
    )
    assert await run_end.wait(lambda: len(asked) < 20) is is_continued
