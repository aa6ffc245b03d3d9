"""This router's listener for peers, and its own calls to them."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib

import aiomisc
import attrs

from toucanrudder.document import serialisation
from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import node as nodes
from toucanrudder.peers import server as peer_servers
from toucanrudder.store import fanout


class PeerService(aiomisc.Service):
    """Serves peers.

    Parameters
    ----------
    peering : Peering
        What is served.
    host : str
        IP address.
    port : int
        TCP port; 0 picks a free one, told by `address`.
    """

    peering: "Peering"
    host: str
    port: int

    address: str = ""
    _stack: contextlib.AsyncExitStack | None = None

    async def start(self) -> None:
        """Bind and serve."""
        self._stack = contextlib.AsyncExitStack()
        self.address = await self._stack.enter_async_context(
            self.peering.served(self.host, self.port)
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop serving."""
        if self._stack is not None:
            await self._stack.aclose()


@attrs.define(eq=False)
class Peering:
    """The node with its client, and what both share.

    Parameters
    ----------
    node : nodes.Node
        This router among its peers.
    client : peer_clients.PeerClient
        Its own calls.
    credentials : peer_credentials.Credentials or None
        For mutual TLS.
    advertise : str
        Address that peers are told, or empty for the one bound.
    encode : callable
        Returns the bytes of the document in force.
    logs : mapping of str to fanout.ChangeLog
        What this router has read from the store, by kind.
    answer_cap : callable
        Answers for the usage caps that this router owns.
    """

    node: nodes.Node
    client: peer_clients.PeerClient
    credentials: peer_credentials.Credentials | None
    advertise: str
    encode: Callable[[nodes.Document], bytes] = serialisation.encode
    logs: Mapping[str, fanout.ChangeLog] = attrs.field(factory=dict)
    answer_cap: peer_servers.AnswerCap = peer_servers.owns_no_cap
    _bound: asyncio.Event = attrs.field(factory=asyncio.Event)

    @contextlib.asynccontextmanager
    async def served(self, host: str, port: int):
        """Serve peers during the block; yield the bound address."""
        async with peer_servers.serve(
            self.node,
            host,
            port,
            self.credentials,
            self.client.handle_heartbeat,
            self.encode,
            self.logs,
            self.answer_cap,
        ) as address:
            self.node.address = self.advertise or address
            self._bound.set()
            yield address

    async def run(self) -> None:
        """Exchange with peers, once they can be told an address."""
        await self._bound.wait()
        await self.client.run()
