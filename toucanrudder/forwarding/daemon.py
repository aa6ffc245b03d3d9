"""Process of the forwarding router: start, signals and planned stop."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import logging
import random
import signal
import sys
import time
import uuid

import aiomisc
import attrs
import orjson
from oslo_config import cfg
import uvloop

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import resources
from toucanrudder import stalls
from toucanrudder import tasks
from toucanrudder.admission import caps
from toucanrudder.admission import rests
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import capping
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import forwarder
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import orders
from toucanrudder.forwarding import peering
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import store_watch
from toucanrudder.forwarding.attempts import retry_window
from toucanrudder.forwarding.handover import monitoring
from toucanrudder.forwarding.handover import taking
from toucanrudder.http1 import account as accounts
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.observability import decisions
from toucanrudder.observability import lines
from toucanrudder.observability import metrics
from toucanrudder.peers import peering as peerings
from toucanrudder.store import interface

LOG = logging.getLogger(__name__)

#: Threads of the pool that aiomisc requires; requests need none.
POOL_SIZE = 2

#: Seconds before the supervisor kills the process at which the router
#: closes the remaining connections, so that it still exits in order.
FORCED_CLOSE_S = 0.4

#: Longest wait for peers to learn of an engine that is about to load; a
#: peer that does not reply in time will get refusals from the engine.
TELL_PEERS_TIMEOUT_S = 0.1

#: Poll interval for the end of all requests during a planned stop.
DRAIN_POLL_S = 0.05

#: Step of refusals of requests that have not been read in full.
READ_STEP = "read"

#: Shortest time after which a client that was refused for lack of memory may
#: return, and the part of it by which these times differ.
MEMORY_RETRY_AFTER_S = 0.5
MEMORY_RETRY_SPREAD_SHARE = 2.0

#: Interval of the check for upstreams that stay missing.
MISSING_CHECK_S = 0.2


@attrs.frozen
class Platform:
    """Platform-specific parts of the daemon.

    Parameters
    ----------
    dialect : dialects.Dialect
        Reads and writes callers' and upstreams' heads.
    store : ConditionalStore and KindFeed
        Client of the object store.
    kinds : store_watch.WatchedKinds
        Watched kinds of objects and their decoders.
    encode, decode : callable
        Convert a document to and from bytes.
    engine_calls : callable
        Takes the connection pool and a clock; returns the client for calls
        to engines.
    """

    dialect: dialects.Dialect
    store: interface.ConditionalStore
    kinds: store_watch.WatchedKinds
    encode: Callable
    decode: Callable
    engine_calls: Callable[..., loading.OrderDialect]


class Router:
    """All components of one forwarding router.

    Parameters
    ----------
    conf : oslo_config.cfg.ConfigOpts
        Validated settings.
    platform : Platform
        Platform-specific parts.
    """

    def __init__(self, conf: cfg.ConfigOpts, platform: Platform):
        self.conf = conf
        self.platform = platform
        self.rng = random.Random()
        self.state = states.ForwardingState(
            name=conf.router.name,
            zone=conf.router.zone,
            rng=self.rng,
            budget_bounds=retry_window.RetryBounds(
                conf.retries.ratio, conf.retries.slack, conf.retries.window_s
            ),
            pace=rollout.Pace(conf.weights.bound_ms / 1000),
        )
        self.engine_calls = platform.engine_calls(self.state.pool, clock.now_s)
        self.document = None
        self.contact_monitor = monitoring.ContactMonitor(self.state)
        self.gossip = peering.Gossip(self.state)
        self.peering = peering.build(
            self.state,
            self.gossip,
            current=lambda: self.document,
            offer=self.offer,
            lost_services=self.contact_monitor.lost_services,
            encode=platform.encode,
            decode=platform.decode,
            seeds=conf.peers.seeds,
            interval_s=conf.peers.interval_s,
            silent_s=conf.peers.silent_s,
            rng=self.rng,
        )
        self.store_watch = store_watch.StoreWatch(
            self.state,
            platform.store,
            platform.kinds,
            self.gossip,
            self.peering,
            offer=self.offer,
            timeout_s=conf.store.timeout_s,
            wait_s=conf.store.watch_wait_s,
            rng=self.rng,
        )
        self.state.is_settled = self.store_watch.has_converged
        self.gate = self._cap_gate()
        self.peering.answer_cap = self.gate.answer
        self.state.account = accounts.Account(self._bounds)
        self.receiver = taking.HandOverReceiver(self.state, platform.dialect)
        self.peering.take_over = self.receiver.handle
        self.forwarder = forwarder.Forwarder(
            self.state, platform.dialect, self.gate
        )
        self.request_listener = self._listener(
            self._hooks(self.forwarder.handle, self._limits)
        )
        self.readiness_listener = self._listener(
            self._bodiless_hooks(self._answer_readiness)
        )
        self.metrics_listener = self._listener(
            self._bodiless_hooks(self._answer_metrics)
        )

    def _cap_gate(self) -> capping.CapGate:
        return capping.CapGate(
            caps.Bounds(
                self.conf.caps.window_s,
                self.conf.caps.slack,
                self.conf.caps.overrun,
            ),
            members=self.store_watch.cap_members,
            is_settled=self.store_watch.has_converged,
            ask=functools.partial(
                self.peering.client.use_cap, deadline_s=capping.OWNER_TIMEOUT_S
            ),
            organisation_of=self.state.organisation,
            rng=self.rng,
        )

    # Updates from the store and from the rollout.

    def offer(self, document, source: str = "peer") -> bool:
        """Activate a document if it is newer; return whether it was."""
        previous = self.state.generation
        configuration = document.configuration
        if not self.state.offer(configuration):
            return False
        self.document = document
        news, now_s = self.state.generation_news, clock.now_s()
        decisions.record(
            decisions.ConfigurationTaken(
                generation=document.generation,
                previous=previous,
                source=source,
                api_keys=configuration.api_keys
                if configuration.requires_keys
                else None,
                confirmed_age_s=news.confirmed_age_s(now_s),
                behind_s=news.record_taken(now_s),
            )
        )
        # The watches of all peers may have lost their answers.
        self.peering.client.exchange_soon()
        if source == "peer":
            self.store_watch.expect_configuration()
        return True

    async def avoid(self, incarnation: str, for_s: float) -> None:
        """Send no requests to an engine for a while, and tell peers."""
        self.gossip.avoid(incarnation, for_s, clock.now_s())
        await self.peering.client.broadcast_urgent(TELL_PEERS_TIMEOUT_S)

    # Listeners.

    def _listener(self, hooks: server.Hooks) -> server.Listener:
        return server.Listener(hooks, self.state.account)

    def _bounds(self) -> accounts.Bounds:
        limits = self.conf.limits
        return accounts.bounds_for(
            limits.memory_mb * resources.BYTES_PER_MB
            or resources.memory_bytes(),
            limits.max_descriptors or resources.max_descriptors(),
            self._limits().max_body_bytes,
        )

    def _memory_refusal(self) -> tuple[float, bytes]:
        delay_s = rests.retry_after_s(
            MEMORY_RETRY_AFTER_S, self.rng, MEMORY_RETRY_SPREAD_SHARE
        )
        error = errors.RudderError(
            errors.Code.MEMORY_FULL,
            "callers occupy the memory that they may",
            step=READ_STEP,
            retry_after_s=round(delay_s, 3),
        )
        return delay_s, orjson.dumps(error.as_body())

    def _hooks(self, handle, limits) -> server.Hooks:
        return server.Hooks(
            handle=handle,
            limits=limits,
            closing=lambda: self.state.stopping,
            refusal_body=_refusal_body,
            refused=lambda refusal: metrics.count_refusal(
                refusal.code, READ_STEP
            ),
            clock=clock.now_s,
            memory_refusal=self._memory_refusal,
            group=self.forwarder.group,
        )

    def _bodiless_hooks(self, handle) -> server.Hooks:
        """Return the callbacks of a listener that answers without bodies."""
        hooks = self._hooks(handle, self._bodiless_limits)
        return attrs.evolve(hooks, needs_room=False)

    def _limits(self) -> server.Limits:
        configuration = self.state.configuration
        if configuration is None:
            return server.Limits()
        return _server_limits(configuration.limits)

    def _bodiless_limits(self) -> server.Limits:
        return attrs.evolve(self._limits(), max_body_bytes=0)

    async def _answer_readiness(self, request, answer: server.Answer) -> None:
        is_ready = self.state.is_ready
        text = b"ok\n" if is_ready else b"not ready\n"
        await answer.send_whole(200 if is_ready else 503, (), text)

    async def _answer_metrics(self, request, answer: server.Answer) -> None:
        headers: message.Headers = (
            (b"Content-Type", b"text/plain; version=0.0.4"),
        )
        await answer.send_whole(200, headers, metrics.page())

    # Controllers.

    def _cache_feed(self) -> cache_feed.CacheFeedController:
        return cache_feed.CacheFeedController(
            self.state,
            self.engine_calls,
            self.store_watch.live_router_names,
            self.rng,
        )

    def _lease(self) -> holder.LeaseHolder:
        holder_id = f"{self.state.name}.{uuid.uuid4().hex[:8]}"
        return holder.LeaseHolder(
            self.platform.store,
            orders.LEASE_NAME,
            holder_id,
            timeout_s=self.conf.store.timeout_s,
            rng=self.rng,
            timing=decision.timing_for_failover(
                self.conf.weights.lease_ms / 1000
            ),
        )

    def _rollout(self, lease: holder.LeaseHolder) -> orders.RolloutController:
        controller = orders.RolloutController(
            self.state,
            self.engine_calls,
            lease,
            takeover_rank=self.store_watch.takeover_rank,
            avoid=self.avoid,
        )
        self.state.report_weights_mismatch = controller.refresh_weights
        self.state.fetch_engine_report = controller.request_report
        self.state.reports.ask = self.engine_calls.ask_report
        return controller

    def _record_stall(self, for_s: float) -> None:
        metrics.histogram(
            "toucanrudder_stall_seconds", "s", "The router did not run"
        ).record(for_s)
        decisions.record(
            decisions.Stalled(
                router=self.state.name,
                for_s=for_s,
                open_requests=self.state.open_requests,
            )
        )

    async def _expire_missing(self) -> None:
        while True:
            await asyncio.sleep(MISSING_CHECK_S)
            now_s = clock.now_s()
            self.store_watch.expire_missing(now_s)
            self.state.fleet(now_s)
            self.state.asked_rests.expire(now_s)
            self.state.limits.retain(self.state.registry.incarnations, now_s)
            self.state.streams.tick(now_s)
            self.state.crash_counts.record_blocked(time.time())

    def controllers(self) -> list[tasks.TaskService]:
        """Return the tasks that keep the router's state up to date."""
        lease = self._lease()
        watches = (
            *self.store_watch.controllers(),
            self.store_watch.lease_controller(lease),
        )
        running = {
            f"follow {controller.kind}": controller.run
            for controller in watches
        }
        running["peers"] = self.peering.run
        running["stream origins"] = self.state.streams.directory.run
        running["contact"] = self.contact_monitor.run
        running["cache events"] = self._cache_feed().run
        running["rollout"] = self._rollout(lease).run
        running["tick"] = self._expire_missing
        running["stalls"] = functools.partial(stalls.watch, self._record_stall)
        running["caps"] = self.gate.run
        return [
            tasks.TaskService(run=run, label=label)
            for label, run in running.items()
        ]

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Run the controllers and listeners within the context."""
        metrics.gauge(
            "toucanrudder_members",
            "Other routers, as this one has heard of them",
            lambda: self.peering.node.table.count_by_state(stalls.running_s()),
        )
        metrics.gauge(
            "toucanrudder_configuration_generation",
            "Generation in force, and the newest that a peer has",
            self.state.generation_news.generations,
        )
        metrics.gauge(
            "toucanrudder_configuration_age_seconds",
            "Since the store answered, and since a peer has a newer one",
            lambda: self.state.generation_news.ages_s(clock.now_s()),
        )
        metrics.gauge(
            "toucanrudder_upstreams",
            "Upstreams in use; missing: believed though not registered",
            self.state.registry.counts,
        )
        metrics.gauge(
            "toucanrudder_quarantined",
            "Parts of prompts that are refused, as upstreams crashed at them",
            self.state.crash_counts.count_blocked,
        )
        costs = self.state.costs
        metrics.gauge(
            "toucanrudder_time_factor",
            "Learned time for a unit of work, relative to the usual one",
            costs.servers.time_factors,
            "upstream",
        )
        metrics.gauge(
            "toucanrudder_forecast_error",
            "Largest difference of forecast and seen shares, by decile",
            costs.forecast_errors,
            "forecast",
        )
        metrics.gauge(
            "toucanrudder_forecast_bias",
            "Mean forecast relative to the mean seen",
            costs.forecast_biases,
            "forecast",
        )
        metrics.gauge(
            "toucanrudder_waiting",
            "Requests that wait for room, by service",
            self.state.waiting.counts,
        )
        metrics.gauge(
            "toucanrudder_caller_memory_bytes",
            "What connections of callers hold, and what they may hold",
            self.state.account.memory_bytes,
        )
        metrics.gauge(
            "toucanrudder_caller_connections",
            "Connections of callers, and how many there may be",
            self.state.account.connection_counts,
        )
        conf = self.conf.listen
        host, port = _host_port(conf.peers)
        entrypoint = aiomisc.entrypoint(
            *self.controllers(),
            peerings.PeerService(peering=self.peering, host=host, port=port),
            catch_signals=(),
            log_config=False,
            pool_size=POOL_SIZE,
        )
        async with entrypoint:
            await self.request_listener.start(*_host_port(conf.callers))
            await self.readiness_listener.start(*_host_port(conf.ready))
            if conf.metrics:
                await self.metrics_listener.start(*_host_port(conf.metrics))
            try:
                yield
            finally:
                for listener in (
                    self.request_listener,
                    self.readiness_listener,
                    self.metrics_listener,
                ):
                    await listener.stop()
                self.state.pool.close()

    async def drain(self) -> None:
        """Serve remaining requests until the load balancer sends no more.

        The router reports at once that it is not ready, and closes each
        connection after its answer.  Until the load balancer notices, new
        connections still arrive and are served: refusing them would fail
        requests that another router could have served.
        """
        self.state.stopping = True
        now_s = self.state.stopping_since_s = clock.now_s()
        shutdown = self.conf.shutdown
        end_s = now_s + shutdown.grace_s - FORCED_CLOSE_S
        self.state.stop_at_s = end_s
        notice_end_s = now_s + min(shutdown.notice_s, shutdown.grace_s / 2)
        while clock.now_s() < end_s:
            await asyncio.sleep(DRAIN_POLL_S)
            if clock.now_s() < notice_end_s:
                continue
            self.request_listener.close_idle()
            if not self.request_listener.busy and not self.receiver.taken:
                return
        LOG.warning("requests are still open at the end of the grace period")
        await self.state.stop_limits.end_all()


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@functools.lru_cache(maxsize=16)
def _server_limits(limits: model.CallerLimits) -> server.Limits:
    return server.Limits(**attrs.asdict(limits))


@functools.cache
def _refusal_body(refusal: server.Refusal) -> bytes:
    codes = {
        server.Refusal.BODY_TOO_LARGE: errors.Code.BODY_TOO_LARGE,
        server.Refusal.SLOW: errors.Code.BODY_TOO_SLOW,
    }
    error = errors.RudderError(
        codes.get(refusal, errors.Code.INVALID_REQUEST),
        refusal.code.replace("_", " "),
        step=READ_STEP,
    )
    return orjson.dumps(error.as_body())


async def serve(conf: cfg.ConfigOpts, platform: Platform) -> None:
    """Serve in the running event loop until a planned stop ends."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    router = Router(conf, platform)
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: decisions.record(decisions.Reloaded(router=router.state.name)),
    )
    async with router.serving():
        decisions.record(
            decisions.Started(router=router.state.name, zone=router.state.zone)
        )
        await stop.wait()
        decisions.record(
            decisions.Stopping(
                router=router.state.name,
                open_requests=router.state.open_requests,
                grace_s=conf.shutdown.grace_s,
            )
        )
        await router.drain()
    decisions.record(
        decisions.Stopped(
            router=router.state.name, open_requests=router.state.open_requests
        )
    )


def run(conf: cfg.ConfigOpts, platform: Platform) -> None:
    """Serve in a new event loop until a signal causes a planned stop."""
    handler = lines.set_up(conf.logging.level, sys.stdout)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(serve(conf, platform))
        finally:
            handler.close()
