"""The pages' console blocks do what the pages show.

All blocks of a page run in one shell, in a directory that holds links to
the repository's files; ``...`` in the shown output stands for anything.
"""

import contextlib
import doctest
import os
import pathlib
import re
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)
MARK = "@@ command ends @@"
PAGES = [
    page
    for page in (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md")))
    if BLOCK.search(page.read_text(encoding="utf-8"))
]
FLAGS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE


def examples(page: pathlib.Path) -> list[tuple[str, str]]:
    """Return commands and the output that the page shows for them."""
    found = []
    for block in BLOCK.findall(page.read_text(encoding="utf-8")):
        for part in re.split(r"(?m)^\$ ", block)[1:]:
            command, _, output = part.partition("\n")
            found.append((command, output))
    return found


def run(commands: list[str], directory: pathlib.Path) -> list[str]:
    """Run the commands in one shell; return the output of each."""
    shim = directory / "bin" / "toucanrudder"
    shim.parent.mkdir()
    shim.write_text(f'#!/bin/sh\nexec {sys.executable} -m toucanrudder "$@"\n')
    shim.chmod(0o755)
    for name in ("docs", "examples"):
        (directory / name).symlink_to(ROOT / name)
    environment = os.environ | {
        "PATH": f"{shim.parent}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT),
    }
    script = "".join(f"{each}\necho '{MARK}'\n" for each in commands)
    # A session of its own, so that what the page starts ends with it.
    shell = subprocess.Popen(
        ["bash", "-c", script],
        cwd=directory,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = shell.communicate(timeout=120)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(shell.pid, signal.SIGKILL)
    return output.split(MARK + "\n")[:-1]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_examples_give_what_the_page_shows(page, tmp_path):
    shown = examples(page)
    given = run([command for command, _ in shown], tmp_path)
    assert len(given) == len(shown)
    checker = doctest.OutputChecker()
    for (command, expected), output in zip(shown, given, strict=True):
        assert checker.check_output(expected, output, FLAGS), (
            f"$ {command}\n{output}"
        )
