"""Ends of connections as the sockets show them."""

import contextlib
import socket

import pytest

from toucanrudder.http1 import sockets
from toucanrudder.testing import resets


@contextlib.contextmanager
def connected():
    """Yield both ends of a connection on loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
        with near, far:
            yield near, far


def meet_in_read(sock):
    """Leave the error in the socket."""


def meet_in_write(sock):
    """Let a write take the socket's error, as a long upload does."""
    with contextlib.suppress(ConnectionError):
        sock.send(b"upload")
    assert sock.recv(9) == b""


@pytest.mark.parametrize("meet", [meet_in_read, meet_in_write])
def test_reset_is_seen_whatever_meets_it_first(meet):
    """Guards against a reset that is taken for the end of a body."""
    with connected() as (near, far):
        resets.reset_on_close(far)
        far.close()
        meet(near)
        assert sockets.was_reset(near)


@pytest.mark.parametrize("sent", [b"", b"upload"])
def test_end_in_order_is_no_reset(sent):
    with connected() as (near, far):
        near.send(sent)
        if sent:
            far.recv(9)
        far.shutdown(socket.SHUT_WR)
        assert near.recv(9) == b""
        assert not sockets.was_reset(near)
        far.close()
        assert not sockets.was_reset(near)
