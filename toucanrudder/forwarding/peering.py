"""What forwarding routers tell each other."""

import random
import time

import attrs

from toucanrudder import clock
from toucanrudder.forwarding import state as states
from toucanrudder.membership import routers
from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import peering as peerings
from toucanrudder.store import continuity

#: Seconds for which the word that an upstream leaves is passed on: by
#: then each router has read it in the registry itself.
LEAVING_GOSSIP_S = 10.0


@attrs.define(eq=False)
class Gossip:
    """Beliefs on upstreams that are shared with peers.

    Parameters
    ----------
    state : states.ForwardingState
        Where they are kept.
    """

    state: states.ForwardingState
    _leaving_since_s: dict[str, float] = attrs.field(factory=dict)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    _avoided_by_peer: dict[str, set[str]] = attrs.field(factory=dict)

    def record_leaving(self, incarnation: str, now_s: float) -> bool:
        """Note that an upstream has said that it leaves."""
        if not self.state.registry.mark_leaving(incarnation):
            return False
        self._leaving_since_s[incarnation] = now_s
        return True

    def leaving(self, now_s: float) -> tuple[str, ...]:
        """Return what peers are told to be leaving."""
        self._leaving_since_s = {
            name: since_s
            for name, since_s in self._leaving_since_s.items()
            if now_s - since_s < LEAVING_GOSSIP_S
        }
        return tuple(self._leaving_since_s)

    def avoid(self, incarnation: str, for_s: float, now_s: float) -> None:
        """Send no work to an upstream for a while; 0 takes it back."""
        self._avoided_until_s[incarnation] = now_s + for_s
        self.state.upstream_stats.avoid(incarnation, now_s + for_s)

    def avoided(self, now_s: float) -> tuple[messages.Avoided, ...]:
        """Return what peers are told to take no work.

        Only what this router itself has said: told on by others, a word
        that was taken back would come back for as long as they echo it.
        """
        self._avoided_until_s = {
            name: until_s
            for name, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        stores = self.state.store_health.remaining_down_s(now_s)
        return tuple(
            messages.Avoided(name, until_s - now_s)
            for name, until_s in self._avoided_until_s.items()
        ) + tuple(messages.Avoided(*each) for each in stores.items())

    def merge(self, heartbeat: messages.Heartbeat, now_s: float) -> None:
        """Take in a peer's beliefs."""
        for each in heartbeat.weights:
            self.state.record_weights_version(each.model, each.version, now_s)
        for name in heartbeat.leaving_upstreams:
            self.record_leaving(name, now_s)
        self._merge_store_outages(heartbeat, now_s)
        known = self.state.registry.incarnations
        told = {
            each.upstream: each.for_s
            for each in heartbeat.avoided
            if each.upstream in known
        }
        if heartbeat.registry is not None:
            self.state.registry.add_served_span(
                _served_span(heartbeat.registry, now_s)
            )
        sender = heartbeat.sender.name
        for name in self._avoided_by_peer.pop(sender, set()) - set(told):
            self.state.upstream_stats.avoid(name, now_s)
        for name, for_s in told.items():
            self.state.upstream_stats.record_peer_order(
                name, now_s + for_s, now_s
            )
        if told:
            self._avoided_by_peer[sender] = set(told)

    def _merge_store_outages(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        addresses = {each.address for each in self.state.cache_stores()}
        for each in heartbeat.avoided:
            if each.upstream in addresses:
                self.state.store_health.mark_down(
                    each.upstream, now_s + each.for_s
                )

    def weights(self) -> tuple[messages.Weights, ...]:
        """Return the newest weights that this router knows of."""
        return tuple(
            messages.Weights(each.model, each.version)
            for each in self.state.newest_weights.values()
        )

    def registry(self, now_s: float) -> messages.Served | None:
        """Return when the registry served calls, as this router knows."""
        span = self.state.registry.served
        if span is None:
            return None
        return messages.Served(
            for_s=span.until_s - span.since_s, age_s=now_s - span.until_s
        )

    def loads(self) -> tuple[messages.UpstreamLoad, ...]:
        """Return this router's own work at upstreams."""
        return tuple(
            messages.UpstreamLoad(name, tokens, requests)
            for name, tokens, requests in self.state.upstream_stats.in_use()
        )


def _served_span(told: messages.Served, now_s: float) -> continuity.Span:
    until_s = now_s - told.age_s
    return continuity.Span(until_s - told.for_s, until_s)


def build(
    state: states.ForwardingState,
    gossip: Gossip,
    *,
    current,
    offer,
    encode,
    decode,
    seeds: list[str],
    interval_s: float,
    silent_s: float,
    rng: random.Random,
) -> peerings.Peering:
    """Return this router's peering.

    Parameters
    ----------
    state : states.ForwardingState
        This router's tables.
    gossip : Gossip
        What is told and heard of upstreams.
    current, offer : callable
        Return and take a document.
    encode, decode : callable
        Between a document and its bytes.
    seeds : list of str
        ``IP:port`` of peers to begin with.
    interval_s, silent_s : float
        Between two rounds; after which a peer counts as gone.
    rng : random.Random
        For jitter and choices.
    """
    sources = nodes.Sources(
        loads=gossip.loads,
        weights=gossip.weights,
        quarantine=state.crash_counts.suspicions.entries,
        merge=state.crash_counts.merge,
        leaving=lambda: state.stopping,
        # Peers count by a clock that stands still with the host; beliefs
        # on upstreams age on.
        leaving_upstreams=lambda _: gossip.leaving(clock.now_s()),
        avoided=lambda _: gossip.avoided(clock.now_s()),
        registry=lambda _: gossip.registry(clock.now_s()),
        upstream_news=lambda heartbeat, _: gossip.merge(
            heartbeat, clock.now_s()
        ),
    )
    node = nodes.Node(
        state.name,
        int(time.time() * 1000),
        routers.RouterTable(silent_s),
        state.peer_loads,
        current,
        sources,
        rng,
    )
    client = peer_clients.PeerClient(
        node,
        offer,
        seeds,
        None,
        interval_s=interval_s,
        silent_s=silent_s,
        rng=rng,
        decode=decode,
    )
    state.live_routers = lambda: node.table.count(time.monotonic())
    return peerings.Peering(node, client, None, "", encode)
