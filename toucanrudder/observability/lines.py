"""Non-blocking JSON log handler with a bounded queue."""

import collections
import contextlib
import datetime
import logging
import threading
from typing import TextIO

import orjson

#: Lines that may wait for the writer thread.  At some 300 bytes a line this
#: is a few hundred kilobytes, or one second at 1000 requests per second.
MAX_QUEUED_LINES = 2048

#: Share of the queue that routine lines may fill; the rest is reserved for
#: refusals, retries and state changes.
ROUTINE_SHARE = 0.5

#: Longest event name or message of a line, in characters.
MAX_MESSAGE_CHARS = 400


class LineHandler(logging.Handler):
    """Log handler that writes its lines in a background thread.

    When the reader of the stream stalls, only the thread blocks, never
    the router.  Lines that do not fit into the queue are dropped and
    counted by event; the counts are written once there is room again.

    Parameters
    ----------
    stream : file
        Output stream of the lines.
    """

    def __init__(self, stream: TextIO):
        super().__init__()
        self._stream = stream
        self._queue: collections.deque[bytes] = collections.deque()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._ready = threading.Event()
        self._closed = False
        self._thread = threading.Thread(
            target=self._write, name="log lines", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped when the queue is full."""
        routine = getattr(record, "routine", False)
        room = MAX_QUEUED_LINES * (ROUTINE_SHARE if routine else 1.0)
        if len(self._queue) >= room:
            self._dropped[record.getMessage()[:MAX_MESSAGE_CHARS]] += 1
            return
        if self._dropped and len(self._queue) < room / 2:
            self._queue_dropped_counts()
        self._queue.append(line(record))
        self._ready.set()

    def _queue_dropped_counts(self) -> None:
        dropped, self._dropped = self._dropped, collections.Counter()
        counts = dict(dropped.most_common(20))
        self._queue.append(
            orjson.dumps({"event": "LinesDropped", "kinds": counts}) + b"\n"
        )

    def _write(self) -> None:
        while not self._closed or self._queue:
            self._ready.wait()
            self._ready.clear()
            with contextlib.suppress(OSError, ValueError):
                self._write_queued()

    def _write_queued(self) -> None:
        while self._queue:
            lines = []
            while self._queue and len(lines) < 64:
                lines.append(self._queue.popleft())
            self._stream.write(b"".join(lines).decode())
            self._stream.flush()

    def close(self) -> None:
        """Write the queued lines, unless the stream stalls for 0.5 s."""
        self._closed = True
        self._ready.set()
        self._thread.join(timeout=0.5)
        super().close()


def line(record: logging.LogRecord) -> bytes:
    """Return a record as one line of JSON."""
    at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    fields = {
        "at": at.isoformat(timespec="milliseconds"),
        "level": record.levelname.lower(),
        "event": record.getMessage()[:MAX_MESSAGE_CHARS],
    }
    event = getattr(record, "event", None)
    if event is not None:
        fields |= event
    else:
        fields["logger"] = record.name
        for name in ("step", "peer", "code", "request_id"):
            if getattr(record, name, None):
                fields[name] = getattr(record, name)
    if record.exc_info:
        text = logging.Formatter().formatException(record.exc_info)
        fields["exception"] = text[-2000:]
    return orjson.dumps(fields, default=str) + b"\n"


def set_up(level: str, stream: TextIO) -> LineHandler:
    """Make the root logger write all records to the stream as JSON lines."""
    handler = LineHandler(stream)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
