"""State that the filters of one router share."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import functools
import hashlib
import itertools
import random
import time

import aiohttp
import attrs
from oslo_config import cfg

from toucanrudder import admission
from toucanrudder import claims
from toucanrudder import errors
from toucanrudder import quarantine
from toucanrudder import resources
from toucanrudder import retries
from toucanrudder import stalls
from toucanrudder import stops
from toucanrudder import store
from toucanrudder.admission import rests
from toucanrudder.controllers import configuration
from toucanrudder.controllers import kv_transfer
from toucanrudder.document import model
from toucanrudder.filters import body_size
from toucanrudder.http1 import account as accounts
from toucanrudder.membership import instances
from toucanrudder.membership import routers
from toucanrudder.messages import request as requests
from toucanrudder.peers import loads as peer_loads
from toucanrudder.placement import types
from toucanrudder.prefix import cache_index
from toucanrudder.prefix import identity
from toucanrudder.prefix import request_rates
from toucanrudder.relay import attempt as attempts
from toucanrudder.router import background
from toucanrudder.router import exchanges
from toucanrudder.router import fleet
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import failures
from toucanrudder.upstreams import in_flight
from toucanrudder.upstreams import loads
from toucanrudder.upstreams import service

STEP = "state"
NOT_CONFIGURED_RETRY_S = 1.0

#: Intervals of load reports, and least seconds, within which a router that has
#: started waits for the first report of each engine before it is ready.
FIRST_POLLS = 3.0
MIN_FIRST_POLLS_S = 1.0

#: Retries that a newly started router may spend on one pool.  They cover a
#: whole batch.
INITIAL_RETRIES = 20.0


@attrs.frozen
class _DocumentIndex:
    """Lookup tables derived from one document."""

    accepted: model.Accepted
    organisations_by_digest: dict[str, model.Organisation]
    upstreams: dict[str, model.Upstream]
    largest_held_bytes: int


def _build_index(accepted: model.Accepted) -> _DocumentIndex:
    document = accepted.document
    return _DocumentIndex(
        accepted,
        {
            digest: organisation
            for organisation in document.organisations
            for digest in organisation.api_key_sha256s
        },
        {upstream.name: upstream for upstream in document.upstreams},
        max(
            body_size.COPIES * document.policy.max_body_bytes,
            *(each.max_body_bytes for each in document.services),
            0,
        ),
    )


async def _no_broadcast() -> None:
    return None


@attrs.define(eq=False)
class RouterState:
    """Tables and clients of one router.  Each table has a single writer.

    Built by :func:`toucanrudder.router.assembly.open_state`.
    """

    conf: cfg.ConfigOpts
    rng: random.Random
    objects: store.ObjectStore
    session: aiohttp.ClientSession
    configuration: configuration.ConfigurationController
    engines: engine.EngineClient
    services: service.ServiceClient
    loads: loads.LoadTable
    in_flight: in_flight.InFlightTable
    prefix_index: cache_index.PrefixCacheIndex
    prefix_rates: request_rates.PrefixRates
    fleet: fleet.Fleet
    admission: admission.AdmissionQueue
    limiter: admission.RateLimiter
    claims: claims.ClaimKeeper
    suspects: quarantine.SuspectTracker
    exchanges: exchanges.OpenExchanges
    background: background.Background
    routers: routers.RouterTable
    peer_loads: peer_loads.PeerLoads
    instances: instances.InstanceTable
    kv_transfers: kv_transfer.KVTransferController | None = None
    stopping: bool = False
    stopping_since_s: float = float("inf")
    stop_at_s: float = float("inf")
    stop_limits: stops.StopLimits = attrs.field(factory=stops.StopLimits)
    exchange_soon: Callable[[], None] = lambda: None
    broadcast_urgent: Callable[[], Awaitable[None]] = _no_broadcast
    asked_rests: rests.Rests = attrs.field(factory=rests.Rests)
    started_s: float = attrs.field(factory=stalls.running_s)
    account: accounts.Account = attrs.field(
        default=attrs.Factory(
            lambda self: accounts.Account(
                self.caller_bounds, self.free_memory_bytes
            ),
            takes_self=True,
        )
    )
    _budgets: dict[str, retries.RetryBudget] = attrs.field(factory=dict)
    _cached_index: _DocumentIndex | None = None

    @staticmethod
    def now_s() -> float:
        """Return the monotonic time without the stalls of this process."""
        return stalls.running_s()

    @staticmethod
    def wall_s() -> float:
        """Return the Unix time, for timestamps exchanged between routers."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait between two attempts."""
        await asyncio.sleep(delay_s)

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background."""
        self.background.spawn(coroutine)

    def _index(self) -> _DocumentIndex:
        accepted = self.configuration.current
        if accepted is None:
            raise errors.RudderError(
                errors.Code.NOT_CONFIGURED,
                "no configuration has been obtained yet",
                step=STEP,
                peer="store",
                retry_after_s=NOT_CONFIGURED_RETRY_S,
            )
        index = self._cached_index
        if index is None or index.accepted is not accepted:
            index = self._cached_index = _build_index(accepted)
        return index

    def is_ready(self, now_s: float) -> bool:
        """Return whether the load balancer may send requests.

        A crash of an engine whose process is unknown cannot be told from
        others, and its requests would go on to crash further engines.  So a
        router that has just started first asks each engine; one that does
        not answer is waited for no longer than `FIRST_POLLS` intervals.
        """
        if self.stopping or self.configuration.current is None:
            return False
        wait_s = max(
            MIN_FIRST_POLLS_S,
            FIRST_POLLS * self.conf.upstreams.load_interval_s,
        )
        if now_s > self.started_s + wait_s:
            return True
        return all(
            self.loads.get(upstream.name) is not None
            or not self.loads.is_reachable(upstream.name)
            for upstream in self.document().upstreams
            if upstream.kind == model.ENGINE
        )

    def _memory_bytes(self) -> int:
        memory_mb = self.conf.limits.memory_mb
        return memory_mb * resources.BYTES_PER_MB or resources.memory_bytes()

    def free_memory_bytes(self) -> int:
        """Return the memory that the instance has left."""
        return self._memory_bytes() - resources.resident_bytes()

    def caller_bounds(self) -> accounts.Bounds:
        """Return what the connections of callers may occupy."""
        limits = self.conf.limits
        largest_bytes = 0
        if self.configuration.current is not None:
            largest_bytes = self._index().largest_held_bytes
        return accounts.bounds_for(
            self._memory_bytes(),
            limits.max_descriptors or resources.max_descriptors(),
            largest_bytes,
        )

    def document(self) -> model.Document:
        """Return the configuration in force."""
        return self._index().accepted.document

    def organisations_by_digest(self) -> dict[str, model.Organisation]:
        """Return organisations by the SHA-256 of their API keys."""
        return self._index().organisations_by_digest

    def upstream(self, name: str) -> model.Upstream | None:
        """Return the configured upstream with this name, or None."""
        return self._index().upstreams.get(name)

    def salt(self, organisation: str) -> bytes:
        """Return the organisation's cache salt."""
        return _salt(self.conf.router.fleet_key, organisation)

    def live_routers(self, now_s: float) -> int:
        """Return the number of live routers, this one included."""
        return self.routers.live_count(now_s)

    def budget(self, pool: str) -> retries.RetryBudget:
        """Return the retry budget of an upstream pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = retries.RetryBudget(initial_retries=INITIAL_RETRIES)
            self._budgets[pool] = budget
        # Read on each call: a budget outlives the document that it was
        # created under.
        budget.ratio = self.document().policy.retry_ratio
        return budget

    def patience(
        self, upstream: str, first_token_by_s: float
    ) -> attempts.Limits:
        """Return how long an attempt at the upstream may be silent."""
        received = self.loads.get(upstream)
        decode_s = received.report.decode_s_per_token if received else 0.0
        return attempts.Limits(
            silent_event_s=self.conf.upstreams.silent_event_s,
            decode_s_per_token=decode_s,
            first_token_by_s=first_token_by_s,
        )

    def _accepts_work(self, upstream: model.Upstream) -> bool:
        received = self.loads.get(upstream.name)
        reported_state = received.report.state if received else None
        return (
            reported_state in (None, instances.LIVE)
            and not self.instances.is_leaving(upstream.name, reported_state)
            and not upstream.drained
            and self.loads.is_reachable(upstream.name)
            and self.rest_s(upstream) <= 0
        )

    def _process(self, name: str) -> str:
        """Return the identity of the upstream's process, as last reported."""
        received = self.loads.get(name)
        return f"{name}@{received.report.incarnation if received else ''}"

    def rest_s(self, upstream: model.Upstream) -> float:
        """Return for how long an upstream wants no request of this router."""
        if self.asked_rests.is_empty:
            return 0.0
        return self.asked_rests.wait_s(
            self._process(upstream.name), self.now_s()
        )

    def retry_after_s(
        self, upstreams: Iterable[model.Upstream], least_s: float
    ) -> float:
        """Return after how many seconds a refused caller may return.

        Parameters
        ----------
        upstreams : iterable of model.Upstream
            Those that could serve the request.
        least_s : float
            The delay if they do not rest.
        """
        first_s = min(map(self.rest_s, upstreams), default=0.0)
        return max(least_s, rests.retry_after_s(first_s, self.rng))

    def usable_upstreams(
        self, upstreams: Iterable[model.Upstream], now_s: float
    ) -> tuple[model.Upstream, ...]:
        """Return the upstreams that may be given new work.

        Parameters
        ----------
        upstreams : iterable of model.Upstream
            Candidates.
        now_s : float
            Current monotonic time.

        Notes
        -----
        If the reports of all upstreams are stale, the likely cause is that
        this router or its network is slow.  Refusing all requests would
        turn a slow second into an outage, so all upstreams are used.
        """
        accepting = tuple(filter(self._accepts_work, upstreams))
        healthy = tuple(
            upstream
            for upstream in accepting
            if self.loads.is_healthy(upstream.name, now_s)
        )
        return healthy or accepting

    def usable_engines(
        self, model_name: str, now_s: float
    ) -> tuple[model.Upstream, ...]:
        """Return the engines that may be given work for the model."""
        return self.usable_upstreams(self.engines_of(model_name), now_s)

    def engines_of(self, model_name: str) -> tuple[model.Upstream, ...]:
        """Return the configured engines that serve the model."""
        return tuple(
            upstream
            for upstream in self._index().upstreams.values()
            if upstream.kind == model.ENGINE
            and model_name in upstream.models
            and not upstream.drained
        )

    def place(
        self,
        request: requests.ModelRequest,
        engines: tuple[model.Upstream, ...],
        now_s: float,
    ) -> types.Decision:
        """Choose an engine; raises what `placement.policies.decide` raises."""
        return self.fleet.decide(
            request,
            engines,
            policy=self.document().policy,
            routers=self.live_routers(now_s),
            now_s=now_s,
        )

    def standing(self, request: requests.ModelRequest) -> quarantine.Standing:
        """Return the standing of the request in the quarantine.

        Raises
        ------
        RudderError
            ``quarantined``: the request crashed engines and is not run again.
        """
        wall_s = self.wall_s()
        standing = self.suspects.standing(fingerprint_of(request), wall_s)
        part = self.suspects.parts.blocked(part_fingerprints(request), wall_s)
        if part is not None or standing is quarantine.Standing.QUARANTINED:
            raise errors.RudderError(
                errors.Code.QUARANTINED,
                "engines crashed while they ran this request",
                step="quarantine",
                ran=errors.Ran.UNKNOWN,
            )
        return standing

    def plan_trial(
        self,
        request: requests.ModelRequest,
        now_s: float,
        can_run: Callable[[model.Upstream], bool] = lambda engine: True,
    ) -> quarantine.Trial | None:
        """Return on which engine and when a suspect request may run.

        Parameters
        ----------
        request : requests.ModelRequest
            The request.
        now_s : float
            Current monotonic time.
        can_run : callable
            Returns whether an engine can run it.

        Returns
        -------
        quarantine.Trial or None
            None if no engine can run the model or the request is no suspect.
        """
        usable = {
            engine.name
            for engine in self.usable_engines(request.model, now_s)
            if can_run(engine)
        }
        configured = [
            upstream.name for upstream in self.engines_of(request.model)
        ]
        fingerprint, wall_s = fingerprint_of(request), self.wall_s()
        # All routers rank the same configured engines.  The usable engines
        # differ between routers, so that ranking those could send two
        # suspects to one engine.
        trial = self.suspects.plan_trial(fingerprint, configured, wall_s)
        usable = (
            set(itertools.filterfalse(self._has_crashed, usable)) or usable
        )
        if trial is None or trial.upstream in usable:
            return trial
        return self.suspects.plan_trial(fingerprint, sorted(usable), wall_s)

    def in_flight_entry(
        self,
        request: requests.ModelRequest,
        decision: types.Decision,
        isolated: bool,
    ) -> in_flight.InFlightRequest:
        """Return what is known of a request that is sent now.

        Parameters
        ----------
        request : requests.ModelRequest
            The request.
        decision : types.Decision
            The engine chosen for it.
        isolated : bool
            Whether it is a suspect on trial there.
        """
        missing = request.prompt_tokens - decision.expected_hit_tokens
        expected = decision.incarnation
        is_dead = self.is_presumed_dead(decision.upstream, expected)
        return in_flight.InFlightRequest(
            fingerprint_of(request),
            prefill_tokens=max(0, missing),
            incarnation="" if is_dead else expected,
            sent_after=expected if is_dead else "",
            isolated=isolated,
            priority=int(request.priority),
            sent_parts=self.suspects.parts.sent(part_fingerprints(request)),
        )

    def _has_crashed(self, upstream: str) -> bool:
        load = self.loads.get(upstream)
        return load is not None and self.is_presumed_dead(
            upstream, load.report.incarnation
        )

    def record_crash(self, upstream: str, incarnation: str) -> None:
        """Record the crash of an engine process with requests in flight.

        Requests sent to a later process of the engine, or after the crash
        was known, are not involved in it and are left out.
        """
        involved = [
            quarantine.InFlight(
                entry.fingerprint, entry.isolated, entry.sent_parts
            )
            for entry in self.in_flight.entries(upstream)
            if entry.incarnation in ("", incarnation)
            and entry.sent_after != incarnation
        ]
        self.suspects.record_crash(
            upstream, incarnation, involved, self.wall_s()
        )
        self.prefix_index.forget(upstream, incarnation)
        # The caller may resend to another router at once, which has to
        # know of the crash by then.
        self.exchange_soon()

    def is_presumed_dead(self, upstream: str, incarnation: str) -> bool:
        """Return whether the quarantine counts a crash of this process."""
        return self.suspects.is_presumed_dead(
            upstream, incarnation, self.wall_s()
        )

    def record_alive(self, upstream: str, incarnation: str) -> None:
        """Record that an engine process presumed dead has answered."""
        self.suspects.record_alive(upstream, incarnation, self.wall_s())

    def record_failure(self, failure: failures.UpstreamFailure) -> None:
        """Record what a failure says of its upstream.

        After a refused connection the upstream is not used until a load poll
        succeeds, and after a refusal not in the rest that it asks for.
        """
        if failure.connection_refused:
            self.loads.mark_unreachable(failure.upstream)
        if failure.rest_s:
            now_s = self.now_s()
            self.asked_rests.expire(now_s)
            self.asked_rests.record(
                self._process(failure.upstream), failure.rest_s, now_s
            )


def fingerprint_of(request: requests.ModelRequest) -> str:
    """Return the fingerprint that identifies the request in quarantine."""
    return quarantine.fingerprint(request.organisation, request.body_sha256)


def part_fingerprints(request: requests.ModelRequest) -> tuple[str, ...]:
    """Return the identities of the parts that other prompts may share.

    The parts of a chat are its messages, wherever they stand; those of a
    plain prompt are its beginnings, each twice as long as the one before.
    """
    if request.path.endswith("/chat/completions"):
        texts = [
            f"{message.get('role')}\0{message.get('content')}"
            for message in request.body["messages"][:-1]
        ]
        identities = [
            hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()
            for text in texts
        ]
    else:
        keys = request.prefix_keys
        counts = (1 << bit for bit in range(len(keys).bit_length()))
        identities = [keys[count - 1].hex() for count in counts]
    return tuple(
        quarantine.part_fingerprint(
            request.organisation, request.model, identity
        )
        for identity in identities
    )


@functools.lru_cache(maxsize=4096)
def _salt(fleet_key: str, organisation: str) -> bytes:
    return identity.cache_salt(fleet_key, organisation)
