"""The start of a process: imports that stay for good."""

from collections.abc import Iterator
import contextlib
import gc


@contextlib.contextmanager
def for_good() -> Iterator[None]:
    """Import in the block without collections, and never look through it.

    What is imported stays: looked through by the collector again and
    again, it takes a tenth of the start, and part of each later pause.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
