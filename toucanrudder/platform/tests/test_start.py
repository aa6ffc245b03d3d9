"""Tests of the entry point before the router serves."""

import subprocess
import sys
import textwrap

#: Stops startup at the first import of the router; exit status 0 if SIGHUP
#: is ignored by then, 1 if it would end the process.
PROBE = """
import runpy
import signal
import sys


class Stop(Exception):
    pass


class Finder:
    def find_spec(self, name, path, target=None):
        if name == "toucanrudder.forwarding.daemon":
            raise Stop


sys.meta_path.insert(0, Finder())
try:
    runpy.run_module("toucanrudder.platform", run_name="__main__")
except Stop:
    ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    sys.exit(0 if ignored else 1)
sys.exit(2)
"""


def test_sighup_during_startup_is_ignored():
    # SIGHUP is sent to all routers when settings change, also to one that is
    # starting.  Its default action would end the process, and one router
    # would be missing for the time of another start.
    result = subprocess.run(
        [sys.executable, "-c", textwrap.dedent(PROBE)], check=False
    )
    assert result.returncode == 0
