"""Tests of the choice of tests that run apart from others."""

import pytest

PLUGIN = 'pytest_plugins = ["toucanrudder.testing.alone"]'

TESTS = """
    import pytest

    @pytest.mark.alone
    def test_measures():
        pass

    def test_other():
        pass
"""

CHOICES = {
    "include": ["*test_measures PASSED*", "*test_other PASSED*"],
    "exclude": ["*test_other PASSED*", "*1 passed, 1 deselected*"],
    "only": ["*test_measures PASSED*", "*1 passed, 1 deselected*"],
}


@pytest.mark.parametrize(
    ("choice", "lines"), CHOICES.items(), ids=CHOICES.keys()
)
def test_each_test_runs_in_one_part(pytester, choice, lines):
    """Guards against a test that runs in neither part."""
    pytester.makeini("[pytest]\nmarkers = alone: runs apart")
    pytester.makeconftest(PLUGIN)
    pytester.makepyfile(TESTS)
    result = pytester.runpytest_subprocess("-v", f"--alone={choice}")
    result.stdout.fnmatch_lines(lines)
