"""Tests that the platform's names occur in this package only."""

import pathlib
import re

import pytest

from toucanrudder import platform

PACKAGE_FOLDER = pathlib.Path(platform.__file__).parent
ROOT_FOLDER = PACKAGE_FOLDER.parent

#: Wire names of the platform, without those that the product's own
#: interface has as well.
WIRE_NAMES = (
    "Request-Id",
    "Deadline-Ms",
    "Expect-Instance",
    "Expect-Version",
    "Instance-Id",
    "Not-Executed",
    "Server-Seal",
    "Server-Load",
    "Request-Priority",
    "Token-Counts",
    "Prompt-Prefix",
    "Length-Hint",
    "Weight-Versions",
    "Cache-Salt",
    "Kv-",
    "Pin-Ms",
    "Wait-Ms",
    "kv-events",
    "kv-list",
    "kv_capacity_tokens",
    "kv_token_bytes",
    "kv_store_addr",
    "link_mbps",
    '"born"',
    "boot_epoch",
    "current_rev",
    "created_rev",
    "wait_ms",
    "stale_ok",
    "traffic_split",
    "max_attempts",
    "target_latency_ms",
    "target_gap_ms",
    "timeout_ms",
    "cold_remaining_ms",
    "max_header_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
    '"servers"',
    "TOUCANRUDDER_BOOT",
)

#: Spellings that the product uses for names of its own.
PRODUCT_NAMES = {"cache-salt"}

OTHER_FILES = sorted(
    path
    for path in ROOT_FOLDER.rglob("*.py")
    if PACKAGE_FOLDER not in path.parents and "_pb2" not in path.name
)


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_wire_names_occur_only_in_this_package(name):
    # Names such as X-Request-Id belong to the product's own interface.
    spellings = map(re.escape, {name, name.lower()} - PRODUCT_NAMES)
    pattern = re.compile(r"(?<![\w-])(?:" + "|".join(spellings) + ")")
    matches = [
        str(path.relative_to(ROOT_FOLDER))
        for path in OTHER_FILES
        if pattern.search(path.read_text(encoding="utf-8"))
    ]
    assert not matches


def test_package_stays_below_900_lines():
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in PACKAGE_FOLDER.glob("*.py")
    )
    assert lines < 900
