"""Shared state of one forwarding router."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import contextlib
import itertools
import random

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import stalls
from toucanrudder import stops
from toucanrudder.admission import rests
from toucanrudder.costs import request_costs
from toucanrudder.forwarding import cache as caches
from toucanrudder.forwarding import events
from toucanrudder.forwarding import generations
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import poison
from toucanrudder.forwarding import registry as registries
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import run_ends
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import stores
from toucanrudder.forwarding import upstream_news
from toucanrudder.forwarding import upstream_states
from toucanrudder.forwarding import waiting as waiting_rooms
from toucanrudder.forwarding import weights_ages
from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.forwarding.handover import contact as contacts
from toucanrudder.forwarding.statements import brittleness
from toucanrudder.forwarding.statements import gate as gates
from toucanrudder.forwarding.statements import rate_limits
from toucanrudder.forwarding.streams import directory
from toucanrudder.forwarding.streams import origins
from toucanrudder.forwarding.streams import resuming
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import answer_room
from toucanrudder.http1 import pool as pools
from toucanrudder.membership import fleet_size
from toucanrudder.membership import routers
from toucanrudder.observability import decisions
from toucanrudder.peers import handovers
from toucanrudder.peers import loads as peers_loads
from toucanrudder.placement import rendezvous

STEP = "state"

#: ``Retry-After`` of a router that has no configuration yet: it gets one
#: well within a second of its start.
NOT_CONFIGURED_RETRY_S = 0.3

#: Age up to which a peer's load report is used: a few heartbeat rounds;
#: most requests have ended by then.
PEER_LOADS_KEPT_S = 1.5

#: What the unfinished events of all streams may occupy together.
MAX_PARTIAL_EVENTS_BYTES = 8_388_608


async def _no_news() -> None:
    """Wait for no peer; used until the calls to peers are set."""


async def _no_report(upstream: model.Upstream) -> None:
    """Return no report; used until the rollout controller is set."""


def _no_exchange(address: str, deadline_s: float):
    """Fail; used until the calls to peers are set."""
    raise handovers.BadExchange("this router has no peers")


@attrs.define(eq=False)
class ForwardingState:
    """State of one router; each table has a single writer.

    Parameters
    ----------
    name, zone : str
        This router and its availability zone.
    rng : random.Random
        For splits and ties.
    budget_bounds : retry_window.RetryBounds
        Bounds of retries over all routers.
    live_routers : callable
        Returns the number of live routers, including this one.
    peers : callable
        Returns the other live routers that are not stopping.
    is_peer_live : callable
        Given a peer, returns whether it is heard of, stopping or not.
    hand_over : callable
        Given a peer's address and a deadline in seconds, begins to hand a
        request over.
    pace : rollout.Pace
        How soon engines must have new weights.
    tell_full : callable
        Given an upstream's incarnation and a time in seconds, asks peers to
        send it nothing for so long.
    tell_contact : callable
        Tells peers at once which services are out of reach.
    tell_crashes : callable
        Tells peers at once which requests were in flight at crashes.
    wait_for_first_news : callable
        Waits until a router that has just started knows what peers know.
    tell_limits : callable
        Tells peers at once which limits upstreams state.
    tell_weights : callable
        Tells peers at once which weights engines have stated.
    tell_leaving : callable
        Given an upstream's incarnation, tells peers at once that it leaves.
    gate : gates.UpstreamGate
        Says whether an upstream may be sent a request now.
    is_settled : callable
        Returns whether all live routers are probably known.
    generation_news : generations.GenerationNews
        How current the configuration is.
    known_fleet : fleet_size.FleetSize
        Recent numbers of live routers.
    has_unknown_seeds : callable
        Returns whether an address of the settings is that of no live router.
    started_s : float
        Monotonic time at which this process started.
    account : accounts.Account
        What callers occupy of the instance's memory.
    partial_events : answer_room.AnswerRoom
        Room for the unfinished events of all streams.
    """

    name: str
    zone: str
    rng: random.Random
    budget_bounds: retry_window.RetryBounds
    live_routers: Callable[[], int] = lambda: 1
    peers: Callable[[], tuple[routers.Member, ...]] = tuple
    is_peer_live: Callable[[routers.Member], bool] = lambda peer: False
    hand_over: Callable[
        [str, float],
        contextlib.AbstractAsyncContextManager[handovers.OutgoingExchange],
    ] = _no_exchange
    pace: rollout.Pace = rollout.DEFAULT_PACE
    registry: registries.Registry = attrs.field(factory=registries.Registry)
    cache: caches.CacheIndex = attrs.field(factory=caches.CacheIndex)
    store_health: stores.StoreHealth = attrs.field(factory=stores.StoreHealth)
    upstream_stats: upstream_states.UpstreamStates = attrs.field(
        factory=upstream_states.UpstreamStates
    )
    pool: pools.ConnectionPool = attrs.field(factory=pools.ConnectionPool)
    brittle: brittleness.BrittleServices = attrs.field(
        factory=brittleness.BrittleServices
    )
    slot_owners: brittleness.SlotOwners = attrs.field(
        default=attrs.Factory(
            lambda self: brittleness.SlotOwners(self.name), takes_self=True
        )
    )
    tell_full: Callable[[str, float], None] = lambda name, for_s: None
    tell_contact: Callable[[], object] = lambda: None
    tell_crashes: Callable[[], object] = lambda: None
    wait_for_first_news: Callable[[], Awaitable[None]] = _no_news
    contact: contacts.ContactTable = attrs.field(factory=contacts.ContactTable)
    peer_contacts: contacts.PeerContacts = attrs.field(
        factory=contacts.PeerContacts
    )
    newest_weights: dict[str, weights_ages.WeightsHistory] = attrs.field(
        factory=dict
    )
    weights_news: upstream_news.WeightsNews = attrs.field(
        factory=upstream_news.WeightsNews
    )
    peer_loads: peers_loads.PeerLoads = attrs.field(
        factory=lambda: peers_loads.PeerLoads(PEER_LOADS_KEPT_S)
    )
    prefill_speeds: speeds.PrefillSpeeds = attrs.field(
        factory=speeds.PrefillSpeeds
    )
    costs: request_costs.RequestCosts = attrs.field(
        factory=request_costs.RequestCosts
    )
    crash_counts: poison.CrashCounts = attrs.field(factory=poison.CrashCounts)
    fetch_engine_report: Callable[
        [model.Upstream], Awaitable[rollout.EngineReport | None]
    ] = _no_report
    reports: run_ends.SharedReports = attrs.field(
        factory=run_ends.SharedReports
    )
    report_weights_mismatch: Callable[[model.Upstream], None] = (
        lambda upstream: None
    )
    streams: resuming.StreamResumption = attrs.field(
        default=attrs.Factory(lambda self: self._streams(), takes_self=True)
    )
    limits: rate_limits.RateLimits = attrs.field(
        factory=rate_limits.RateLimits
    )
    waiting: waiting_rooms.WaitingRoom = attrs.field(
        default=attrs.Factory(waiting_rooms.WaitingRoom, takes_self=True)
    )
    asked_rests: rests.Rests = attrs.field(factory=rests.Rests)
    account: accounts.Account = attrs.field(factory=accounts.unbounded)
    partial_events: answer_room.AnswerRoom = attrs.field(
        factory=lambda: answer_room.AnswerRoom(
            events.MAX_EVENT_BYTES, MAX_PARTIAL_EVENTS_BYTES
        )
    )
    tell_limits: Callable[[], object] = lambda: None
    tell_weights: Callable[[], object] = lambda: None
    tell_leaving: Callable[[str], object] = lambda incarnation: None
    gate: gates.UpstreamGate = attrs.field(
        default=attrs.Factory(
            lambda self: gates.UpstreamGate(
                self.registry, self.limits, self.asked_rests, self._turn
            ),
            takes_self=True,
        )
    )
    is_settled: Callable[[], bool] = lambda: True
    generation_news: generations.GenerationNews = attrs.field(
        default=attrs.Factory(
            lambda self: generations.GenerationNews(lambda: self.generation),
            takes_self=True,
        )
    )
    known_fleet: fleet_size.FleetSize = attrs.field(
        factory=fleet_size.FleetSize
    )
    has_unknown_seeds: Callable[[], bool] = lambda: False
    started_s: float = attrs.field(factory=clock.now_s)
    stopping: bool = False
    stopping_since_s: float = float("inf")
    stop_at_s: float = float("inf")
    stop_limits: stops.StopLimits = attrs.field(factory=stops.StopLimits)
    open_requests: int = 0
    _has_known_all: bool = False
    _table: routing.RoutingTable | None = None
    _retries: dict[str, retry_window.RetryWindow] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.pool.on_connect = self.contact.record
        self.upstream_stats.on_begin = self.waiting.record_begin
        self.upstream_stats.on_end = self.waiting.record_end

    def _streams(self) -> resuming.StreamResumption:
        resumption = resuming.StreamResumption(
            self.registry,
            lambda: self._table.resumable_timeouts_s if self._table else {},
            directory.OriginDirectory(
                self.name,
                lambda: self.peers(),
                lambda now_s: resumption.shared_services(now_s),
            ),
        )
        return resumption

    @property
    def configuration(self) -> model.Configuration | None:
        """The active configuration; None before the first."""
        return self._table.configuration if self._table else None

    @property
    def generation(self) -> int:
        """Generation of the active configuration; 0 for none."""
        return self._table.configuration.generation if self._table else 0

    def offer(self, candidate: model.Configuration) -> bool:
        """Activate a configuration if it is newer; return whether it was.

        An older one is never activated, whatever its source, as that would
        restore dropped routes and revoked keys.
        """
        if candidate.generation <= self.generation:
            return False
        self._table = routing.RoutingTable(candidate)
        return True

    def table(self) -> routing.RoutingTable:
        """Return the active routing table.

        Raises
        ------
        RudderError
            ``not_configured``.
        """
        if self._table is None:
            raise errors.RudderError(
                errors.Code.NOT_CONFIGURED,
                "this router has not received a configuration yet",
                step=STEP,
                peer="store",
                retry_after_s=NOT_CONFIGURED_RETRY_S,
            )
        return self._table

    def organisation(self, name: str) -> model.Organisation | None:
        """Return a configured organisation by its name, or None."""
        return self._table.organisation(name) if self._table else None

    @property
    def is_ready(self) -> bool:
        """Whether the router accepts new connections."""
        return (
            not self.stopping
            and self._table is not None
            and self.registry.has_listing
        )

    def retries_for(self, service: str) -> retry_window.RetryWindow:
        """Return this router's retry budget for a service."""
        window = self._retries.get(service)
        if window is None:
            window = retry_window.RetryWindow(
                self.budget_bounds, self.started_s
            )
            self._retries[service] = window
        return window

    def spend_retry(self, service: str, now_s: float) -> bool:
        """Take a retry from this router's share; False if it is used up."""
        return self.retries_for(service).spend(now_s, self.fleet(now_s))

    def retries_left(self, service: str, now_s: float) -> float:
        """Return how many retries this router may make now."""
        return self.retries_for(service).remaining(now_s, self.fleet(now_s))

    def fleet(self, now_s: float) -> fleet_size.FleetView:
        """Return the size of the fleet, routers out of reach included."""
        self.known_fleet.record(self.live_routers(), now_s, now_s)
        routers, _ = self.known_fleet.largest(now_s)
        # A router that falls silent later is remembered.
        if not self._has_known_all:
            self._has_known_all = not self.has_unknown_seeds()
        return fleet_size.FleetView(routers, self._has_known_all)

    def record_rate_limit(
        self, upstream: model.Upstream, rate_per_s: float | None
    ) -> None:
        """Record the rate that an upstream's answer states; tell peers."""
        name = upstream.incarnation
        if self.limits.record(name, rate_per_s, clock.now_s()):
            self.record_limit_news(name)
            self.tell_limits()

    def record_leaving(self, incarnation: str, source: str = "") -> bool:
        """Record that an upstream leaves; return whether that is new.

        Parameters
        ----------
        incarnation : str
            The upstream.
        source : str
            The peer that told it; empty for an answer of the upstream.
        """
        known = self.registry.get(incarnation)
        if not self.registry.mark_leaving(incarnation):
            return False
        decisions.record(
            decisions.LeavingStated(
                upstream=incarnation,
                service=known.service if known else "",
                source=source,
            )
        )
        return True

    def record_answered_leaving(self, incarnation: str) -> None:
        """Record that an upstream's answer says it leaves; tell peers."""
        if self.record_leaving(incarnation):
            self.tell_leaving(incarnation)

    def record_rest(
        self, upstream: model.Upstream, asked_s: float, now_s: float
    ) -> None:
        """Record for how long an upstream wants no request of this router."""
        spread = 1.0 + rests.SPREAD_SHARE * self.rng.random()
        name = upstream.incarnation
        if not self.asked_rests.record(name, asked_s * spread, now_s):
            return
        decisions.record(
            decisions.RestRequested(
                upstream=name,
                service=upstream.service,
                asked_s=asked_s,
                for_s=self.asked_rests.wait_s(name, now_s),
            )
        )

    def record_limit_news(self, incarnation: str, source: str = "") -> None:
        """Log that the limit of an upstream has changed."""
        upstream = self.registry.get(incarnation)
        decisions.record(
            decisions.LimitStated(
                upstream=incarnation,
                service=upstream.service if upstream else "",
                rate_per_s=self.limits.stated_rate_per_s(incarnation),
                source=source,
            )
        )

    def turn_holder(self, upstream: model.Upstream, now_s: float) -> str:
        """Return the router that may use an upstream that states a limit.

        Routers that do not reach the service are passed over.
        """
        names = self.slot_owners.ranking(upstream, self.peers())
        first = self.limits.turns(upstream.incarnation, now_s) % len(names)
        if self.contact.is_faultless and self.peer_contacts.is_empty:
            return names[first]
        for name in itertools.chain(names[first:], names[:first]):
            if not self._is_out_of_reach(name, upstream.service, now_s):
                return name
        return names[first]

    def _is_out_of_reach(self, name: str, service: str, now_s: float) -> bool:
        """Whether a router, this one or a peer, does not reach a service."""
        if name == self.name:
            return self.has_lost_contact(service, now_s)
        return self.peer_contacts.is_lost(name, service, now_s)

    def _turn(
        self, upstream: model.Upstream, now_s: float
    ) -> rate_limits.Turn:
        if (
            self.stopping
            or not self.is_settled()
            or self.turn_holder(upstream, now_s) != self.name
        ):
            return rate_limits.Turn(is_own=False)
        share = self.live_routers() / self.fleet(now_s).routers
        return rate_limits.Turn(is_own=True, share=share)

    def owners_of_room(
        self, upstream: model.Upstream, now_s: float
    ) -> Collection[str]:
        """Return the routers that may have room at an upstream."""
        if self.gate.has_limit(upstream, now_s):
            return (self.turn_holder(upstream, now_s),)
        return self.slot_owners.owners(upstream, self.peers())

    def shares_room(self, service: str, now_s: float) -> bool:
        """Whether room at a service is divided among the routers."""
        if self.brittle.limit_per_s(service, now_s) is not None:
            return True
        return not self.limits.is_empty and any(
            self.gate.has_limit(upstream, now_s)
            for upstream in self.registry.for_service(service)
        )

    def record_weights_version(
        self, name: str, version: int, at_s: float
    ) -> bool:
        """Record a version of a model's weights.

        Parameters
        ----------
        name : str
            The model's name.
        version : int
            The version.
        at_s : float
            Monotonic time at which it had been published.

        Returns
        -------
        bool
            Whether no version as new was known.
        """
        history = self.newest_weights.setdefault(
            name, weights_ages.WeightsHistory(name)
        )
        is_new = version > history.version
        history.record(version, at_s)
        if not is_new:
            return False
        decisions.record(decisions.WeightsNamed(model=name, version=version))
        return True

    def record_engine_weights(
        self, incarnation: str, name: str, version: int
    ) -> bool:
        """Record weights that an engine states; return whether it is news."""
        is_news = self.registry.update_weights(incarnation, name, version)
        if is_news:
            self.weights_news.record(incarnation, name, version, clock.now_s())
        return is_news

    def weights_age_s(self, upstream: model.Upstream, name: str) -> float:
        """Return how long an engine's weights have been superseded."""
        history = self.newest_weights[name]
        return history.age_s(upstream.weights.get(name, 0), clock.now_s())

    def retain(self, incarnations: set[str]) -> None:
        """Drop what is known of other upstream processes."""
        self.upstream_stats.retain(incarnations)
        self.costs.retain(incarnations)

    def engines(self) -> list[model.Upstream]:
        """Return the upstreams of all services that are engines."""
        configuration = self.configuration
        if configuration is None:
            return []
        return [
            upstream
            for service in configuration.services.values()
            if service.engine is not None
            for upstream in self.registry.for_service(service.name)
        ]

    def addresses(self, service: str) -> list[str]:
        """Return the addresses of a service's upstreams."""
        return [
            upstream.address for upstream in self.registry.for_service(service)
        ]

    def has_lost_contact(self, service: str, now_s: float) -> bool:
        """Return whether no upstream of a service can be reached from here."""
        # Without recorded failures, no upstreams need to be listed.
        return not self.contact.is_faultless and self.contact.is_lost(
            self.addresses(service), now_s
        )

    def is_trial_router(self, part: str) -> bool:
        """Whether this router tries a blocked part for all routers."""
        names = [self.name, *(peer.name for peer in self.peers())]
        return rendezvous.ranked(part.encode(), names)[0] == self.name

    def cache_stores(self) -> tuple[model.CacheStore, ...]:
        """Return the configured stores of cached prompt parts."""
        configuration = self.configuration
        return configuration.cache_stores if configuration else ()

    def store_for(
        self, prompt: model.Prompt, scope: str, now_s: float
    ) -> model.CacheStore | None:
        """Return the usable store of a prompt's shared parts, if any."""
        usable = self.store_health.usable(self.cache_stores(), now_s)
        return stores.store_for(prompt, scope, usable)

    def speeds_for(
        self, service: str, store: model.CacheStore | None
    ) -> speeds.EngineSpeeds:
        """Return the prefill and copy speeds of a service's engines."""
        configured = self.configuration.services.get(service)
        return speeds.engine_speeds(
            configured.engine if configured else None,
            store,
            self.prefill_speeds.tokens_per_s(service),
        )

    def usable_candidates(
        self,
        service: str,
        prompt: model.Prompt | None,
        now_s: float,
        origin: origins.Origin | None = None,
    ) -> tuple[Sequence[placing.Candidate], Sequence[placing.Candidate]]:
        """Return a service's upstreams, and those worth sending to.

        Only those that can continue the stream of `origin`, if there is one.
        """
        candidates = self.candidates(
            service, prompt, stalls.running_s(), origin
        )
        usable = placing.usable_candidates(
            self._permitted(candidates, now_s), now_s, self.pace.bound_s
        )
        if self.brittle.limit_per_s(service, now_s) is not None:
            usable = placing.with_room(
                usable, self.slot_owners, self.peers(), now_s
            )
        return candidates, usable

    def _permitted(
        self, candidates: Sequence[placing.Candidate], now_s: float
    ) -> Sequence[placing.Candidate]:
        """Return the candidates that may be sent a request now.

        Those that leave are left for `placing.usable_candidates`.
        """
        if self.gate.is_open:
            return candidates
        # Few upstreams state something, and there may be a thousand.
        has_statement = self.gate.has_statement
        return [
            candidate
            for candidate in candidates
            if not has_statement(candidate.upstream.incarnation)
            or self.gate.permission(candidate.upstream, now_s).is_given
        ]

    def candidates(
        self,
        service: str,
        prompt: model.Prompt | None,
        now_s: float,
        origin: origins.Origin | None = None,
    ) -> list[placing.Candidate]:
        """Return the service's upstreams with their load and weights age."""
        newest = None
        if prompt is not None:
            newest = self.newest_weights.get(prompt.model)
        upstreams = self.registry.for_service(service)
        if origin is not None:
            upstreams = tuple(filter(origin.allows, upstreams))
        ages_s = weights_ages.ages_s(upstreams, newest, clock.now_s())
        peer_work = self.peer_loads.totals(now_s)
        is_uneven = self.costs.is_uneven(service)
        # Unlike peers' loads, statements age while the host is suspended.
        costs_at_s = clock.now_s()
        candidates = []
        for upstream in upstreams:
            name = upstream.incarnation
            work = peer_work.get(name, peers_loads.NO_LOAD)
            version = upstream.weights.get(newest.model) if newest else None
            candidates.append(
                placing.Candidate(
                    upstream,
                    self.upstream_stats.of(name),
                    ages_s.get(version, 0.0),
                    work.prefill_tokens,
                    work.requests,
                    self.costs.cost(name, costs_at_s) if is_uneven else None,
                )
            )
        return candidates
