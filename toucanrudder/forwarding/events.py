"""Splitting of a byte stream into server-sent events.  No I/O."""

#: Longest event that is buffered; a longer one is an error.
MAX_EVENT_BYTES = 1_048_576

_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Splits a stream into complete events.

    An upstream that crashes may stop within an event.  If that fragment
    were relayed, it would be joined with the first event of the run that
    continues elsewhere.

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
        """Return the events that the content completes."""
        pending = self.rest + content
        complete = []
        while (end := _end_of_event(pending)) >= 0:
            complete.append(pending[:end])
            pending = pending[end:]
        if len(pending) > MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit")
        self.rest = pending
        return complete


def _end_of_event(pending: bytes) -> int:
    ends = [
        position + len(separator)
        for separator in _SEPARATORS
        if (position := pending.find(separator)) >= 0
    ]
    return min(ends, default=-1)
