"""Information about upstreams that routers exchange by gossip."""

from collections.abc import Callable
import functools
import random
import time

import attrs

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.forwarding import cost_gossip
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import upstream_news
from toucanrudder.forwarding.streams import directory
from toucanrudder.membership import routers
from toucanrudder.observability import decisions
from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import messages
from toucanrudder.peers import node as nodes
from toucanrudder.peers import peering as peerings

#: Seconds for which a leaving upstream is announced after it was last known
#: to leave; while it is registered it always is.
LEAVING_GOSSIP_S = 10.0

#: Time after its first prompt for which a router that has just started waits
#: for news of a peer.
FIRST_NEWS_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Gossip:
    """Information about upstreams that is shared with peers.

    Parameters
    ----------
    state : states.ForwardingState
        This router's state, which it reads and updates.
    """

    state: states.ForwardingState
    _leaving_since_s: dict[str, float] = attrs.field(factory=dict)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    _avoided_by_peer: dict[str, set[str]] = attrs.field(factory=dict)
    _full_until_s: dict[str, float] = attrs.field(factory=dict)

    def announce_leaving(self, incarnation: str, now_s: float) -> None:
        """Tell peers that an upstream leaves."""
        self._leaving_since_s[incarnation] = now_s

    def leaving(self, now_s: float) -> tuple[str, ...]:
        """Return the leaving upstreams to announce to peers."""
        for upstream in self.state.registry.upstreams():
            if upstream.is_leaving:
                self.announce_leaving(upstream.incarnation, now_s)
        self._leaving_since_s = {
            name: since_s
            for name, since_s in self._leaving_since_s.items()
            if now_s - since_s < LEAVING_GOSSIP_S
        }
        return tuple(self._leaving_since_s)

    def avoid(self, incarnation: str, for_s: float, now_s: float) -> None:
        """Send no requests to an upstream for a while; 0 cancels it."""
        self._avoided_until_s[incarnation] = now_s + for_s
        self.state.upstream_stats.avoid(incarnation, now_s + for_s)

    def avoided(self, now_s: float) -> tuple[messages.Avoided, ...]:
        """Return the upstreams and stores that peers should avoid.

        Only those that this router itself avoids: if routers relayed each
        other's entries, a cancelled one would reappear as long as any
        router echoes it.
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
        ) + tuple(messages.Avoided(*store) for store in stores.items())

    def record_full(
        self, incarnation: str, for_s: float, now_s: float
    ) -> None:
        """Ask peers to send an upstream nothing for a while."""
        self._full_until_s[incarnation] = now_s + for_s

    def full(self, now_s: float) -> tuple[messages.Avoided, ...]:
        """Return the upstreams that have refused this router's requests."""
        self._full_until_s = {
            name: until_s
            for name, until_s in self._full_until_s.items()
            if until_s > now_s
        }
        return tuple(
            messages.Avoided(name, until_s - now_s)
            for name, until_s in self._full_until_s.items()
        )

    def brittle(self, now_s: float) -> tuple[messages.Brittle, ...]:
        """Return the brittle services known to this router."""
        return tuple(
            messages.Brittle(
                service, statement.refusals_per_s, now_s - statement.at_s
            )
            for service, statement in self.state.brittle.current(now_s).items()
        )

    def limited(self, now_s: float) -> tuple[messages.Limited, ...]:
        """Return the limits that upstreams state, as far as known."""
        return tuple(
            messages.Limited(
                name, statement.stated_rate_per_s, now_s - statement.at_s
            )
            for name, statement in self.state.limits.current(now_s).items()
        )

    def _merge_limits(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        known = self.state.registry.incarnations
        for entry in heartbeat.limited:
            if entry.upstream in known and self.state.limits.merge(
                entry.upstream, entry.rate_per_s, now_s - entry.age_s
            ):
                self.state.record_limit_news(
                    entry.upstream, heartbeat.sender.name
                )

    def _merge_brittle(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        for entry in heartbeat.brittle:
            self.state.brittle.merge(
                entry.service, entry.refusals_per_s, now_s - entry.age_s
            )
        known = self.state.registry.incarnations
        for entry in heartbeat.full:
            if entry.upstream in known:
                self.state.upstream_stats.record_full(
                    entry.upstream, now_s, entry.for_s
                )

    def engine_weights(
        self, now_s: float
    ) -> tuple[messages.EngineWeights, ...]:
        """Return the weights that engines have stated to this router."""
        if not upstream_news.is_told(self.state.live_routers()):
            return ()
        return tuple(
            messages.EngineWeights(
                stated.incarnation, stated.model, stated.version
            )
            for stated in self.state.weights_news.current(now_s)
        )

    def merge(self, heartbeat: messages.Heartbeat, now_s: float) -> None:
        """Merge the upstream information of a peer's heartbeat."""
        self._note_generation(heartbeat, now_s)
        for weights in heartbeat.weights:
            for published in weights.published:
                self.state.record_weights_version(
                    weights.model,
                    published.version,
                    now_s - published.age_s,
                )
        for engine in heartbeat.engine_weights:
            self.state.registry.update_weights(
                engine.upstream, engine.model, engine.version
            )
        for name in heartbeat.leaving_upstreams:
            if self.state.record_leaving(name, heartbeat.sender.name):
                self.announce_leaving(name, now_s)
        self.state.streams.merge(heartbeat.software, heartbeat.registry, now_s)
        self._merge_store_outages(heartbeat, now_s)
        self._merge_brittle(heartbeat, now_s)
        self._merge_limits(heartbeat, now_s)
        self.state.peer_contacts.replace(
            heartbeat.sender.name, heartbeat.unreached, now_s
        )
        if heartbeat.fleet is not None:
            self.state.known_fleet.record(
                heartbeat.fleet.routers, now_s - heartbeat.fleet.age_s, now_s
            )
        known = self.state.registry.incarnations
        avoided = {
            entry.upstream: entry.for_s
            for entry in heartbeat.avoided
            if entry.upstream in known
        }
        sender = heartbeat.sender.name
        for name in self._avoided_by_peer.pop(sender, set()) - set(avoided):
            self.state.upstream_stats.avoid(name, now_s)
        for name, for_s in avoided.items():
            self.state.upstream_stats.record_peer_order(
                name, now_s + for_s, now_s
            )
        if avoided:
            self._avoided_by_peer[sender] = set(avoided)

    def _note_generation(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        news = self.state.generation_news
        if news.record_heard(heartbeat.generation, now_s):
            decisions.record(
                decisions.ConfigurationBehind(
                    generation=self.state.generation,
                    peer_generation=heartbeat.generation,
                    peer=heartbeat.sender.name,
                    confirmed_age_s=news.confirmed_age_s(now_s),
                )
            )

    def _merge_store_outages(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        addresses = {store.address for store in self.state.cache_stores()}
        for entry in heartbeat.avoided:
            if entry.upstream in addresses:
                self.state.store_health.mark_down(
                    entry.upstream, now_s + entry.for_s
                )

    def weights(self, now_s: float) -> tuple[messages.Weights, ...]:
        """Return the newest weights versions known to this router."""
        bound_s = self.state.pace.bound_s
        return tuple(
            messages.Weights(
                history.model,
                tuple(
                    messages.PublishedVersion(version, age_s)
                    for version, age_s in history.published(now_s, bound_s)
                ),
            )
            for history in self.state.newest_weights.values()
        )

    def registry(self, now_s: float) -> messages.Served | None:
        """Return the known time span in which the registry answered."""
        span = self.state.registry.served
        if span is None:
            return None
        return messages.Served(
            for_s=span.until_s - span.since_s, age_s=now_s - span.until_s
        )

    def fleet(self, now_s: float) -> messages.FleetSize:
        """Return the largest recent number of live routers."""
        self.state.fleet(now_s)
        return messages.FleetSize(*self.state.known_fleet.largest(now_s))

    def loads(self) -> tuple[messages.UpstreamLoad, ...]:
        """Return this router's own requests at upstreams, and their speed."""
        return cost_gossip.told_loads(self.state, clock.now_s())


def build(
    state: states.ForwardingState,
    gossip: Gossip,
    *,
    current,
    offer,
    lost_services: Callable[[], tuple[str, ...]],
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
        This router's state.
    gossip : Gossip
        Information about upstreams to exchange.
    current, offer : callable
        Return the current document, and accept a newer one.
    lost_services : callable
        Returns the services whose upstreams this router cannot reach.
    encode, decode : callable
        Convert a document to and from bytes.
    seeds : list of str
        ``IP:port`` of the peers to contact first.
    interval_s, silent_s : float
        Heartbeat interval, and silence after which a peer counts as gone.
    rng : random.Random
        For jitter and choices.
    """
    sources = nodes.HeartbeatHooks(
        loads=gossip.loads,
        weights=lambda _: gossip.weights(clock.now_s()),
        quarantine=state.crash_counts.suspicions.entries,
        quarantine_log=state.crash_counts.suspicions.log,
        on_quarantine=state.crash_counts.suspicions.merge,
        leaving=lambda: state.stopping,
        # Peers are timed by a clock that stops while the host is suspended;
        # information about upstreams keeps ageing.
        leaving_upstreams=lambda _: gossip.leaving(clock.now_s()),
        avoided=lambda _: gossip.avoided(clock.now_s()),
        registry=lambda _: gossip.registry(clock.now_s()),
        unreached=lambda _: lost_services(),
        brittle=lambda _: gossip.brittle(clock.now_s()),
        full=lambda _: gossip.full(clock.now_s()),
        software=lambda _: state.streams.news(clock.now_s()),
        fleet=lambda _: gossip.fleet(clock.now_s()),
        limited=lambda _: gossip.limited(clock.now_s()),
        engine_weights=lambda _: gossip.engine_weights(clock.now_s()),
        on_upstream_news=lambda heartbeat, _: gossip.merge(
            heartbeat, clock.now_s()
        ),
        on_loads=lambda heartbeat, _: cost_gossip.merge(
            state, heartbeat, clock.now_s()
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
        state.zone,
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

    def tell_full(incarnation: str, for_s: float) -> None:
        gossip.record_full(incarnation, for_s, clock.now_s())
        client.start_broadcast()

    state.tell_full = tell_full
    state.tell_crashes = client.start_telling_crashes
    state.tell_contact = client.start_broadcast

    def tell_leaving(incarnation: str) -> None:
        gossip.announce_leaving(incarnation, clock.now_s())
        client.start_broadcast()

    state.tell_leaving = tell_leaving
    state.tell_limits = client.start_broadcast
    state.tell_weights = client.start_broadcast
    state.wait_for_first_news = functools.partial(
        client.wait_for_first_news, FIRST_NEWS_TIMEOUT_S
    )
    state.peers = lambda: node.table.live(stalls.running_s())
    state.is_peer_live = lambda peer: any(
        (each.name, each.incarnation) == (peer.name, peer.incarnation)
        for each in node.table.peers(stalls.running_s())
    )
    state.has_unknown_seeds = client.has_unknown_seeds
    state.hand_over = client.hand_over
    state.streams.has_silent_peer = lambda: node.table.has_silent(
        stalls.running_s()
    )
    origins = state.streams.directory
    origins.keep_at = functools.partial(
        client.keep_origins, deadline_s=directory.KEEP_TIMEOUT_S
    )
    origins.ask_at = functools.partial(
        client.find_origin, deadline_s=directory.ASK_TIMEOUT_S
    )
    state.live_routers = lambda: node.table.live_count(stalls.running_s())
    peering = peerings.Peering(node, client, None, "", encode)
    peering.origin_keeper = origins
    return peering
