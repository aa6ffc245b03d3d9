"""Watches of the store's objects that a forwarding router depends on."""

import asyncio
from collections.abc import Callable
import random

import attrs

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.controllers import feeds
from toucanrudder.forwarding import capping
from toucanrudder.forwarding import model
from toucanrudder.forwarding import orders
from toucanrudder.forwarding import peering as peerings
from toucanrudder.forwarding import registry as registries
from toucanrudder.forwarding import state as states
from toucanrudder.leases import holder
from toucanrudder.membership import convergence
from toucanrudder.membership import routers
from toucanrudder.observability import decisions
from toucanrudder.peers import peering as peer_peerings
from toucanrudder.placement import rendezvous
from toucanrudder.store import continuity
from toucanrudder.store import fanout
from toucanrudder.store import feed
from toucanrudder.store import interface
from toucanrudder.store import strange

#: Routers that watch the weights in the store: as many as may fail at once
#: without delaying the next one in the order of takeover.
WEIGHTS_WATCHERS = 6

#: Longest wait of a watch on the configuration.  Peers announce a newer
#: generation within a second, and keep-alive probes close a dead
#: connection; the wait only bounds the delay if both fail.
MAX_WATCH_WAIT_S = 20.0

#: Longest time without an answer to any router's watch of the configuration.
MAX_ANSWER_INTERVAL_S = 0.5

#: Time after a peer's document in which a healthy watch has answered too.
RECHECK_DELAY_S = 1.0

#: Largest number of routers for which the batching delay of changes grows,
#: which limits it to a quarter of a second: in a large fleet changes are
#: batched twice on their way.
MAX_BATCHING_ROUTERS = 40

#: Longest wait after a start for the membership to settle before changes
#: of the registry are requested: half of the shortest time within which a
#: leaving upstream must be detected.
UPSTREAMS_SETTLE_S = 1.0

#: Number of routers up to which watches of the usual wait load the store
#: little.
BASE_WAIT_ROUTERS = 16


@attrs.frozen
class WatchedKinds:
    """Kinds of objects that are watched, and their decoders.

    Parameters
    ----------
    configuration, upstreams, weights : str
        Names of the kinds in the store.
    read_document : callable
        Returns the document in a stored object, or None if it holds none.
    read_upstream : callable
        Returns the upstream in a stored object.
    read_weights : callable
        Returns the model and its version in a stored object.
    """

    configuration: str
    upstreams: str
    weights: str
    read_document: Callable
    read_upstream: Callable[[interface.StoredObject], model.Upstream]
    read_weights: Callable[[interface.StoredObject], tuple[str, int]]


def configuration_wait_s(usual_s: float, routers: int) -> float:
    """Return how long a watch on the configuration waits.

    The more routers watch, the sooner one of them has a fresh answer and
    passes it on to the others, so each one may ask less often.

    Examples
    --------
    >>> configuration_wait_s(5.0, 1), configuration_wait_s(5.0, 8)
    (0.5, 4.0)
    >>> configuration_wait_s(5.0, 16), configuration_wait_s(5.0, 400)
    (5.0, 20.0)
    """
    wait_s = usual_s * routers / BASE_WAIT_ROUTERS
    least_s = min(usual_s, routers * MAX_ANSWER_INTERVAL_S)
    return min(max(least_s, wait_s), max(usual_s, MAX_WATCH_WAIT_S))


def first_wait_s(wait_s: float, rank: int, watchers: int) -> float:
    """Return how long a router's first watch after a change waits.

    The watches of all routers begin again at the same time.  Their ends are
    spread over the wait, so that one router has an answer soon if those to
    all pending watches are lost.

    Parameters
    ----------
    wait_s : float
        Wait of later watches.
    rank : int
        Number of watching routers that precede this one.
    watchers : int
        Number of routers that watch.

    Examples
    --------
    >>> [first_wait_s(5.0, rank, 4) for rank in range(4)]
    [1.25, 2.5, 3.75, 5.0]
    """
    return wait_s * (rank + 1) / watchers


class StoreWatch:
    """Keeps the router's state up to date with the store.

    Parameters
    ----------
    state : states.ForwardingState
        This router's state.
    store : feed.KindFeed
        The store.
    kinds : WatchedKinds
        Watched kinds and their decoders.
    gossip : peerings.Gossip
        Announces leaving upstreams to peers.
    peering : peer_peerings.Peering
        This router's exchange with its peers.
    offer : callable
        Takes a document and the name of its source.
    timeout_s, wait_s : float
        Timeout of a listing, and wait of a watch.
    rng : random.Random
        For jitter.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        store: feed.KindFeed,
        kinds: WatchedKinds,
        gossip: peerings.Gossip,
        peering: peer_peerings.Peering,
        *,
        offer: Callable,
        timeout_s: float,
        wait_s: float,
        rng: random.Random,
    ):
        self._state = state
        self._store = store
        self._kinds = kinds
        self._gossip = gossip
        self._peering = peering
        self._offer = offer
        self._timeout_s = timeout_s
        self._wait_s = wait_s
        self._rng = rng
        self._ranked_members: tuple[routers.Member, ...] = ()
        self._names: tuple[str, ...] = ()
        self._cap_members: tuple[capping.Member, ...] = ()
        self._takeover_rank = 0
        self._convergence = convergence.ConvergenceDetector()
        self._upstreams_convergence = convergence.ConvergenceDetector(
            UPSTREAMS_SETTLE_S
        )
        self._has_read_weights = self._has_read_lease = False
        self._duties: set[str] = set()
        self._upstream_log = fanout.ChangeLog()
        self._configuration: feeds.FeedController | None = None
        peering.logs = {kinds.upstreams: self._upstream_log}

    # Division of work among the routers.

    def _live(self) -> tuple[routers.Member, ...]:
        table = self._peering.node.table
        return table.live(stalls.running_s())

    def cap_members(self) -> tuple[capping.Member, ...]:
        """Return the live routers, which own the usage caps."""
        self._refresh_membership()
        return self._cap_members

    def has_converged(self) -> bool:
        """Whether the membership has settled after the start."""
        return self._has_converged(self._convergence)

    def live_router_names(self) -> tuple[str, ...]:
        """Return the names of all live routers, including this one."""
        self._refresh_membership()
        return self._names

    def takeover_rank(self) -> int:
        """Return how many live routers precede this one for takeover."""
        self._refresh_membership()
        return self._takeover_rank

    def _refresh_membership(self) -> None:
        """Recompute what depends on the live routers if they changed."""
        live = self._live()
        if live is self._ranked_members and self._names:
            return
        self._ranked_members = live
        self._names = (self._state.name, *(member.name for member in live))
        self._cap_members = (
            capping.Member(self._state.name),
            *(capping.Member(member.name, member.address) for member in live),
        )
        self._takeover_rank = sum(
            name < self._state.name for name in self._names
        )

    def _record_duty(self, duty: str, held: bool) -> bool:
        """Log the start or end of a duty; return `held`."""
        if held is not (duty in self._duties):
            self._duties ^= {duty}
            decisions.record(
                decisions.DutyChanged(
                    duty=duty, held=held, routers=len(self.live_router_names())
                )
            )
        return held

    def _is_reader(self) -> bool:
        names = self.live_router_names()
        if not fanout.uses_fanout(len(names)):
            return True
        is_reader = self._state.name in fanout.select_readers(names)
        return self._record_duty("registry", is_reader)

    def _upstreams_wait_s(self) -> float:
        """Return how long a watch on the registry waits.

        A few readers use short waits, so that their answers show that the
        registry is available.
        """
        names = fanout.select_readers(self.live_router_names())
        waits_s = dict(zip(names, continuity.WATCH_WAITS_S, strict=False))
        return min(self._wait_s, waits_s.get(self._state.name, self._wait_s))

    def _has_followers(self) -> bool:
        return fanout.uses_fanout(len(self.live_router_names()))

    def _choose_reader(
        self, avoided_readers: set[str]
    ) -> fanout.Reader | None:
        live = {member.name: member.address for member in self._live()}
        readers = fanout.select_readers(self.live_router_names())
        key = self._state.name.encode()[:64]
        for name in rendezvous.ranked(key, readers):
            if name in live and name not in avoided_readers:
                return fanout.Reader(name, live[name])
        return None

    async def _ask_reader(
        self,
        reader: fanout.Reader,
        kind: str,
        position: feed.Position,
        wait_s: float,
    ) -> fanout.ReaderReply | None:
        return await self._peering.client.fetch_changes(
            reader.address,
            kind,
            position,
            wait_s=wait_s,
            deadline_s=fanout.ASK_DEADLINE_S,
        )

    def _has_converged(
        self, detector: convergence.ConvergenceDetector
    ) -> bool:
        return detector.has_converged(
            len(self.live_router_names()), clock.now_s()
        )

    def _watches_weights(self) -> bool:
        """Whether this router watches the weights in the store itself.

        Only those that may soon have to send load orders do.  The others
        need the versions only to choose engines, and get them from peers
        within a second.  Each router reads them once after its start:
        when a whole fleet starts, no peer knows them yet.
        """
        if not self._has_converged(self._convergence):
            return not self._has_read_weights
        is_watcher = self.takeover_rank() < WEIGHTS_WATCHERS
        return self._record_duty("weights", is_watcher)

    def _watches_lease(self) -> bool:
        """Whether this router watches the lease for load orders.

        Each router reads it once after its start.  Otherwise, if the
        holder fails together with many others and the next one in line has
        just started, that one measures the lease's age only from its first
        read, and engines wait for orders for that much longer.
        """
        if not self._has_converged(self._convergence):
            return not self._has_read_lease
        is_watcher = self.takeover_rank() < orders.LEASE_WATCHERS
        return self._record_duty("lease", is_watcher)

    # Controllers.

    def controllers(self) -> list[feeds.FeedController]:
        """Return a controller for each watched kind."""
        kinds = self._kinds
        upstreams = fanout.FanoutFeed(
            self._store,
            self._upstream_log,
            is_reader=self._is_reader,
            has_followers=self._has_followers,
            choose_reader=self._choose_reader,
            ask_reader=self._ask_reader,
            clock=clock.now_s,
            is_membership_known=lambda: self._has_converged(
                self._upstreams_convergence
            ),
        )
        self._configuration = self._controller(
            self._store,
            kinds.configuration,
            feeds.FeedCallbacks(
                self._on_documents,
                _for_each_change(self._on_documents),
                on_confirmed=lambda now_s, _: (
                    self._state.generation_news.record_confirmed(now_s)
                ),
            ),
            self._configuration_wait_s,
            first_wait_s=lambda: self._first_wait_s(
                self._configuration_wait_s()
            ),
        )
        return [
            self._configuration,
            self._controller(
                upstreams,
                kinds.upstreams,
                feeds.FeedCallbacks(
                    self._on_upstream_list,
                    self._on_upstream_change,
                    self._state.registry.mark_recovered,
                    self._on_synced,
                ),
                self._upstreams_wait_s,
            ),
            self._controller(
                self._store,
                kinds.weights,
                feeds.FeedCallbacks(
                    self._on_weights, _for_each_change(self._on_weights)
                ),
                is_wanted=self._watches_weights,
                first_wait_s=lambda: self._first_wait_s(
                    self._wait_s, WEIGHTS_WATCHERS
                ),
            ),
        ]

    def lease_controller(
        self, lease: holder.LeaseHolder
    ) -> feeds.FeedController:
        """Return the controller that feeds the lease's object to `lease`."""

        def on_objects(objects, now_s: float) -> None:
            self._has_read_lease = True
            for stored in objects:
                if stored.name == lease.name:
                    lease.observe(stored, now_s)

        return self._controller(
            self._store,
            holder.KIND,
            feeds.FeedCallbacks(on_objects, _for_each_change(on_objects)),
            is_wanted=self._watches_lease,
        )

    def expect_configuration(self) -> None:
        """Replace the watch unless it answers soon after a peer's document."""
        asyncio.get_running_loop().call_later(
            RECHECK_DELAY_S, self._recheck_configuration, clock.now_s()
        )

    def _recheck_configuration(self, since_s: float) -> None:
        news = self._state.generation_news
        if news.is_confirmed_since(since_s):
            return
        decisions.record(
            decisions.WatchReplaced(
                kind=self._kinds.configuration,
                generation=self._state.generation,
                confirmed_age_s=news.confirmed_age_s(clock.now_s()),
            )
        )
        self._configuration.recheck()

    def _configuration_wait_s(self) -> float:
        if not self.has_converged():
            return self._wait_s
        return configuration_wait_s(self._wait_s, self._state.live_routers())

    def _first_wait_s(
        self, wait_s: float, max_watchers: float = float("inf")
    ) -> float | None:
        """Return the wait of this router's first watch after a change.

        None while the other routers are not known.
        """
        if not self.has_converged():
            return None
        watchers = min(max_watchers, len(self.live_router_names()))
        rank = min(self.takeover_rank(), watchers - 1)
        return first_wait_s(wait_s, rank, watchers)

    def _controller(
        self,
        source: feed.KindFeed,
        kind: str,
        callbacks: feeds.FeedCallbacks,
        wait_s: Callable[[], float] | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
        first_wait_s: Callable[[], float | None] = lambda: None,
    ) -> feeds.FeedController:
        return feeds.FeedController(
            source,
            kind,
            callbacks,
            timeout_s=self._timeout_s,
            wait_s=wait_s or (lambda: self._wait_s),
            rng=self._rng,
            followers=lambda: min(
                self._state.live_routers(), MAX_BATCHING_ROUTERS
            ),
            is_wanted=is_wanted,
            first_wait_s=first_wait_s,
        )

    # Callbacks of the watches.

    def _on_documents(self, objects, now_s: float) -> None:
        for stored in objects:
            document = strange.decode_or_none(
                self._kinds.read_document, stored
            )
            if document is not None:
                self._offer(document, "store")

    def _on_upstream_list(self, objects, now_s: float) -> None:
        registry = self._state.registry
        upstreams = (self._read_upstream(stored) for stored in objects)
        for upstream, absence in registry.replace(
            filter(None, upstreams), now_s
        ):
            _record_upstream_change(upstream, absence.value)
        self._state.retain(registry.incarnations)
        self._state.streams.observe(now_s)

    def _on_synced(self, now_s: float, due_s: float) -> None:
        registry = self._state.registry
        registry.mark_synced(now_s, due_s)
        sent_s = self._upstream_log.last_answered_sent_s
        if sent_s is not None:
            registry.add_served_span(continuity.Span(sent_s, sent_s))

    def _read_upstream(
        self, stored: interface.StoredObject
    ) -> model.Upstream | None:
        return strange.decode_or_none(self._kinds.read_upstream, stored)

    def _on_upstream_change(self, change: feed.Change, now_s: float) -> None:
        registry = self._state.registry
        upstream = self._read_upstream(change.object)
        if upstream is not None and not change.is_deleted:
            self._on_registered(upstream)
            return
        # A deleted or malformed entry removes the upstream of its name.
        known = registry.by_name(change.object.name)
        is_earlier = upstream is not None and registry.is_superseded(upstream)
        if known is None or is_earlier:
            return
        absence = registry.remove(known.incarnation, now_s)
        if absence is not None:
            _record_upstream_change(known, absence.value)
        self._state.retain(registry.incarnations)

    def expire_missing(self, now_s: float) -> None:
        """Drop upstreams still missing after the grace period."""
        registry = self._state.registry
        dropped = registry.expire_missing(now_s)
        for upstream in dropped:
            _record_upstream_change(upstream, registries.Absence.GONE.value)
        if dropped:
            self._state.retain(registry.incarnations)

    def _on_registered(self, upstream: model.Upstream) -> None:
        registry = self._state.registry
        if registry.is_superseded(upstream):
            return
        known = registry.get(upstream.incarnation)
        if known is None:
            _record_upstream_change(upstream, "came")
        if upstream.is_leaving and not (known and known.is_leaving):
            _record_upstream_change(upstream, "leaves")
            self._gossip.announce_leaving(upstream.incarnation, clock.now_s())
            # Peers without access to the registry learn it from this router.
            self._peering.client.exchange_soon()
        registry.put(upstream)
        if known is None:
            # Drops the state of an earlier start under the same name.
            self._state.retain(registry.incarnations)
        self._observe_software(upstream)

    def _observe_software(self, upstream: model.Upstream) -> None:
        streams = self._state.streams
        was_known = streams.software.is_known(upstream)
        streams.observe(clock.now_s())
        if not was_known:
            # Peers without access to the registry learn it from this router.
            self._peering.client.exchange_soon()

    def _on_weights(self, objects, now_s: float) -> None:
        self._has_read_weights = True
        for stored in objects:
            weights = strange.decode_or_none(self._kinds.read_weights, stored)
            if weights and self._state.record_weights_version(*weights, now_s):
                # Routers that do not watch the weights get them from peers.
                self._peering.client.exchange_soon()


def _record_upstream_change(upstream: model.Upstream, change: str) -> None:
    decisions.record(
        decisions.UpstreamSeen(
            upstream=upstream.incarnation,
            service=upstream.service,
            software_version=upstream.software_version,
            change=change,
            source="registry",
        )
    )


def _for_each_change(on_objects):
    """Return a change callback that calls a snapshot callback."""

    def on_change(change: feed.Change, now_s: float) -> None:
        if not change.is_deleted:
            on_objects((change.object,), now_s)

    return on_change
