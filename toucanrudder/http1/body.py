"""Bytes of a body that arrive piece by piece."""

import collections

#: Bytes up to which small pieces are joined.
PIECE_BYTES = 16_384


class BodyBuffer:
    """Collects a body in pieces of similar size.

    One array that grows is copied to larger and larger places, and leaves
    holes in memory that no other body fits into.
    """

    def __init__(self):
        self._pieces: collections.deque[bytearray] = collections.deque()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def first(self) -> bytearray:
        """The first piece."""
        return self._pieces[0]

    def take_first(self, length: int) -> bytes:
        """Return that much of the first piece, and drop it here."""
        piece = bytes(self.first[:length])
        del self.first[:length]
        if not self.first:
            self._pieces.popleft()
        self._length -= len(piece)
        return piece

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes at the end."""
        last = self._pieces[-1] if self._pieces else None
        if last is None or len(last) + len(data) > PIECE_BYTES:
            self._pieces.append(bytearray(data))
        else:
            last += data
        self._length += len(data)

    def take(self) -> bytes:
        """Return all bytes, and drop them here."""
        body = b"".join(self._pieces)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces.clear()
        self._length = 0
