"""Runs one point of a measurement in a fresh process."""

from collections.abc import Callable
from concurrent import futures
import gc
import multiprocessing
import os
import pathlib
import statistics
import time

import attrs

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.define
class Meter:
    """Processor time and memory since the start of a stretch."""

    cpu_s: float = attrs.field(factory=time.process_time)
    rss_bytes: int = attrs.field(factory=lambda: resident_bytes())

    def spent_s(self) -> float:
        """Return processor seconds of this process since the start."""
        return time.process_time() - self.cpu_s

    def grown_bytes(self) -> int:
        """Return by how much resident memory grew since the start."""
        gc.collect()
        return resident_bytes() - self.rss_bytes


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def processor_s(pid: int) -> float:
    """Return the processor seconds that a process has spent."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def point(
    function: Callable[[int], dict], size: int, repeats: int = 3
) -> dict:
    """Call the function in fresh processes; return medians.

    Memory that an earlier point gave back to the interpreter would hide
    the growth of a later one, so that each call has its own process.  The
    median leaves out a call that shared its core with other work.
    """
    context = multiprocessing.get_context("spawn")
    found = []
    for _ in range(repeats):
        with futures.ProcessPoolExecutor(1, mp_context=context) as pool:
            found.append(pool.submit(function, size).result())
    medians = {
        name: statistics.median(each[name] for each in found)
        for name in found[0]
    }
    return {"x": size, **medians}
