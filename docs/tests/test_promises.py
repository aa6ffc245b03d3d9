"""The table of promises names only what exists."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "promises.md"
QUOTED = re.compile(r"`([\w.]+)`")
SOURCES = "\n".join(
    path.read_text(encoding="utf-8")
    for path in sorted((ROOT / "toucanrudder").rglob("*.py"))
)


def cells(title: str) -> list[str]:
    """Return the quoted words under the columns of this title."""
    found, column = [], None
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        row = [cell.strip() for cell in line.strip("| ").split(" | ")]
        if not line.startswith("|"):
            column = None
        elif title in row:
            column = row.index(title)
        elif column is not None:
            # An empty last cell loses its bars to the strip above.
            row = [cell.strip() for cell in line[1:].split("|")]
            found += QUOTED.findall(row[column])
    return found


def test_there_are_nine_promises():
    rows = re.findall(r"(?m)^\| (\d)\. ", PAGE.read_text(encoding="utf-8"))
    assert rows == [str(number) for number in range(1, 10)]


@pytest.mark.parametrize("name", sorted(set(cells("tests"))))
def test_a_named_test_exists(name):
    made = rf"\bdef {name}\(|(?m:^)(?:class )?{name}\b"
    assert re.search(made, SOURCES)


@pytest.mark.parametrize("name", sorted(set(cells("counters"))))
def test_a_named_counter_exists(name):
    assert f'"{name}"' in SOURCES


@pytest.mark.parametrize("name", sorted(set(cells("mechanism"))))
def test_a_named_module_exists(name):
    path = ROOT / "toucanrudder" / name.replace(".", "/")
    assert path.with_suffix(".py").exists() or path.is_dir()
