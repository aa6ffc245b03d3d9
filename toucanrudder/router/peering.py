"""This router's listener for peers, and its own calls to them."""

import asyncio
import contextlib
import time

import aiomisc
import attrs

from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import server as peer_servers
from toucanrudder.prefix import heat
from toucanrudder.router import state as states

#: Longest time for which an answer waits until peers know of a crash.
TELL_WITHIN_S = 1.0


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
    """

    node: nodes.Node
    client: peer_clients.PeerClient
    credentials: peer_credentials.Credentials | None
    advertise: str
    _bound: asyncio.Event = attrs.field(factory=asyncio.Event)

    @contextlib.asynccontextmanager
    async def served(self, host: str, port: int):
        """Serve peers during the block; yield the bound address."""
        async with peer_servers.serve(
            self.node, host, port, self.credentials, self.client.news
        ) as address:
            self.node.address = self.advertise or address
            self._bound.set()
            yield address

    async def run(self) -> None:
        """Exchange with peers, once they can be told an address."""
        await self._bound.wait()
        await self.client.run()


def peering(state: states.RouterState) -> Peering:
    """Return the peering of a router, and let its state know of it."""
    settings = state.conf.peers
    credentials = peer_credentials.from_settings(settings)
    node = nodes.Node(
        state.conf.router.name,
        int(time.time() * 1000),
        state.routers,
        state.peer_loads,
        lambda: state.configuration.current,
        _sources(state),
        state.rng,
    )
    client = peer_clients.PeerClient(
        node,
        state.configuration.offer,
        state.conf.router.peer_seeds,
        credentials,
        interval_s=settings.interval_s,
        silent_s=settings.silent_s,
        rng=state.rng,
    )
    state.hasten = client.hasten
    state.tell_peers = lambda: client.tell_all(TELL_WITHIN_S)
    return Peering(node, client, credentials, settings.advertise)


def _sources(state: states.RouterState) -> nodes.Sources:
    def hot(
        peer: str,
        prefixes: tuple[heat.HotPrefix, ...],
        total_rate_per_s: float,
        now_s: float,
    ) -> None:
        state.heat.heard(peer, prefixes, total_rate_per_s, now_s)

    return nodes.Sources(
        loads=lambda: _own_loads(state),
        quarantine=state.suspicions.entries,
        hot_prefixes=state.heat.hottest,
        total_rate_per_s=state.heat.own_total_rate_per_s,
        merge=state.suspicions.merge,
        hot=hot,
        leaving=lambda: state.stopping,
    )


def _own_loads(
    state: states.RouterState,
) -> tuple[messages.UpstreamLoad, ...]:
    return tuple(
        messages.UpstreamLoad(
            name,
            state.in_flight.prefill_tokens(name),
            state.in_flight.requests(name),
        )
        for name in state.in_flight.busy()
    )
