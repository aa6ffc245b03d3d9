"""Known failing tests, as pytest treats them.

``KNOWN-RED.txt`` at the root lists tests that fail for a fault that is not
mended yet.  A run passes over exactly these and names them.  A listed test
that passes fails the run, so that its line goes with the fault; so does a
line whose test no longer exists, or is skipped, or fails before or after
its own lines run: that is not the fault which was listed.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
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
    entries: Iterable[KnownRed],
    collected: Iterable[str],
    exists: Callable[[str], bool] = lambda path: True,
) -> list[KnownRed]:
    """Return the entries that name no test.

    Parameters
    ----------
    entries : iterable of KnownRed
        What is listed.
    collected : iterable of str
        All tests of the files that were asked for.
    exists : callable
        Whether there is a file.

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
        if entry.test not in tests
        and (entry.path in paths or not exists(entry.path))
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
            # A lenient mark of the test's own must not come first.
            mark = pytest.mark.xfail(reason=reason, strict=True)
            item.add_marker(mark, append=False)
    if _is_narrowed(config):
        return
    collected = [item.nodeid for item in items]
    root = config.rootpath
    for entry in unknown(
        entries.values(), collected, lambda path: (root / path).exists()
    ):
        items.append(StaleEntry.from_parent(session, name=entry.test))


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo
) -> Iterator[pytest.TestReport]:
    """Let a listed test pass over its own failure alone."""
    report = yield
    if item.nodeid not in item.config.stash[_KEY] or not report.skipped:
        return report
    is_own_failure = report.when == "call" and hasattr(report, "wasxfail")
    if not is_own_failure:
        if hasattr(report, "wasxfail"):
            del report.wasxfail
        report.outcome = "failed"
        report.longrepr = f"{FILE_NAME}: not the failure of the test itself"
    return report


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
