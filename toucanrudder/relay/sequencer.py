"""Splits a stream into numbered events and lets each pass once."""

SEPARATOR = b"\n\n"
DONE_LINE = b"\ndata: [DONE]"
MAX_EVENT_BYTES = 1_048_576


class SequenceGap(Exception):
    """An event is missing: the stream must be resumed after the last one."""


class ForeignEvent(Exception):
    """An event of another request stands in this stream."""


class EventTooLarge(Exception):
    """An event is larger than any engine has reason to send."""


class Sequencer:
    """Order of one answer's events, over all connections it comes by.

    Parameters
    ----------
    identity : bytes
        The request's identity at the engine; each data event holds it.
    last : int
        Number of the last event that the caller has.

    Examples
    --------
    >>> from toucanrudder import relay
    >>> order = relay.Sequencer(b"r1")
    >>> order.feed(b'id: 1\\ndata: {"id": "r1"}\\n\\nid: 2\\nda')
    b'id: 1\\ndata: {"id": "r1"}\\n\\n'
    >>> order.feed(b'ta: [DONE]\\n\\n')
    b'id: 2\\ndata: [DONE]\\n\\n'
    >>> order.done
    True
    """

    def __init__(self, identity: bytes, last: int = 0):
        self.last = last
        self.done = False
        self._identity = identity
        self._rest = b""
        self._wrong: Exception | None = None

    def reconnected(self) -> None:
        """Forget what a broken connection left behind."""
        self._rest = b""
        self._wrong = None

    def moved(self, identity: bytes) -> None:
        """Expect the events that follow under another identity."""
        self._identity = identity
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and return the fresh events that they complete.

        Events that the caller has already are left out.  At a wrong event
        it stops; `check` raises for it once the events before it, which
        count as passed on, have been.
        """
        data = self._rest + chunk if self._rest else chunk
        whole, separator, self._rest = data.rpartition(SEPARATOR)
        if len(self._rest) > MAX_EVENT_BYTES:
            self._wrong = EventTooLarge(str(len(self._rest)))
        if not separator:
            return b""
        events = whole.split(SEPARATOR)
        if self._all_plain(whole, events):
            return whole + separator
        return self._fresh(events)

    def _all_plain(self, whole: bytes, events: list[bytes]) -> bool:
        """Pass data events at once if each is as expected.

        Checking event by event costs several times as much.  Whatever is
        out of the ordinary here is left to that check.
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

    def _fresh(self, events: list[bytes]) -> bytes:
        fresh = []
        try:
            for event in events:
                if self._passes(event):
                    fresh.append(event + SEPARATOR)
        except (SequenceGap, ForeignEvent) as error:
            # Raised from here, it would lose the good events that came in
            # the same chunk: the stream would go on after them.
            self._wrong = error
        return b"".join(fresh)

    def check(self) -> None:
        """Raise if a wrong event has come.

        Raises
        ------
        SequenceGap
            An event between the last one and this one is missing.
        ForeignEvent
            The event belongs to another request.
        EventTooLarge
            An event exceeds `MAX_EVENT_BYTES`.
        """
        if self._wrong is not None:
            raise self._wrong

    def _passes(self, event: bytes) -> bool:
        expected = self.last + 1
        if not event.startswith(b"id: %d\n" % expected):
            number = _number(event)
            # Comments and events without a number carry nothing; a resumed
            # connection may repeat what was passed on before.
            if number is None or number <= self.last:
                return False
            raise SequenceGap(f"{number} follows {self.last}")
        if closes(event):
            self.done = True
        elif self._identity not in event:
            raise ForeignEvent(f"event {expected}")
        self.last = expected
        return True


def closes(event: bytes) -> bool:
    """Tell whether the event closes its stream.

    Only a whole last line does: a model can be brought to write the words
    into a chunk, which would then pass for the end of a cut answer.  JSON
    holds no bare line feed, so no chunk can end like this.
    """
    return event.rstrip(b"\n").endswith(DONE_LINE)


def _number(event: bytes) -> int | None:
    first, _, _ = event.partition(b"\n")
    name, _, value = first.partition(b": ")
    if name != b"id" or not value.isdigit():
        return None
    return int(value)
