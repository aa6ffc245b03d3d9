"""One request's way, from the collected lines of many routers."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib

import attrs

#: Fields that say which line it is, not what it says.
_HEAD = ("at", "level", "event", "request_id", "file")


@attrs.frozen
class Line:
    """A log line that speaks of the request.

    Parameters
    ----------
    at : str
        Wall clock of the router that wrote it.
    file : str
        Where it was found.
    event : str
        Kind of the line.
    fields : dict
        What it says.
    """

    at: str
    file: str
    event: str
    fields: dict

    def text(self) -> str:
        """Return the line for a person."""
        said = ", ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if value not in ("", None)
        )
        return f"{self.at}  {self.file}  {self.event}: {said}"


def objects(lines: Iterable[str]) -> Iterator[dict]:
    """Return what the lines of a collected log say; others are left out."""
    for raw in lines:
        # Collectors put a time or a name before each line.
        start = raw.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(found, dict):
            yield found


def lines_of(paths: Iterable[pathlib.Path], request_id: str) -> list[Line]:
    """Return the request's lines in order of their time.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Collected output of routers.
    request_id : str
        As the caller sent it.
    """
    found = [
        Line(
            each.get("at", ""),
            path.name,
            each.get("event", ""),
            {key: each[key] for key in each if key not in _HEAD},
        )
        for path in paths
        for each in objects(path.read_text(errors="replace").splitlines())
        if each.get("request_id") == request_id
    ]
    return sorted(found, key=lambda line: line.at)
