"""The entry point, before the router serves."""

import subprocess
import sys
import textwrap

#: Ends the start at the first import of the router, and tells whether a
#: hang-up would have ended it.
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


def test_a_hang_up_during_the_start_does_not_end_it():
    # Settings change on all routers at once, and one of them is just
    # starting.  A hang-up ends a process that has not said what it does
    # with it: callers find one router less, for as long as a start takes.
    found = subprocess.run(
        [sys.executable, "-c", textwrap.dedent(PROBE)], check=False
    )
    assert found.returncode == 0
