"""Reads of bounded size, so that no single one occupies much memory."""

import asyncio

#: Bytes that are read from a socket at once.
READ_BYTES = 16_384


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol that is given what was read in pieces of bounded size.

    All connections read into one buffer, as each piece is copied out of it
    before the event loop reads for another one.
    """

    _buffer = memoryview(bytearray(READ_BYTES))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes that were received."""
        raise NotImplementedError
