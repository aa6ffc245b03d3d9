"""Resources of this machine, for settings that do not state them."""

import functools
import os
import pathlib
import resource

BYTES_PER_MB = 1_000_000


@functools.cache
def memory_bytes() -> int:
    """Return the machine's memory in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


@functools.cache
def max_descriptors() -> int:
    """Return how many descriptors this process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2**20 if limit == resource.RLIM_INFINITY else limit


def resident_bytes() -> int:
    """Return the memory that this process has resident."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
