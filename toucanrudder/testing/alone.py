"""Tests that measure a process and run apart from all others."""

import pytest

MARK = "alone"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that chooses between the two parts."""
    parser.addoption(
        "--alone",
        choices=("include", "exclude", "only"),
        default="include",
        help="whether tests that run apart from others are run",
    )


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Leave out the tests of the other part."""
    wanted = config.getoption("--alone")
    if wanted == "include":
        return
    kept, left_out = [], []
    for item in items:
        is_alone = item.get_closest_marker(MARK) is not None
        part = kept if is_alone == (wanted == "only") else left_out
        part.append(item)
    config.hook.pytest_deselected(items=left_out)
    items[:] = kept
