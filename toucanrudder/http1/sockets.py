"""Options that make a silent connection end, and an abandoned one end now."""

import contextlib
import fcntl
import socket
import struct

#: Idle seconds before the first keep-alive probe, seconds between probes
#: and probes without an answer: a path that has gone silent is noticed
#: within about three seconds, also while nobody sends.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2

#: Milliseconds that written bytes may stay unacknowledged: several
#: retransmissions on a lossy link between zones, and a third of the time
#: after which callers give a new connection up.
UNACKNOWLEDGED_MS = 1_000

_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)

#: Linux: bytes that were written and not sent yet (SIOCOUTQNSD).
_UNSENT_BYTES = 0x894B

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def guard(transport) -> None:
    """Let the kernel end the connection when its path goes silent.

    A partition or a host without power sends no reset.  Without probes
    the connection looks open for many minutes, and whoever waits on it
    waits as long.
    """
    found = transport.get_extra_info("socket")
    if found is None:
        return
    for level, option, value in _OPTIONS:
        # A socket that has closed meanwhile is told by the transport.
        with contextlib.suppress(OSError):
            found.setsockopt(level, option, value)


def drop_unsent(transport) -> None:
    """Let a close drop what the kernel has not sent yet.

    The kernel goes on sending after a close.  A peer whose window was full
    would read the whole of a request that has been given up, and run it.
    Where everything was sent an ordinary close is better: unlike a reset
    it is sent again if it is lost.
    """
    found = transport.get_extra_info("socket")
    if found is None or found.fileno() < 0:
        return
    # A socket that has closed meanwhile has nothing left to send.
    with contextlib.suppress(OSError):
        unsent = fcntl.ioctl(found.fileno(), _UNSENT_BYTES, bytes(4))
        if any(unsent):
            found.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
