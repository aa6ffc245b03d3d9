"""Printing of results, as text or as JSON."""

from collections.abc import Iterable
from collections.abc import Mapping
import json
import sys


def emit_json(value: object) -> None:
    """Print the value as indented JSON on standard output."""
    json.dump(value, sys.stdout, indent=2, ensure_ascii=False)
    print()


def table(rows: Iterable[Mapping], columns: Iterable[str]) -> str:
    """Return rows as text in aligned columns.

    Examples
    --------
    >>> print(table([{"name": "r1", "generation": 4}], ["name", "generation"]))
    name  generation
    r1    4
    """
    columns = list(columns)
    cells = [columns]
    cells += [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )
    return "\n".join(lines)


def complain(text: str) -> None:
    """Print one line on standard error."""
    print(text, file=sys.stderr)
