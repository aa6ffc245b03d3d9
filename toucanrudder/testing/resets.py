"""Connections that are reset on purpose."""

import socket
import struct

_RESET = struct.pack("ii", 1, 0)


def reset_on_close(sock: socket.socket) -> None:
    """Make the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
