"""Bytes of a body that arrive piece by piece."""

#: Bytes up to which small pieces are joined.
PIECE_BYTES = 16_384


class BodyBuffer:
    """Collects a body in pieces of similar size.

    One array that grows is copied to larger and larger places, and leaves
    holes in memory that no other body fits into.
    """

    def __init__(self):
        self._pieces: list[bytes | bytearray] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

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
