"""Known failing tests, as pytest treats them.

``KNOWN-RED.txt`` at the root lists tests that fail for a fault that is not
mended yet.  A run passes over exactly these and names them.  A listed test
that passes fails the run, so that its line goes with the fault; so does a
line whose test no longer exists.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import pathlib

import attrs
import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
COMMENT = "#"

_KEY = pytest.StashKey["dict[str, KnownRed]"]()


@attrs.frozen
class KnownRed:
    """One line of the file.

    Parameters
    ----------
    test : str
        Exact identity of the test: path, name and parameters.
    command : str
        What shows the failure, with its seed.
    seen : str
        What was seen.
    issue : str
        Where the fault is followed.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def path(self) -> str:
        """The test's file, from the root."""
        return self.test.partition("::")[0]


_FIELDS = len(attrs.fields(KnownRed))


def parse(text: str) -> dict[str, KnownRed]:
    """Return the entries by test.

    Raises
    ------
    ValueError
        A line lacks a field, or a test is listed twice.

    Examples
    --------
    >>> found = parse("t.py::test_a[1] | pytest t.py | hangs | issue 7")
    >>> found["t.py::test_a[1]"].issue, found["t.py::test_a[1]"].path
    ('issue 7', 't.py')
    """
    found: dict[str, KnownRed] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith(COMMENT):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != _FIELDS or not all(fields):
            raise ValueError(f"not {_FIELDS} fields: {line!r}")
        entry = KnownRed(*fields)
        if entry.test in found:
            raise ValueError(f"listed twice: {entry.test}")
        found[entry.test] = entry
    return found


def read(root: pathlib.Path) -> dict[str, KnownRed]:
    """Return what is listed at a project's root; nothing without a file."""
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else {}


def unknown(
    entries: Iterable[KnownRed], collected: Iterable[str]
) -> list[KnownRed]:
    """Return the entries that name no test of a file that was collected.

    Examples
    --------
    >>> entry = KnownRed("t.py::test_a", "pytest", "hangs", "issue 7")
    >>> unknown([entry], ["t.py::test_b"]) == [entry]
    True
    >>> unknown([entry], ["u.py::test_b"])
    []
    """
    tests = set(collected)
    paths = {test.partition("::")[0] for test in tests}
    return [
        entry
        for entry in entries
        if entry.path in paths and entry.test not in tests
    ]


class StaleEntry(pytest.Item):
    """Fails in place of a listed test that no longer exists."""

    def runtest(self) -> None:
        """Fail."""
        pytest.fail(f"{FILE_NAME}: no such test: {self.name}", pytrace=False)


def _is_narrowed(config: pytest.Config) -> bool:
    """Whether the run was asked for a part of some file's tests."""
    option = config.option
    return bool(option.keyword or option.markexpr or option.deselect) or any(
        "::" in argument for argument in config.args
    )


def pytest_configure(config: pytest.Config) -> None:
    """Read the list."""
    try:
        config.stash[_KEY] = read(config.rootpath)
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    session: pytest.Session,
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Expect the listed tests to fail, and no others."""
    entries: Mapping[str, KnownRed] = config.stash[_KEY]
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    if _is_narrowed(config):
        return
    for entry in unknown(entries.values(), [item.nodeid for item in items]):
        items.append(StaleEntry.from_parent(session, name=entry.test))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Name what the run passed over, or what no longer fails."""
    entries: Mapping[str, KnownRed] = config.stash[_KEY]
    if not entries:
        return
    failed = {each.nodeid for each in terminalreporter.getreports("xfailed")}
    passed = {each.nodeid for each in terminalreporter.getreports("failed")}
    terminalreporter.section("known reds")
    for entry in entries.values():
        outcome = "not run"
        if entry.test in failed:
            outcome = "fails as listed"
        elif entry.test in passed:
            outcome = "does not fail as listed"
        terminalreporter.line(
            f"{entry.test}: {outcome} ({entry.issue}: {entry.seen})"
        )
