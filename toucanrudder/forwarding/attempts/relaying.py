"""Relaying of a streamed answer to the caller."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from toucanrudder.forwarding import events
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.http1 import client
from toucanrudder.http1 import message

if TYPE_CHECKING:
    from toucanrudder.forwarding import execution as executions

#: Longest answer that is buffered until it is complete, so that a truncated
#: one can still be retried elsewhere or be reported as a failure.
MAX_BUFFERED_BYTES = 262_144

NextEvent = Callable[
    [], Awaitable[message.AnswerHead | client.Data | client.End]
]


class AttemptFailed(Exception):
    """An attempt ended without a complete answer.

    Parameters
    ----------
    kind : retry_policy.FailureKind
        How it failed.
    answer : tuple or None
        Head and body of the upstream's error answer, if it sent one.
    """

    def __init__(self, kind: retry_policy.FailureKind, answer=None):
        super().__init__(kind.value)
        self.kind = kind
        self.answer = answer


async def read_body(next_event: NextEvent) -> bytes:
    """Return the rest of an answer.

    Raises
    ------
    AttemptFailed
        It is too large.
    """
    body = bytearray()
    while True:
        event = await next_event()
        if isinstance(event, client.End):
            return bytes(body)
        body += event.content
        if len(body) > MAX_BUFFERED_BYTES:
            raise AttemptFailed(retry_policy.FailureKind.CROSSED)


async def relay_stream(
    execution: "executions.RequestExecution",
    head: message.AnswerHead,
    next_event: NextEvent,
    on_events: Callable[[], None] = lambda: None,
) -> None:
    """Relay a streamed answer, in whole events.

    Parameters
    ----------
    execution : executions.RequestExecution
        The request.
    head : message.AnswerHead
        Head of the answer.
    next_event : callable
        Returns the next part of the answer.
    on_events : callable
        Called before complete events are relayed.

    Raises
    ------
    AttemptFailed
        The answer is not a stream of events, or ends within one.
    """
    splitter = events.EventSplitter()
    while not isinstance(event := await next_event(), client.End):
        try:
            complete_events = splitter.feed(event.content)
        except ValueError:
            raise AttemptFailed(retry_policy.FailureKind.CROSSED) from None
        if complete_events:
            on_events()
            await _relay_events(execution, head, complete_events)
    if splitter.rest:
        raise AttemptFailed(retry_policy.FailureKind.BROKEN)
    if not execution.answer.started:
        await execution.start_stream(head)
    await execution.answer.end()


async def _relay_events(
    execution: "executions.RequestExecution",
    head: message.AnswerHead,
    complete_events: list[bytes],
) -> None:
    if not execution.answer.started:
        await execution.start_stream(head)
    await execution.answer.write(b"".join(complete_events))
    execution.record_stream_events()
    last_id = execution.dialect.event_id(complete_events[-1])
    if last_id is not None:
        execution.last_event_id = last_id
    execution.progress = attrs.evolve(
        execution.progress,
        events=execution.progress.events + len(complete_events),
        can_resume=last_id is not None,
    )
