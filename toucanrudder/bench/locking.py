"""Keeps two benches from measuring each other."""

from collections.abc import Iterator
import contextlib
import fcntl
import pathlib
import tempfile

PATH = pathlib.Path(tempfile.gettempdir(), "toucanrudder-bench.lock")


class BenchRunning(Exception):
    """Another bench is running on this machine."""


@contextlib.contextmanager
def only_one(path: pathlib.Path = PATH) -> Iterator[None]:
    """Hold the machine's bench lock while the block runs.

    The lock is the kernel's and ends with the process, so that a killed
    bench blocks nobody.

    Parameters
    ----------
    path : pathlib.Path
        File that is locked.

    Raises
    ------
    BenchRunning
        Somebody else holds it.
    """
    with path.open("a") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise BenchRunning(f"{path} is locked") from error
        yield
