"""Builds the peering of a router from its state."""

import time

from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import credentials as peer_credentials
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import peering as peerings
from toucanrudder.prefix import request_rates
from toucanrudder.router import state as states

#: Longest time for which an answer is delayed to inform peers of a crash.
BROADCAST_TIMEOUT_S = 1.0


def peering(state: states.RouterState) -> peerings.Peering:
    """Return the peering of a router and set the state's hooks to it."""
    settings = state.conf.peers
    credentials = peer_credentials.from_settings(settings)
    node = nodes.Node(
        state.conf.router.name,
        int(time.time() * 1000),
        state.routers,
        state.peer_loads,
        lambda: state.configuration.current,
        _heartbeat_hooks(state),
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
    state.exchange_soon = client.exchange_soon
    # The watches of all peers may have lost their answers.
    state.configuration.subscribe(lambda accepted: client.exchange_soon())
    state.broadcast_urgent = lambda: client.tell_crashes(BROADCAST_TIMEOUT_S)
    return peerings.Peering(node, client, credentials, settings.advertise)


def _heartbeat_hooks(state: states.RouterState) -> nodes.HeartbeatHooks:
    def update_hot_prefixes(
        peer: str,
        prefixes: tuple[request_rates.HotPrefix, ...],
        total_rate_per_s: float,
        now_s: float,
    ) -> None:
        state.prefix_rates.update_peer(peer, prefixes, total_rate_per_s, now_s)

    return nodes.HeartbeatHooks(
        loads=lambda: _own_loads(state),
        quarantine=state.suspects.entries,
        quarantine_log=state.suspects.log,
        hot_prefixes=state.prefix_rates.hottest,
        total_rate_per_s=state.prefix_rates.own_total_rate_per_s,
        on_quarantine=state.suspects.merge,
        on_hot_prefixes=update_hot_prefixes,
        leaving=lambda: state.stopping,
    )


def _own_loads(
    state: states.RouterState,
) -> tuple[messages.UpstreamLoad, ...]:
    return tuple(
        messages.UpstreamLoad(
            name,
            state.in_flight.prefill_tokens(name),
            state.in_flight.request_count(name),
        )
        for name in state.in_flight.busy_upstreams()
    )
