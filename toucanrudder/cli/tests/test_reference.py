import pathlib
import re

import pytest

from toucanrudder import settings
from toucanrudder.cli import reference
from toucanrudder.observability import decisions
from toucanrudder.settings import options

ROOT = pathlib.Path(__file__).parents[3]


@pytest.mark.parametrize("name", list(reference.PAGES))
def test_the_committed_page_agrees_with_the_code(name):
    committed = (ROOT / name).read_text(encoding="utf-8")
    assert committed == reference.PAGES[name](), (
        "run python -m toucanrudder.cli.reference"
    )


def test_each_event_is_one_row_of_its_table():
    page = (ROOT / reference.EVENTS_PAGE).read_text(encoding="utf-8")
    table = page[page.index("| event |") :].rstrip().splitlines()
    names = [row.split("|")[1].strip() for row in table[2:]]
    assert names == [f"`{kind.__name__}`" for kind in decisions.KINDS]
    assert {row.count(" | ") for row in table} == {2}


def test_a_router_would_start_with_the_sample():
    conf = settings.load(str(ROOT / reference.SAMPLE))
    assert conf.router.name


def test_all_defaults_of_the_sample_are_valid(tmp_path):
    text = re.sub(r"(?m)^# (\w+) =", r"\1 =", reference.sample())
    path = tmp_path / "router.ini"
    path.write_text(text)
    conf = settings.load(str(path))
    for group, group_options in options.GROUPS.items():
        for option in group_options:
            if not option.required:
                assert conf[group][option.dest] == option.default
