"""Entry point of ``python -m toucanrudder.platform``."""

import os
import signal

from toucanrudder import imports

#: Environment variable with the path of the settings file.
SETTINGS_PATH = "TOUCANRUDDER_BOOT"


def main() -> None:
    """Serve until a signal stops the router."""
    # A SIGHUP during startup would end the process, and callers would lose
    # a router until another has started.  The imports below take nearly
    # all of the startup time, so the signal is ignored before them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Keeps libuv from opening an io_uring; it reads this at the first loop.
    os.environ["UV_USE_IO_URING"] = "0"
    with imports.for_good():
        from toucanrudder.forwarding import daemon
        from toucanrudder.platform import assembly
        from toucanrudder.settings import forwarding
        from toucanrudder.settings import loading

    conf = loading.load(os.environ[SETTINGS_PATH], forwarding.GROUPS)
    daemon.run(conf, assembly.build_platform(conf))


if __name__ == "__main__":
    main()
