"""What the parts of the forwarding path share."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.forwarding import cache as caches
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import poison
from toucanrudder.forwarding import registry as registries
from toucanrudder.forwarding import retry_window
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import stores
from toucanrudder.forwarding import upstream_states
from toucanrudder.http1 import pool as pools
from toucanrudder.observability import decisions
from toucanrudder.peers import loads as peers_loads

STEP = "state"

#: When a router that has no configuration yet is worth asking again: the
#: first one arrives well within a second of a start.
NOT_CONFIGURED_RETRY_S = 0.3

#: Age up to which a peer's word on its work is used: a few rounds of
#: heartbeats; most requests have ended by then.
PEER_LOADS_KEPT_S = 1.5


async def _no_report(upstream: model.Upstream) -> None:
    """Ask no engine: none is known."""


@attrs.define(eq=False)
class ForwardingState:
    """Tables of one router; each has one owner that writes it.

    Parameters
    ----------
    name, zone : str
        This router and its availability zone.
    rng : random.Random
        For splits and ties.
    budget_bounds : retry_window.RetryBounds
        Bounds of retries over all routers.
    live_routers : callable
        Number of live routers, this one included.
    pace : rollout.Pace
        How fast engines must follow new weights.
    """

    name: str
    zone: str
    rng: random.Random
    budget_bounds: retry_window.RetryBounds
    live_routers: Callable[[], int] = lambda: 1
    pace: rollout.Pace = rollout.DEFAULT_PACE
    registry: registries.Registry = attrs.field(factory=registries.Registry)
    cache: caches.CacheIndex = attrs.field(factory=caches.CacheIndex)
    store_health: stores.StoreHealth = attrs.field(factory=stores.StoreHealth)
    upstream_stats: upstream_states.UpstreamStates = attrs.field(
        factory=upstream_states.UpstreamStates
    )
    pool: pools.ConnectionPool = attrs.field(factory=pools.ConnectionPool)
    newest_weights: dict[str, "WeightsHistory"] = attrs.field(factory=dict)
    peer_loads: peers_loads.PeerLoads = attrs.field(
        factory=lambda: peers_loads.PeerLoads(PEER_LOADS_KEPT_S)
    )
    prefill_speeds: speeds.PrefillSpeeds = attrs.field(
        factory=speeds.PrefillSpeeds
    )
    crash_counts: poison.CrashCounts = attrs.field(factory=poison.CrashCounts)
    fetch_engine_report: Callable[
        [model.Upstream], Awaitable[rollout.EngineReport | None]
    ] = _no_report
    report_weights_mismatch: Callable[[model.Upstream], None] = (
        lambda upstream: None
    )
    stopping: bool = False
    stopping_since_s: float = float("inf")
    stop_at_s: float = float("inf")
    open_requests: int = 0
    _table: routing.RoutingTable | None = None
    _retries: dict[str, retry_window.RetryWindow] = attrs.field(factory=dict)

    @property
    def configuration(self) -> model.Configuration | None:
        """What is in force, or None."""
        return self._table.configuration if self._table else None

    @property
    def generation(self) -> int:
        """Generation in force; 0 for none."""
        return self._table.configuration.generation if self._table else 0

    def offer(self, candidate: model.Configuration) -> bool:
        """Put a configuration in force if it is newer.

        A router that went back would bring back dropped routes and keys,
        so an older one is never taken, whoever offers it.
        """
        if candidate.generation <= self.generation:
            return False
        self._table = routing.RoutingTable(candidate)
        return True

    def table(self) -> routing.RoutingTable:
        """Return the routes in force.

        Raises
        ------
        RudderError
            ``not_configured``.
        """
        if self._table is None:
            raise errors.RudderError(
                errors.Code.NOT_CONFIGURED,
                "no configuration has been obtained yet",
                step=STEP,
                peer="store",
                retry_after_s=NOT_CONFIGURED_RETRY_S,
            )
        return self._table

    def organisation(self, name: str) -> model.Organisation | None:
        """Return what is configured of an organisation, by its name."""
        return self._table.organisation(name) if self._table else None

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return (
            not self.stopping
            and self._table is not None
            and self.registry.has_listing
        )

    def retries_for(self, service: str) -> retry_window.RetryWindow:
        """Return this router's share of the retries to a service."""
        found = self._retries.get(service)
        if found is None:
            found = retry_window.RetryWindow(self.budget_bounds)
            self._retries[service] = found
        return found

    def record_weights_version(
        self, name: str, version: int, now_s: float
    ) -> bool:
        """Note the newest weights of a model; say whether they are news."""
        named = self.newest_weights.setdefault(name, WeightsHistory(name))
        if version <= named.version:
            return False
        named.record(version, now_s)
        decisions.record(decisions.WeightsNamed(model=name, version=version))
        return True

    def weights_age_s(self, upstream: model.Upstream, name: str) -> float:
        """Return for how long an engine's weights have been superseded."""
        named = self.newest_weights[name]
        return named.age_s(upstream.weights.get(name, 0), clock.now_s())

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

    def cache_stores(self) -> tuple[model.CacheStore, ...]:
        """Return the configured stores of cached parts."""
        configuration = self.configuration
        return configuration.cache_stores if configuration else ()

    def store_for(
        self, prompt: model.Prompt, wall: str, now_s: float
    ) -> model.CacheStore | None:
        """Return the store that keeps a prompt's shared parts, if any."""
        usable = self.store_health.usable(self.cache_stores(), now_s)
        return stores.store_for(prompt, wall, usable)

    def speeds_for(
        self, service: str, store: model.CacheStore | None
    ) -> speeds.EngineSpeeds:
        """Return what a service's engines do in a second."""
        found = self.configuration.services.get(service)
        return speeds.engine_speeds(
            found.engine if found else None,
            store,
            self.prefill_speeds.tokens_per_s(service),
        )

    def candidates(
        self, service: str, prompt: model.Prompt | None, now_s: float
    ) -> list[placing.Candidate]:
        """Return the service's upstreams with what is known of them."""
        newest = None
        if prompt is not None:
            newest = self.newest_weights.get(prompt.model)
        upstreams = self.registry.for_service(service)
        ages_s = _weights_ages_s(upstreams, newest)
        others = self.peer_loads.sums(now_s)
        found = []
        for upstream in upstreams:
            name = upstream.incarnation
            work = others.get(name, peers_loads.NOTHING)
            version = upstream.weights.get(newest.model) if newest else None
            found.append(
                placing.Candidate(
                    upstream,
                    self.upstream_stats.of(name),
                    ages_s.get(version, 0.0),
                    work.prefill_tokens,
                    work.requests,
                )
            )
        return found


def _weights_ages_s(
    upstreams: Iterable[model.Upstream], newest: "WeightsHistory | None"
) -> dict[int, float]:
    """Return for how long each version in use has been superseded."""
    if newest is None:
        return {}
    now_s = clock.now_s()
    versions = {
        upstream.weights.get(newest.model, newest.version)
        for upstream in upstreams
    }
    return {version: newest.age_s(version, now_s) for version in versions}


#: Versions of one model that are remembered; older ones are all too old.
MAX_VERSIONS = 32


@attrs.define
class WeightsHistory:
    """The weights that a model is to have.

    Parameters
    ----------
    model : str
        The model's name.
    version : int
        Rises with each.
    named_at_s : dict of int to float
        When this router learned of each version, by the monotonic time.

    Examples
    --------
    >>> named = WeightsHistory("m")
    >>> named.record(2, 10.0); named.record(3, 14.0)
    >>> named.age_s(1, 15.0), named.age_s(2, 15.0), named.age_s(3, 15.0)
    (5.0, 1.0, 0.0)
    """

    model: str
    version: int = 0
    named_at_s: dict[int, float] = attrs.field(factory=dict)

    def record(self, version: int, now_s: float) -> None:
        """Note that a version was named."""
        if version <= self.version:
            return
        self.version = version
        self.named_at_s[version] = now_s
        while len(self.named_at_s) > MAX_VERSIONS:
            del self.named_at_s[min(self.named_at_s)]

    def age_s(self, version: int, now_s: float) -> float:
        """Return for how long a version has been superseded."""
        since_s = [
            at_s for named, at_s in self.named_at_s.items() if named > version
        ]
        return now_s - min(since_s) if since_s else 0.0
