"""Relaying of a streamed answer to the caller."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from toucanrudder.forwarding import events
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.http1 import answer_room
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


@attrs.define(eq=False)
class BodyReader:
    """Reads the rest of an answer; goes on where it was cancelled.

    Parameters
    ----------
    next_event : callable
        Returns the next part of the answer.
    """

    next_event: NextEvent
    _body: bytearray = attrs.field(factory=bytearray)

    async def read(self) -> bytes:
        """Return the whole rest.

        Raises
        ------
        AttemptFailed
            It is too large.
        """
        while not isinstance(event := await self.next_event(), client.End):
            self._body += event.content
            if len(self._body) > MAX_BUFFERED_BYTES:
                raise AttemptFailed(retry_policy.FailureKind.CROSSED)
        return bytes(self._body)


async def drop_body(next_event: NextEvent) -> None:
    """Read the rest of an answer of no interest, and keep nothing of it.

    Parameters
    ----------
    next_event : callable
        Returns the next part of the answer.

    Raises
    ------
    AttemptFailed
        It is too large.
    """
    dropped_bytes = 0
    while not isinstance(event := await next_event(), client.End):
        dropped_bytes += len(event.content)
        if dropped_bytes > MAX_BUFFERED_BYTES:
            raise AttemptFailed(retry_policy.FailureKind.CROSSED)


def buffer_bytes(head: message.AnswerHead) -> int:
    """Return how much memory an answer needs until it is complete."""
    length = message.number(head, b"content-length")
    if length is None:
        return MAX_BUFFERED_BYTES
    return int(min(length, MAX_BUFFERED_BYTES))


@attrs.define(eq=False)
class EventReader:
    """Reads whole events of a stream; goes on where it was cancelled.

    Parameters
    ----------
    next_event : callable
        Returns the next part of the answer.
    partial : answer_room.PartialAnswer
        Holds room for the event that is being received.
    """

    next_event: NextEvent
    partial: answer_room.PartialAnswer
    _splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)

    async def read(self) -> list[bytes]:
        """Return the next events; an empty list at the end of the stream.

        Raises
        ------
        AttemptFailed
            The answer is not a stream of events, or ends within one.
        """
        complete_events: list[bytes] = []
        while not complete_events:
            event = await self.next_event()
            if isinstance(event, client.End):
                if self._splitter.rest:
                    raise AttemptFailed(retry_policy.FailureKind.BROKEN)
                break
            try:
                complete_events = self._splitter.feed(event.content)
                self.partial.hold(len(self._splitter.rest))
            except ValueError:
                raise AttemptFailed(retry_policy.FailureKind.CROSSED) from None
        return complete_events


async def relay_stream(
    execution: "executions.RequestExecution",
    head: message.AnswerHead,
    next_events: Callable[[], Awaitable[list[bytes]]],
    on_events: Callable[[], None] = lambda: None,
) -> None:
    """Relay a streamed answer, in whole events.

    Parameters
    ----------
    execution : executions.RequestExecution
        The request.
    head : message.AnswerHead
        Head of the answer.
    next_events : callable
        Returns the next events, as `EventReader.read`.
    on_events : callable
        Called before events are relayed.
    """
    while complete_events := await next_events():
        on_events()
        if not execution.answer.started:
            await execution.wait_for_records()
        await _relay_events(execution, head, complete_events)
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
