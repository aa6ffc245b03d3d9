"""JSON lines on a stream that may stall: bounded, never blocking."""

import collections
import contextlib
import datetime
import logging
import threading
from typing import TextIO

import orjson

#: Lines that wait for the writer.  At some 300 bytes a line this is a few
#: hundred kilobytes, and a second's worth at a thousand requests a second.
MAX_WAITING = 2048

#: Part of the room that routine lines may fill; the rest is kept for
#: refusals, retries and changes of belief.
ROUTINE_SHARE = 0.5

#: Longest text in a field.
MAX_TEXT = 400


class LineHandler(logging.Handler):
    """Hands lines to a thread that writes them.

    When whoever reads the stream stalls, the thread waits, not the
    router: lines that find no room are dropped and counted by kind, and
    the count is written as soon as there is room again.

    Parameters
    ----------
    stream : file
        Where lines go.
    """

    def __init__(self, stream: TextIO):
        super().__init__()
        self._stream = stream
        self._waiting: collections.deque[bytes] = collections.deque()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._ready = threading.Event()
        self._closed = False
        self._thread = threading.Thread(
            target=self._write, name="log lines", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record in."""
        routine = getattr(record, "routine", False)
        room = MAX_WAITING * (ROUTINE_SHARE if routine else 1.0)
        if len(self._waiting) >= room:
            self._dropped[record.getMessage()[:MAX_TEXT]] += 1
            return
        if self._dropped and len(self._waiting) < room / 2:
            self._tell_dropped()
        self._waiting.append(line(record))
        self._ready.set()

    def _tell_dropped(self) -> None:
        dropped, self._dropped = self._dropped, collections.Counter()
        told = dict(dropped.most_common(20))
        self._waiting.append(
            orjson.dumps({"event": "LinesDropped", "kinds": told}) + b"\n"
        )

    def _write(self) -> None:
        while not self._closed or self._waiting:
            self._ready.wait()
            self._ready.clear()
            with contextlib.suppress(OSError, ValueError):
                self._write_waiting()

    def _write_waiting(self) -> None:
        while self._waiting:
            lines = []
            while self._waiting and len(lines) < 64:
                lines.append(self._waiting.popleft())
            self._stream.write(b"".join(lines).decode())
            self._stream.flush()

    def close(self) -> None:
        """Write what waits, unless the stream stalls."""
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
        "event": record.getMessage()[:MAX_TEXT],
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
    """Send all records to the stream as JSON lines."""
    handler = LineHandler(stream)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
