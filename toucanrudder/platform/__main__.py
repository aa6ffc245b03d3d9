"""Entry point of ``python -m toucanrudder.platform``."""

import asyncio
import gc
import os
import signal
import sys

#: Variable that holds the path of the settings file.
SETTINGS_PATH = "TOUCANRUDDER_BOOT"


def main() -> None:
    """Serve until a signal has led to a planned stop."""
    # A hang-up that meets a process which is still starting would end it:
    # callers lose a router for as long as it takes to start another.  The
    # imports below take nearly all of the start, so this comes first.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # libuv would open a ring otherwise; it reads this at the first loop.
    os.environ["UV_USE_IO_URING"] = "0"
    # What is imported stays: looked through by the collector again and
    # again, it would take a tenth of the start, and part of each pause.
    gc.disable()
    import uvloop

    from toucanrudder.forwarding import daemon
    from toucanrudder.observability import lines
    from toucanrudder.platform import place
    from toucanrudder.settings import forwarding
    from toucanrudder.settings import loading

    gc.freeze()
    gc.enable()
    conf = loading.load(os.environ[SETTINGS_PATH], forwarding.GROUPS)
    handler = lines.set_up(conf.logging.level, sys.stdout)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(daemon.serve(conf, place.platform(conf)))
        finally:
            handler.close()


if __name__ == "__main__":
    main()
