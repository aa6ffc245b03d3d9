"""Turns of connections whose bytes need long to parse.

A caller may send a body in chunks of one byte.  The parser makes an event of
each, so that the bytes of a single read take a tenth of a second, and those
of a crowd minutes.  Requests of others, heartbeats and timers must not wait
for all of them.
"""

import asyncio
import collections
from typing import Protocol

#: Events of the parser that are handled in one turn of the event loop, a few
#: milliseconds' work, and those of one connection among them.
EVENTS_PER_TURN = 512
EVENTS_PER_CONNECTION = 64

#: Bytes of a connection that may wait for their turn.  Reading goes on up to
#: them, as the end of a connection is seen only behind all of its bytes.
READ_AHEAD_BYTES = 131_072


class Parsing(Protocol):
    """A connection whose received bytes are not all parsed."""

    @property
    def awaits_turn(self) -> bool:
        """Whether it has events left."""

    def read_events(self, at_most: int) -> int:
        """Handle some events; return how many there were."""


class Turns:
    """Lets connections handle their events by turns of the event loop."""

    def __init__(self):
        self._waiting: collections.deque[Parsing] = collections.deque()
        self._is_scheduled = False
        self._events = 0

    def claim_events(self, events: int) -> bool:
        """Return whether a connection may handle events without waiting.

        It may while the events of the present turn last.  Otherwise many
        requests that arrive at once all begin before one can be refused.
        """
        if self._events + events > EVENTS_PER_TURN:
            return False
        self._events += events
        self._schedule()
        return True

    def append(self, connection: Parsing) -> None:
        """Let a connection handle events in the next turns."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled and (self._waiting or self._events):
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_scheduled = False
        self._events = 0
        while self._waiting and self._events < EVENTS_PER_TURN:
            connection = self._waiting.popleft()
            if not connection.awaits_turn:
                continue
            self._events += connection.read_events(EVENTS_PER_CONNECTION)
            if connection.awaits_turn:
                self._waiting.append(connection)
        self._schedule()
