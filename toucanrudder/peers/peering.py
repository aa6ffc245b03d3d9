"""Combines this router's server for peers with its client."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib

import aiomisc
import attrs

from toucanrudder.document import serialisation
from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import handovers
from toucanrudder.peers import node as nodes
from toucanrudder.peers import server as peer_servers
from toucanrudder.store import fanout


class PeerService(aiomisc.Service):
    """Service that listens for peers.

    Parameters
    ----------
    peering : Peering
        Node and client to serve.
    host : str
        IP address.
    port : int
        TCP port; 0 picks a free one, see `address`.
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
    """A node with its client, and their shared options.

    Parameters
    ----------
    node : nodes.Node
        Builds and handles heartbeats.
    client : peer_clients.PeerClient
        Calls to peers.
    credentials : peer_credentials.Credentials or None
        Credentials for mutual TLS.
    advertise : str
        Address announced to peers; empty for the bound one.
    encode : callable
        Encodes the document in force.
    logs : mapping of str to fanout.ChangeLog
        Changes that this router has read from the store, by kind.
    answer_cap : callable
        Decides on the usage caps that this router owns.
    take_over : callable
        Takes over a request that a peer offers.
    origin_keeper : peer_servers.OriginKeeper
        Keeps what began streams.
    """

    node: nodes.Node
    client: peer_clients.PeerClient
    credentials: peer_credentials.Credentials | None
    advertise: str
    encode: Callable[[nodes.Document], bytes] = serialisation.encode
    logs: Mapping[str, fanout.ChangeLog] = attrs.field(factory=dict)
    answer_cap: peer_servers.AnswerCap = peer_servers.no_caps_owned
    take_over: handovers.TakeOver = handovers.decline
    origin_keeper: peer_servers.OriginKeeper = attrs.field(
        factory=peer_servers.NoOrigins
    )
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
            self.take_over,
            self.origin_keeper,
        ) as address:
            self.node.address = self.advertise or address
            self._bound.set()
            yield address

    async def run(self) -> None:
        """Exchange with peers, once an address is bound."""
        await self._bound.wait()
        await self.client.run()
