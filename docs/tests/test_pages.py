"""The pages agree with the code and with each other."""

import pathlib
import re

import pytest

from toucanrudder.errors import codes

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.rglob("*.md"), *ROOT.glob("*.md")])
LINK = re.compile(r"\]\((?!https?:|#)([^)#]+)")
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
