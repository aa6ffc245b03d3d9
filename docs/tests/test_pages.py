"""The pages agree with the code and with each other."""

import pathlib
import re

import attrs
import pytest

from toucanrudder.document import model
from toucanrudder.errors import codes
from toucanrudder.settings import forwarding
from toucanrudder.settings import options

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.rglob("*.md"), *ROOT.glob("*.md")])
LINK = re.compile(r"\]\((?!https?:|#)([^)#]+)")
METRIC = re.compile(r"(?:counter|histogram)\(\s*\"(toucanrudder_\w+)\"")
ROW = re.compile(r"^\| `(\w+)` \| (\d+) \|", re.MULTILINE)


def test_the_error_page_explains_each_code_once():
    text = (DOCS / "operators" / "errors.md").read_text(encoding="utf-8")
    rows = ROW.findall(text)
    expected = {
        code.value: str(int(codes.TRAITS[code].status)) for code in codes.Code
    }
    assert dict(rows) == expected
    assert len(rows) == len(expected)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page):
    text = page.read_text(encoding="utf-8")
    missing = [
        target
        for target in LINK.findall(text)
        if not (page.parent / target).exists()
    ]
    assert not missing


def test_metrics_that_pages_name_exist():
    text = "\n".join(page.read_text(encoding="utf-8") for page in PAGES)
    named = set(re.findall(r"`(toucanrudder_\w+?)(?:_total)?[`{]", text))
    sources = "\n".join(
        path.read_text(encoding="utf-8")
        for path in sorted((ROOT / "toucanrudder").rglob("*.py"))
    )
    assert named
    assert not {name for name in named if f'"{name}"' not in sources}


def test_settings_that_pages_name_exist():
    for page in PAGES:
        text = page.read_text(encoding="utf-8")
        for group, name in re.findall(r"`\[(\w+)\] (\w+)`", text):
            both = (
                *options.GROUPS.get(group, ()),
                *forwarding.GROUPS.get(group, ()),
            )
            known = {option.dest for option in both}
            assert name in known, page


def test_each_metric_in_the_code_is_explained():
    page = (DOCS / "operators" / "alerts.md").read_text(encoding="utf-8")
    made = set()
    for path in (ROOT / "toucanrudder").rglob("*.py"):
        if "tests" not in path.parts:
            text = path.read_text(encoding="utf-8")
            made |= set(METRIC.findall(text))
    assert made
    assert not {name for name in made if f"| `{name}` |" not in page}


def test_the_policy_page_names_each_field():
    text = (DOCS / "operators" / "policy.md").read_text(encoding="utf-8")
    fields = {field.name for field in attrs.fields(model.Policy)}
    assert set(re.findall(r"(?m)^\| `(\w+)` \|", text)) == fields
