"""Writes the tables of ``docs/CAPACITY.md`` from the kept records.

Run ``python -m toucanrudder.bench.capacity.page`` in the repository's root
after a measurement; a test compares page and records.
"""

from collections.abc import Callable
from collections.abc import Iterator
import pathlib
import re

from toucanrudder.bench.capacity import extrapolation
from toucanrudder.bench.capacity import records

PAGE = pathlib.Path("docs/CAPACITY.md")


def _number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def _load(directory: pathlib.Path) -> dict[str, records.Record]:
    names = sorted(path.stem for path in directory.glob("*.json"))
    return {name: records.load(name, directory) for name in names}


def _slope_lines(known: dict[str, records.Record]) -> Iterator[str]:
    yield "| record | quantity | per unit of size | fixed part | worst point |"
    yield "| --- | --- | --- | --- | --- |"
    for name, record in known.items():
        for quantity, unit in record.units.items():
            line = record.fit(quantity)
            yield (
                f"| `{name}` | {quantity}, {unit} "
                f"| {_number(line.slope)} ± {_number(line.slope_error)} "
                f"| {_number(line.intercept)} | {line.worst:.0%} off |"
            )


def _run_lines(known: dict[str, records.Record]) -> Iterator[str]:
    yield "| record | command | begun (UTC) | sizes | load before, after |"
    yield "| --- | --- | --- | --- | --- |"
    for name, record in known.items():
        sizes = ", ".join(f"{point['x']:,}" for point in record.points)
        yield (
            f"| [`{name}`](capacity/{name}.json) | `{record.command}` "
            f"| {record.started} | {sizes} {record.size} "
            f"| {record.machine['load_1m']}, "
            f"{record.machine['load_1m_at_end']} |"
        )


def _target_lines(known: dict[str, records.Record]) -> Iterator[str]:
    yield "| at the target size | from | value | allowed | |"
    yield "| --- | --- | --- | --- | --- |"
    for line in extrapolation.LINES:
        value = line.value(known)
        allowed = "" if line.bound is None else _number(line.bound)
        yield (
            f"| {line.what} | {line.how} | {_number(value)} {line.unit} "
            f"| {allowed} | {extrapolation.verdict(value, line.bound)} |"
        )


TABLES: dict[str, Callable[[dict[str, records.Record]], Iterator[str]]] = {
    "runs": _run_lines,
    "slopes": _slope_lines,
    "target": _target_lines,
}


def filled(text: str, directory: pathlib.Path = records.DIRECTORY) -> str:
    """Return the page's text with its tables made anew.

    Parameters
    ----------
    text : str
        The page; ``<!-- table NAME -->`` and ``<!-- end -->`` enclose each
        table.
    directory : pathlib.Path
        Where the records are.
    """
    known = _load(directory)

    def table(match: re.Match) -> str:
        lines = "\n".join(TABLES[match.group(1)](known))
        return f"<!-- table {match.group(1)} -->\n{lines}\n<!-- end -->"

    pattern = r"<!-- table (\w+) -->\n.*?<!-- end -->"
    return re.sub(pattern, table, text, flags=re.DOTALL)


def main() -> None:
    """Write the page's tables."""
    PAGE.write_text(filled(PAGE.read_text(encoding="utf-8")), encoding="utf-8")


if __name__ == "__main__":
    main()
