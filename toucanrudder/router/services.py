"""aiomisc service for one HTTP listener."""

import ssl

from aiohttp import web
import aiomisc


class ListenService(aiomisc.Service):
    """Serves one aiohttp application.

    Parameters
    ----------
    application : aiohttp.web.Application
        Application to serve.
    host : str
        IP address.
    port : int
        TCP port; 0 picks a free one, which `address` then holds.
    tls : ssl.SSLContext, optional
        TLS context for HTTPS; plain HTTP if None.
    stop_timeout_s : float
        Seconds allowed for a request that arrived on a keep-alive
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
        # Without handler_cancellation the request of a disconnected caller
        # would occupy the engine until its whole answer was computed.
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
        """Close the listener and the remaining connections."""
        if self._runner is not None:
            await self._runner.cleanup()
