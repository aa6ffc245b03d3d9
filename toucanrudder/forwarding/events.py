"""Server-sent events as whole pieces of bytes.  No I/O."""

#: Longest event that is held until its end; a longer one is no event.
MAX_EVENT_BYTES = 1_048_576

_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Cuts a stream at the ends of its events.

    An upstream that crashes may stop in the middle of an event.  Passed
    on, that half would be joined with the first event of the run that
    goes on elsewhere.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.feed(b"ta: b\\n\\n"), splitter.rest
    ([b'id: 2\\ndata: b\\n\\n'], b'')
    """

    def __init__(self):
        self.rest = b""

    def feed(self, content: bytes) -> list[bytes]:
        """Return the events that are whole now."""
        pending = self.rest + content
        found = []
        while (end := _end_of_event(pending)) >= 0:
            found.append(pending[:end])
            pending = pending[end:]
        if len(pending) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        self.rest = pending
        return found


def _end_of_event(pending: bytes) -> int:
    ends = [
        found + len(each)
        for each in _SEPARATORS
        if (found := pending.find(each)) >= 0
    ]
    return min(ends, default=-1)
