"""Socket options for dead peer detection and for immediate aborts."""

import contextlib
import fcntl
import socket
import struct
import sys

#: Idle time before the first TCP keep-alive probe, interval between probes,
#: and number of unanswered probes that end the connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

#: Milliseconds that written bytes may stay unacknowledged.  The kernel also
#: ends unanswered probes by it, whatever their count, at the first probe that
#: is due later.  It lies between the last two probes: an idle connection to a
#: dead peer ends about three seconds after the last segment, and a sound peer
#: may be silent for longer than a second.
UNACKNOWLEDGED_TIMEOUT_MS = 2_500

#: Bytes that may be unacknowledged because a sound peer does not read: less
#: than the smallest receive window of common systems.
WINDOW_BYTES = 16_384

#: The same timeout once more bytes are unacknowledged.  The kernel applies it
#: to a peer that does not read as well, though its host answers each probe.
UNREAD_TIMEOUT_MS = 10_000

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)

#: Linux ioctls that return the number of unacknowledged bytes, and of those
#: that are unsent.
_SIOCOUTQ = 0x5411
_SIOCOUTQNSD = 0x894B

_LINGER_RESET = struct.pack("ii", 1, 0)

#: States of a connection that both sides can use, and of one that none can,
#: as the first byte of TCP_INFO.
_TCP_ESTABLISHED = b"\x01"
_TCP_CLOSE = b"\x07"


def enable_dead_peer_detection(transport) -> None:
    """Let the kernel end the connection when the peer is unreachable.

    A network partition or a host that lost power sends no reset.  Without
    probes the connection looks open for many minutes, and a pending read
    blocks for as long.  Also disables the Nagle algorithm.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in _SOCKET_OPTIONS:
        # The transport reports a socket that has closed in the meantime.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def bear_slow_reader(transport) -> bool:
    """Give a peer more time to read if it may have stopped reading.

    A peer that stands still for some seconds is sound, but with a full
    receive window it acknowledges no more bytes.

    Returns
    -------
    bool
        Whether it has more time from now on.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    with contextlib.suppress(OSError):
        queued = fcntl.ioctl(sock.fileno(), _SIOCOUTQ, bytes(4))
        if int.from_bytes(queued, sys.byteorder) <= WINDOW_BYTES:
            return False
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_TIMEOUT_MS
        )
        return True
    return False


def end_slow_reader(transport) -> None:
    """Take back what `bear_slow_reader` gave, as the peer has read all."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )


def drop_unsent(transport) -> None:
    """Make a close discard the bytes that the kernel has not sent yet.

    The kernel goes on sending after a close, so a peer whose receive window
    was full would read the whole of an abandoned request, and run it.  If
    everything was sent, the ordinary close is kept: unlike a reset, it is
    retransmitted if it is lost.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    # A socket that has closed in the meantime has nothing left to send.
    with contextlib.suppress(OSError):
        unsent = fcntl.ioctl(sock.fileno(), _SIOCOUTQNSD, bytes(4))
        if any(unsent):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


def was_reset(sock: socket.socket) -> bool:
    """Whether a connection that has ended was reset by its peer.

    A write that meets the reset takes the socket's error, and a later read
    reports an ordinary end of the stream.  After an ordinary one this side of
    the connection is still open.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    return _tcp_state(sock) == _TCP_CLOSE


def has_peer_left(transport) -> bool:
    """Whether a peer has closed or reset a connection that is not read from.

    A close is seen once what the peer sent before it fits into the socket.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    return _tcp_state(sock) != _TCP_ESTABLISHED


def _tcp_state(sock: socket.socket) -> bytes | None:
    """Return the state that TCP_INFO begins with; None if there is none."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return None
