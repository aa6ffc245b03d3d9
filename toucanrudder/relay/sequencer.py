"""Splits a stream into numbered events and lets each pass once."""

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
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

    def reconnected(self) -> None:
        """Forget the half event that a broken connection left behind."""
        self._rest = b""

    def moved(self, identity: bytes) -> None:
        """Expect the events that follow under another identity."""
        self._identity = identity
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and return the fresh events that they complete.

        Events that the caller has already are left out.

        Raises
        ------
        SequenceGap
            An event between the last one and this one is missing.
        ForeignEvent
            The event belongs to another request.
        EventTooLarge
            An event exceeds `MAX_EVENT_BYTES`.
        """
        data = self._rest + chunk if self._rest else chunk
        whole, separator, self._rest = data.rpartition(SEPARATOR)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(str(len(self._rest)))
        if not separator:
            return b""
        events = whole.split(SEPARATOR)
        if self._all_plain(whole, events):
            return whole + separator
        return b"".join(
            event + SEPARATOR for event in events if self._passes(event)
        )

    def _all_plain(self, whole: bytes, events: list[bytes]) -> bool:
        """Pass data events at once if each is as expected.

        Checking event by event costs several times as much.  Whatever is
        out of the ordinary here is left to that check.
        """
        first, count = self.last + 1, len(events)
        starts = [b"id: %d\n" % n for n in range(first, first + count)]
        if (
            DONE in whole
            or whole.count(self._identity) != count
            or not all(map(bytes.startswith, events, starts))
        ):
            return False
        self.last += count
        return True

    def _passes(self, event: bytes) -> bool:
        expected = self.last + 1
        if not event.startswith(b"id: %d\n" % expected):
            number = _number(event)
            # Comments and events without a number carry nothing; a resumed
            # connection may repeat what was passed on before.
            if number is None or number <= self.last:
                return False
            raise SequenceGap(f"{number} follows {self.last}")
        if DONE in event:
            self.done = True
        elif self._identity not in event:
            raise ForeignEvent(f"event {expected}")
        self.last = expected
        return True


def _number(event: bytes) -> int | None:
    first, _, _ = event.partition(b"\n")
    name, _, value = first.partition(b": ")
    if name != b"id" or not value.isdigit():
        return None
    return int(value)
