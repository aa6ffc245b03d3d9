"""Memory for what others send a router, until it has been read in full.

An upstream in trouble may send bytes without end, and many may do so at
once.  A bound for each answer alone is none for all of them.
"""

from collections.abc import Iterator
import contextlib

from toucanrudder.http1 import json_text

#: Part of each answer that needs no room: that of a sound upstream is hardly
#: longer, and is read whatever others send meanwhile.
FREE_BYTES = 16_384

#: Values of an answer's JSON, of which an object needs about a hundred bytes
#: each: several times those of the longest page of a list.
MAX_VALUES = 262_144


class AnswerRoom:
    """Room for all answers of one kind that are being read.

    Parameters
    ----------
    max_answer_bytes : int
        Largest answer.
    max_bytes : int
        What all answers may occupy together beside `FREE_BYTES` each.

    Examples
    --------
    >>> room = AnswerRoom(100_000, 120_000)
    >>> with room.reading() as first, room.reading() as second:
    ...     first.add(bytes(100_000))
    ...     try:
    ...         second.add(bytes(100_000))
    ...     except json_text.Unreadable as error:
    ...         print(error)
    too much is being read at once
    >>> room.held_bytes
    0
    """

    def __init__(self, max_answer_bytes: int, max_bytes: int):
        self.max_answer_bytes = max_answer_bytes
        self.max_bytes = max_bytes
        self.held_bytes = 0

    @contextlib.contextmanager
    def reading(self) -> Iterator["PartialAnswer"]:
        """Yield an answer that holds its room until the end of the block."""
        answer = PartialAnswer(self)
        try:
            yield answer
        finally:
            answer.hold(0)


class PartialAnswer:
    """An answer that is being read.

    Parameters
    ----------
    room : AnswerRoom
        Where it has its room.
    """

    def __init__(self, room: AnswerRoom):
        self._room = room
        self._content = bytearray()
        self._held_bytes = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing of it has been kept."""
        return not self._content

    def expect(self, size_bytes: int | None) -> None:
        """Check the size that an answer states, if it states one.

        Raises
        ------
        Unreadable
            It is too large.
        """
        if (size_bytes or 0) > self._room.max_answer_bytes:
            raise json_text.Unreadable("the answer is too large")

    def add(self, content: bytes) -> None:
        """Keep a piece of it; raise as `hold`."""
        self.hold(len(self._content) + len(content))
        self._content += content

    def hold(self, size_bytes: int) -> None:
        """Count what is held of it by now.

        Raises
        ------
        Unreadable
            It is too large, or all answers together are.
        """
        self.expect(size_bytes)
        held_bytes = max(0, size_bytes - FREE_BYTES)
        room_bytes = self._room.held_bytes + held_bytes - self._held_bytes
        if held_bytes > self._held_bytes and (
            room_bytes > self._room.max_bytes
        ):
            raise json_text.Unreadable("too much is being read at once")
        self._room.held_bytes, self._held_bytes = room_bytes, held_bytes

    def parse(self) -> object:
        """Return the value of its JSON; an empty object without content.

        Raises
        ------
        Unreadable
            It cannot be parsed, or has too many values.
        """
        content = bytes(self._content)
        # Each value has at least a character and a mark.
        if len(content) > MAX_VALUES and (
            json_text.count_values(content) > MAX_VALUES
        ):
            raise json_text.Unreadable("the answer has too many values")
        return json_text.parse(content)
