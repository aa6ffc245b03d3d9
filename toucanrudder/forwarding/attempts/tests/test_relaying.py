"""Streams on their way from an upstream to a caller."""

import attrs

from toucanrudder.forwarding.attempts import relaying
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.http1 import message


@attrs.define(eq=False)
class Execution:
    """A request that records in which order its steps happen.

    It is its own answer and dialect.
    """

    steps: list[str] = attrs.field(factory=list)
    started: bool = False
    last_event_id: str | None = None
    progress: retry_policy.Progress = attrs.field(
        factory=retry_policy.Progress
    )

    @property
    def answer(self):
        return self

    @property
    def dialect(self):
        return self

    def event_id(self, event):
        return None

    def record_stream_events(self):
        pass

    async def wait_for_records(self):
        self.steps.append("records")

    async def start_stream(self, head):
        self.started = True

    async def write(self, content):
        self.steps.append(content.decode())

    async def end(self):
        self.steps.append("end")


async def test_first_event_follows_the_records_of_its_attempt():
    """Guards against a caller that returns before peers know what began."""
    execution = Execution()
    events = iter(([b"1"], [b"2"], []))

    async def next_events():
        return next(events)

    head = message.AnswerHead(200, ())
    await relaying.relay_stream(execution, head, next_events)
    assert execution.steps == ["records", "1", "2", "end"]
