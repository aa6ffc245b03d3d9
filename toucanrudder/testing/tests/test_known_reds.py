"""How a run treats the tests that are listed as failing.

A list that nobody reads lets a fault hide in two ways: the whole run is
red, and nobody looks; or a mended test stays listed, and its next failure
passes unseen.
"""

import pytest

from toucanrudder.testing import known_reds

TESTS = """
import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_number(number):
    assert number == 2
"""
ODD_TESTS = """
import pytest

@pytest.fixture
def broken():
    raise OSError

@pytest.fixture
def broken_at_the_end():
    yield
    raise OSError

def test_with_a_broken_fixture(broken):
    pass

def test_that_ends_badly(broken_at_the_end):
    raise OSError

@pytest.mark.skip
def test_skipped():
    pass

@pytest.mark.xfail(strict=False)
def test_with_a_lenient_mark():
    pass
"""
FAILING = "test_it.py::test_number[1]"
PASSING = "test_it.py::test_number[2]"


def line(test):
    return f"{test} | pytest test_it.py, no seed | an odd number | issue 7\n"


@pytest.fixture
def run(pytester):
    """Return what runs the tests above with a list."""
    pytester.makeconftest(
        'pytest_plugins = ["toucanrudder.testing.known_reds"]'
    )
    pytester.makepyfile(test_it=TESTS)

    def run_with(listed, *arguments):
        (pytester.path / known_reds.FILE_NAME).write_text(listed)
        return pytester.runpytest_inprocess("-p", "no:xdist", *arguments)

    return run_with


RUNS = {
    "nothing is listed": ("", {"failed": 1, "passed": 1}),
    "exactly the failing one": (
        line(FAILING),
        {"xfailed": 1, "passed": 1},
    ),
    "one that passes": (
        line(FAILING) + line(PASSING),
        {"xfailed": 1, "failed": 1},
    ),
    "a part of its name": (
        line(FAILING.partition("[")[0]),
        {"failed": 2, "passed": 1},
    ),
    "a test that is gone": (
        line(FAILING) + line("test_it.py::test_gone"),
        {"xfailed": 1, "passed": 1, "failed": 1},
    ),
    "a test whose file is gone": (
        line("test_gone.py::test_it"),
        {"failed": 2, "passed": 1},
    ),
    "a line without an issue": ("test_it.py::test_number[1] | x | y", None),
    "one test twice": (line(FAILING) * 2, None),
}


@pytest.mark.parametrize(("listed", "outcomes"), RUNS.values(), ids=RUNS)
def test_a_run_passes_over_exactly_what_is_listed(run, listed, outcomes):
    result = run(listed)
    if outcomes is None:
        assert result.ret == pytest.ExitCode.USAGE_ERROR
        return
    result.assert_outcomes(**outcomes)
    is_green = "failed" not in outcomes
    assert result.ret == (0 if is_green else pytest.ExitCode.TESTS_FAILED)


@pytest.mark.parametrize(
    ("test", "said"),
    [(FAILING, "fails as listed"), (PASSING, "does not fail as listed")],
)
def test_a_run_names_what_is_listed(run, test, said):
    result = run(line(test))
    result.stdout.fnmatch_lines([f"*{said} (issue 7: an odd number)*"])


def test_a_run_of_one_other_test_needs_no_listed_one(run):
    result = run(line(FAILING), PASSING)
    result.assert_outcomes(passed=1)
    result.stdout.fnmatch_lines(["*not run (issue 7: an odd number)*"])


ODD = (
    "test_with_a_broken_fixture",
    "test_that_ends_badly",
    "test_skipped",
    "test_with_a_lenient_mark",
)


@pytest.mark.parametrize("name", ODD)
def test_only_the_listed_failure_itself_is_passed_over(run, pytester, name):
    pytester.makepyfile(test_odd=ODD_TESTS)
    test = f"test_odd.py::{name}"
    result = run(line(test), test)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
