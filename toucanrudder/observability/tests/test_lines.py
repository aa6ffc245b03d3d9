"""Log lines on a stream whose reader stalls."""

import json
import logging
import os
import threading

import pytest

from toucanrudder.observability import decisions
from toucanrudder.observability import lines

ANSWERED = decisions.Answered(
    request_id="id1",
    route="r",
    upstream="i1",
    status=200,
    attempts=1,
    first_s=0.01234567,
    whole_s=0.5,
    events=3,
    longest_gap_s=0.2,
    objective_s=0.4,
    event_gap_s=0.4,
    generation=3,
)
REFUSED = decisions.Refused(
    request_id="id2",
    route="r",
    code="queue_full",
    status=503,
    ran="not_run",
    retry_after_s=0.2,
    after_s=0.1,
    peer="i1",
    detail="no upstream could take the request",
    generation=3,
)


@pytest.fixture
def pipe():
    read, write = os.pipe()
    with os.fdopen(read, "rb") as reader, os.fdopen(write, "w") as writer:
        yield reader, writer


@pytest.fixture
def handler(pipe):
    line_handler = lines.LineHandler(pipe[1])
    log = decisions.LOG
    log.addHandler(line_handler)
    log.setLevel(logging.INFO)
    yield line_handler
    log.removeHandler(line_handler)


def read_until(reader, event):
    for raw in reader:
        fields = json.loads(raw)
        if fields["event"] == event:
            return fields
    raise AssertionError(event)


def test_a_line_holds_the_fields_of_its_event(handler, pipe):
    decisions.record(ANSWERED)
    fields = read_until(pipe[0], "Answered")
    assert fields["request_id"] == "id1"
    assert fields["first_s"] == 0.0123
    handler.close()


def test_a_stalled_reader_does_not_block_logging(handler, pipe):
    # Nobody reads standard output, so the pipe is full after a few hundred
    # lines.  A router that wrote into it directly would block with all its
    # requests; here the test itself would hang.
    for _ in range(4 * lines.MAX_QUEUED_LINES):
        decisions.record(ANSWERED)
    for _ in range(lines.MAX_QUEUED_LINES):
        decisions.record(REFUSED)
    assert len(handler._queue) <= lines.MAX_QUEUED_LINES
    reader = threading.Thread(
        target=lambda: dropped_lines.append(
            read_until(pipe[0], "LinesDropped")
        )
    )
    dropped_lines = []
    reader.start()
    while reader.is_alive():
        decisions.record(REFUSED)
        reader.join(0.01)
    assert dropped_lines[0]["kinds"]["Answered"] > lines.MAX_QUEUED_LINES
    drain = threading.Thread(target=pipe[0].read)
    drain.start()
    handler.close()
    pipe[1].close()
    drain.join()


def test_routine_lines_leave_room_for_refusals(handler, pipe):
    # While the reader stalls, lines of successful requests must not crowd
    # out the one line that explains a refusal.
    for _ in range(4 * lines.MAX_QUEUED_LINES):
        decisions.record(ANSWERED)
    decisions.record(REFUSED)
    assert b'"Refused"' in handler._queue[-1]
    drain = threading.Thread(target=pipe[0].read)
    drain.start()
    handler.close()
    pipe[1].close()
    drain.join()


@pytest.mark.parametrize("kind", decisions.KINDS)
def test_no_event_has_a_secret_field(kind):
    names = {field.name for field in kind.__attrs_attrs__}
    assert not names & {"api_key", "key", "prompt", "body", "headers"}
    assert kind.__doc__
