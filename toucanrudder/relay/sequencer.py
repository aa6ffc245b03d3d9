"""Splits a stream into numbered events and drops duplicates."""

SEPARATOR = b"\n\n"
DONE_LINE = b"\ndata: [DONE]"
MAX_EVENT_BYTES = 1_048_576


class SequenceGap(Exception):
    """An event is missing; the stream must be resumed after the last one."""


class ForeignEvent(Exception):
    """The stream contains an event of another request."""


class EventTooLarge(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


class Sequencer:
    """Tracker of one answer's event order across all its connections.

    Parameters
    ----------
    identity : bytes
        The request's ID at the engine; each data event contains it.
    last : int
        Number of the last event that the caller received.

    Examples
    --------
    >>> from toucanrudder import relay
    >>> events = relay.Sequencer(b"r1")
    >>> events.feed(b'id: 1\\ndata: {"id": "r1"}\\n\\nid: 2\\nda')
    b'id: 1\\ndata: {"id": "r1"}\\n\\n'
    >>> events.feed(b'ta: [DONE]\\n\\n')
    b'id: 2\\ndata: [DONE]\\n\\n'
    >>> events.done
    True
    """

    def __init__(self, identity: bytes, last: int = 0):
        self.last = last
        self.done = False
        self._identity = identity
        self._partial = b""
        self._error: Exception | None = None

    @property
    def partial_bytes(self) -> int:
        """Length of the event that is being received."""
        return len(self._partial)

    def reset_connection(self) -> None:
        """Discard the partial event and error of a broken connection."""
        self._partial = b""
        self._error = None

    def set_identity(self, identity: bytes) -> None:
        """Expect the next events to contain another request ID."""
        self._identity = identity
        self._partial = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes and return the new events that are complete.

        Events that the caller already has are left out.  Stops at an
        invalid event, for which `check` raises.  The events before it are
        returned and count as relayed, so write them before `check`.
        """
        data = self._partial + chunk if self._partial else chunk
        whole, separator, self._partial = data.rpartition(SEPARATOR)
        if len(self._partial) > MAX_EVENT_BYTES:
            self._error = EventTooLarge(str(len(self._partial)))
        if not separator:
            return b""
        events = whole.split(SEPARATOR)
        if self._accept_all(whole, events):
            return whole + separator
        return self._new_events(events)

    def _accept_all(self, whole: bytes, events: list[bytes]) -> bool:
        """Accept all events at once if they are the expected data events.

        This fast path is several times cheaper than checking event by
        event; all other input is left to that check.
        """
        first, count = self.last + 1, len(events)
        starts = [b"id: %d\n" % n for n in range(first, first + count)]
        if (
            DONE_LINE in whole
            or not all(map(bytes.startswith, events, starts))
            or not all(self._identity in event for event in events)
        ):
            return False
        self.last += count
        return True

    def _new_events(self, events: list[bytes]) -> bytes:
        new_events = []
        try:
            for event in events:
                if self._accept(event):
                    new_events.append(event + SEPARATOR)
        except (SequenceGap, ForeignEvent) as error:
            # Raising here would lose the valid events of the same chunk,
            # since the stream is resumed after them.
            self._error = error
        return b"".join(new_events)

    @property
    def is_broken(self) -> bool:
        """Whether an invalid event was received, for which `check` raises."""
        return self._error is not None

    def check(self) -> None:
        """Raise if an invalid event was received.

        Raises
        ------
        SequenceGap
            An event before the received one is missing.
        ForeignEvent
            The event belongs to another request.
        EventTooLarge
            An event exceeds `MAX_EVENT_BYTES`.
        """
        if self._error is not None:
            raise self._error

    def _accept(self, event: bytes) -> bool:
        expected = self.last + 1
        if not event.startswith(b"id: %d\n" % expected):
            number = _event_number(event)
            # Comments and unnumbered events carry no data, and a resumed
            # connection may repeat events that were already relayed.
            if number is None or number <= self.last:
                return False
            raise SequenceGap(f"{number} follows {self.last}")
        if is_closing_event(event):
            self.done = True
        elif self._identity not in event:
            raise ForeignEvent(f"event {expected}")
        self.last = expected
        return True


def is_closing_event(event: bytes) -> bool:
    """Return whether the event is_closing_event its stream.

    Only a complete last line does.  A model can be made to generate the
    same text inside a chunk, which must not be taken for the end of an
    answer that was cut off.  JSON contains no bare line feed, so no chunk
    can end with such a line.
    """
    return event.rstrip(b"\n").endswith(DONE_LINE)


def _event_number(event: bytes) -> int | None:
    first, _, _ = event.partition(b"\n")
    name, _, value = first.partition(b": ")
    if name != b"id" or not value.isdigit():
        return None
    return int(value)
