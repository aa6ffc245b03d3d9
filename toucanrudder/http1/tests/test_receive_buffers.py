"""Tests of the sizes of receive buffers."""

import socket

import attrs
import pytest

from toucanrudder.http1 import receive_buffers

BOUND_BYTES = 2_750_000


@attrs.define(eq=False)
class FakeTransport:
    """A transport with a socket of its own."""

    sock: socket.socket = attrs.field(factory=socket.socket)

    def get_extra_info(self, name):
        return self.sock if name == "socket" else None

    @property
    def size_bytes(self):
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


@pytest.fixture
def opened():
    """Transports, closed at the end of the test."""
    transports = [FakeTransport() for _ in range(300)]
    yield transports
    for transport in transports:
        transport.sock.close()


def _buffers():
    return receive_buffers.ReceiveBuffers(lambda: BOUND_BYTES)


def test_sum_never_exceeds_the_bound(opened):
    """Guards against bytes of a crowd that wait unread in the kernel."""
    buffers = _buffers()
    for count, transport in enumerate(opened, start=1):
        buffers.add(transport)
        sizes = [each.size_bytes for each in opened[:count]]
        assert len(set(sizes)) == 1
        assert sum(sizes) <= BOUND_BYTES


def test_buffers_grow_again_once_a_crowd_has_left(opened):
    """Guards against callers who are slowed down by a crowd that has left."""
    buffers = _buffers()
    buffers.add(opened[0])
    calm_bytes = opened[0].size_bytes
    for transport in opened[1:]:
        buffers.add(transport)
    assert opened[0].size_bytes < calm_bytes
    for transport in opened[1:]:
        transport.sock.close()
        buffers.remove(transport)
    assert opened[0].size_bytes == calm_bytes == receive_buffers.MAX_BYTES


def test_size_does_not_change_with_each_connection(opened):
    """Guards against all sockets being set whenever one comes or goes."""
    buffers = _buffers()
    for transport in opened[:21]:
        buffers.add(transport)
    sizes = set()
    for _ in range(10):
        buffers.add(opened[21])
        sizes.add(buffers.size_bytes)
        buffers.remove(opened[21])
        sizes.add(buffers.size_bytes)
    assert len(sizes) == 1


COUNTS = {
    "one": (1, receive_buffers.MAX_BYTES),
    "tens": (100, 16_384),
    "more than the bound has room for": (
        100_000,
        receive_buffers.MIN_BYTES,
    ),
}


@pytest.mark.parametrize(
    ("connections", "expected"), COUNTS.values(), ids=COUNTS.keys()
)
def test_size_follows_from_the_number_of_connections(connections, expected):
    size_bytes = receive_buffers.buffer_bytes(
        BOUND_BYTES, connections, receive_buffers.MAX_BYTES
    )
    assert size_bytes == expected
