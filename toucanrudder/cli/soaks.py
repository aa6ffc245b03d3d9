"""The command that soaks the router in faults."""

import time

from toucanrudder.cli import exits
from toucanrudder.soak import runs


def soak(
    seed: int, seeds: int, size: runs.Size, folder: str = ""
) -> exits.Exit:
    """Play seeds in turn and print what each has found.

    Parameters
    ----------
    seed : int
        The first; 0 takes it from the clock.
    seeds : int
        How many.
    size : runs.Size
        How large each is.
    folder : str
        Where the logs of the routers are left, or empty.
    """
    first = seed or int(time.time())
    found = exits.Exit.DONE
    for number in range(first, first + seeds):
        result = runs.play(number, size, folder)
        figures = ", ".join(
            f"{name} {value}" for name, value in result.figures.items()
        )
        print(f"seed {number}, broken {len(result.broken)}, {figures}")
        for text in result.broken:
            print(f"  {text}")
        if result.broken:
            found = exits.Exit.FAILED
    return found
