"""The clock by which the age of claims and leases is judged."""

import time


def now_s() -> float:
    """Return seconds by a clock that runs on while the host is suspended.

    ``CLOCK_MONOTONIC`` stands still while a virtual machine is suspended.
    A router that is resumed after an hour would think its claim a second
    old and dispatch it, long after others judged the claim; or think that
    it still holds a lease that another has taken over.
    ``CLOCK_BOOTTIME`` counts that hour, and no operator or time daemon
    sets it.

    Returns
    -------
    float
        Seconds since the host booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
