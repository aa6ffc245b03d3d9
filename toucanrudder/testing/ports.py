"""Ports for processes that bind them later."""

from collections.abc import Iterator
import contextlib
import os
import random
import socket

HOST = "127.0.0.1"

#: Below those that the kernel gives to outgoing connections: one that the
#: kernel had picked may be taken before the process binds it, or while a
#: killed one is down.
PORTS = range(10_000, 32_000)

#: Parts of the ports of which each process uses one: what is free when
#: one looks may be given by another as well, until it is bound.
PARTS = 8

_RNG = random.SystemRandom()
_given: set[int] = set()


def free() -> int:
    """Return a port that nobody listens on, another one at each call."""
    own = PORTS[os.getpid() % PARTS :: PARTS]
    if len(_given) >= len(own):
        raise RuntimeError("this process has been given all its ports")
    while True:
        port = _RNG.choice(own)
        if port in _given:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _given.add(port)
            return port


@contextlib.contextmanager
def reserved(count: int) -> Iterator[list[int]]:
    """Keep ports for the block; afterwards they may be given again."""
    found = [free() for _ in range(count)]
    try:
        yield found
    finally:
        _given.difference_update(found)
