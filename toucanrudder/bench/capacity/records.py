"""The record of a measurement, as it is kept in the repository."""

import datetime
import json
import os
import pathlib
import platform

import attrs

from toucanrudder.bench.capacity import fits

DIRECTORY = pathlib.Path("docs/capacity")


@attrs.frozen
class Record:
    """One run of a measurement.

    Parameters
    ----------
    name : str
        Name of the measurement.
    command : str
        What was run.
    started : str
        UTC date and time at which it began.
    machine : dict
        Processors, load average at the start and at the end, Python.
    size : str
        What `x` counts.
    units : dict
        Unit of each measured quantity.
    points : list of dict
        ``{"x": size, quantity: value, …}``.
    notes : str
        Conditions of the run.
    """

    name: str
    command: str
    started: str
    machine: dict
    size: str
    units: dict[str, str]
    points: list[dict]
    notes: str = ""

    def fit(self, quantity: str) -> fits.Fit:
        """Return the line of a quantity over the sizes."""
        return fits.fit(
            [point["x"] for point in self.points],
            [point[quantity] for point in self.points],
        )


def now() -> str:
    """Return the present UTC time, to the second."""
    present = datetime.datetime.now(datetime.UTC)
    return present.strftime("%Y-%m-%dT%H:%M:%SZ")


def machine() -> dict:
    """Describe the machine as far as figures depend on it."""
    return {
        "processors": os.cpu_count(),
        "load_1m": round(os.getloadavg()[0], 1),
        "python": platform.python_version(),
    }


def save(record: Record, directory: pathlib.Path = DIRECTORY) -> pathlib.Path:
    """Write the record; return its path."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{record.name}.json"
    text = json.dumps(attrs.asdict(record), indent=1)
    path.write_text(text + "\n", encoding="utf-8")
    return path


def load(name: str, directory: pathlib.Path = DIRECTORY) -> Record:
    """Read a record by its name."""
    path = directory / f"{name}.json"
    return Record(**json.loads(path.read_text(encoding="utf-8")))
