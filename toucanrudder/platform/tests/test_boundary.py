"""The platform's names stay in this folder."""

import pathlib
import re

import pytest

from toucanrudder import platform

FOLDER = pathlib.Path(platform.__file__).parent
PACKAGE = FOLDER.parent

#: Names of the wire; those that the product's own interface has as well
#: are left out.
NAMES = (
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

#: Spellings that the product uses for something of its own.
OWN = {"cache-salt"}

OUTSIDE = sorted(
    path
    for path in PACKAGE.rglob("*.py")
    if FOLDER not in path.parents and "_pb2" not in path.name
)


@pytest.mark.parametrize("name", NAMES)
def test_no_other_package_knows_a_name_of_the_wire(name):
    # X-Request-Id and the like are names of the product's own interface.
    spellings = map(re.escape, {name, name.lower()} - OWN)
    pattern = re.compile(r"(?<![\w-])(?:" + "|".join(spellings) + ")")
    found = [
        str(path.relative_to(PACKAGE))
        for path in OUTSIDE
        if pattern.search(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_the_folder_stays_small():
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in FOLDER.glob("*.py")
    )
    assert lines < 900
