"""Entry point of ``python -m toucanrudder.platform``."""

import os
import signal

from toucanrudder import imports

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
    with imports.for_good():
        from toucanrudder.forwarding import daemon
        from toucanrudder.platform import place
        from toucanrudder.settings import forwarding
        from toucanrudder.settings import loading

    conf = loading.load(os.environ[SETTINGS_PATH], forwarding.GROUPS)
    daemon.run(conf, place.platform(conf))


if __name__ == "__main__":
    main()
