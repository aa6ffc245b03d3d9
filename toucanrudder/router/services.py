"""aiomisc service for one HTTP listener."""

import asyncio
import ssl

from aiohttp import web
import aiomisc

from toucanrudder import clock
from toucanrudder.filters import connections
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import receive_buffers
from toucanrudder.http1 import turns


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
    account : accounts.Account
        What the connections of all listeners of the process hold.
    stop_timeout_s : float
        Seconds allowed for a request that arrived on a keep-alive
        connection just before the listener closed.
    """

    application: web.Application
    host: str
    port: int
    tls: ssl.SSLContext | None = None
    account: accounts.Account
    stop_timeout_s: float = 1.0

    address: str = ""
    _runner: web.AppRunner | None = None
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind and serve."""
        # Without handler_cancellation the request of a disconnected caller
        # would occupy the engine until its whole answer was computed.
        self._runner = web.AppRunner(
            self.application,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=75.0,
            lingering_time=connections.LINGER_S,
            read_bufsize=connections.BUFFER_LIMIT_BYTES,
            shutdown_timeout=self.stop_timeout_s,
        )
        await self._runner.setup()
        listener_turns = turns.Turns()

        def serve_connection() -> connections.CallerConnection:
            return connections.CallerConnection(
                self._runner.server(),
                self.account,
                listener_turns,
                clock.now_s,
            )

        self._server = await asyncio.get_running_loop().create_server(
            serve_connection,
            self.host,
            self.port,
            ssl=self.tls,
            backlog=receive_buffers.BACKLOG,
        )
        self.account.receive_buffers.bound_unaccepted(self._server)
        bound_address = self._server.sockets[0].getsockname()
        self.address = "{}:{}".format(*bound_address[:2])

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listener and the remaining connections."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            await self._runner.cleanup()
