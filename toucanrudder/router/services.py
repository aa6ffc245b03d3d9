"""aiomisc services: one task or one listener each."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import ssl

from aiohttp import web
import aiomisc

LOG = logging.getLogger(__name__)

#: Pause before a task that failed unexpectedly is started again.
RESTART_S = 1.0


class TaskService(aiomisc.Service):
    """Runs a controller for as long as the daemon lives.

    Parameters
    ----------
    run : callable
        Returns the controller's coroutine.
    label : str
        For log lines.
    """

    run: Callable[[], Awaitable[None]]
    label: str

    async def start(self) -> None:
        """Run the controller; start it again if it fails."""
        self.start_event.set()
        while True:
            try:
                await self.run()
            except asyncio.CancelledError:
                raise
            except BaseException:
                # A controller that ended would leave its table as it is,
                # unseen, for good.
                LOG.exception("%s failed; starting it again", self.label)
            await asyncio.sleep(RESTART_S)


class ListenService(aiomisc.Service):
    """Serves one aiohttp application.

    Parameters
    ----------
    application : aiohttp.web.Application
        What is served.
    host : str
        IP address.
    port : int
        TCP port; 0 picks a free one, told by `address`.
    tls : ssl.SSLContext, optional
        For HTTPS.
    stop_timeout_s : float
        Seconds that a request may still take which came on a kept
        connection just before the listener closed.
    """

    application: web.Application
    host: str
    port: int
    tls: ssl.SSLContext | None = None
    stop_timeout_s: float = 1.0

    address: str = ""
    _runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Bind and serve."""
        # Without handler_cancellation a caller who left would keep its
        # place at the engine until the whole answer had been computed.
        self._runner = web.AppRunner(
            self.application,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=75.0,
            shutdown_timeout=self.stop_timeout_s,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.host,
            self.port,
            ssl_context=self.tls,
            backlog=1024,
        )
        await site.start()
        self.address = "{}:{}".format(*self._runner.addresses[0][:2])

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listener and what connections are left."""
        if self._runner is not None:
            await self._runner.cleanup()
