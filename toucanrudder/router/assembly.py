"""Builds a router's state from its settings."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import functools
import logging
import random
import uuid

import aiohttp
import attrs
from oslo_config import cfg

from toucanrudder import admission
from toucanrudder import claims
from toucanrudder import quarantine
from toucanrudder import stalls
from toucanrudder import tasks
from toucanrudder.claims import reaper
from toucanrudder.controllers import cache_events
from toucanrudder.controllers import configuration
from toucanrudder.controllers import instances as instance_controllers
from toucanrudder.controllers import kv_transfer
from toucanrudder.controllers import loads as load_controllers
from toucanrudder.controllers import weights as weight_controllers
from toucanrudder.document import model
from toucanrudder.leases import holder as holders
from toucanrudder.membership import instances
from toucanrudder.membership import routers
from toucanrudder.peers import loads as peer_loads
from toucanrudder.peers import peering as peerings
from toucanrudder.prefix import cache_index
from toucanrudder.prefix import request_rates
from toucanrudder.router import background
from toucanrudder.router import exchanges
from toucanrudder.router import fleet
from toucanrudder.router import state as states
from toucanrudder.store import http as http_store
from toucanrudder.upstreams import engine
from toucanrudder.upstreams import in_flight
from toucanrudder.upstreams import loads
from toucanrudder.upstreams import service

#: Requests admitted per slot of the engines.  More than one, so that an
#: engine that frees a slot has its next request already queued.
ADMISSION_FACTOR = 2.0

#: Number of live routers that compete for a lease.
LEASE_CANDIDATES = 3

#: Requests admitted at once before a configuration names the engines.
INITIAL_CAPACITY = 256


@attrs.frozen
class _Sessions:
    """HTTP clients with pooled connections and with one per request."""

    shared: aiohttp.ClientSession
    fresh: aiohttp.ClientSession


@contextlib.asynccontextmanager
async def _sessions() -> AsyncIterator[_Sessions]:
    timeout = aiohttp.ClientTimeout(total=None)
    shared = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0),
        timeout=timeout,
        auto_decompress=False,
    )
    fresh = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=timeout,
        auto_decompress=False,
    )
    async with shared, fresh:
        yield _Sessions(shared, fresh)


def _random(seed: int) -> random.Random:
    return random.Random(seed) if seed else random.Random()


def _configured_document(
    controller: configuration.ConfigurationController,
) -> model.Document | None:
    return controller.current.document if controller.current else None


def _configured_upstreams(
    controller: configuration.ConfigurationController,
) -> tuple[model.Upstream, ...]:
    document = _configured_document(controller)
    return document.upstreams if document else ()


def _weights_lease(state: states.RouterState) -> holders.LeaseHolder:
    name = state.conf.router.name

    def is_candidate() -> bool:
        # A few candidates are enough to replace a dead holder.  Polling of
        # one object by 400 routers would be most of the store's load.
        live = [router.name for router in state.routers.live(state.now_s())]
        return name in sorted([*live, name])[:LEASE_CANDIDATES]

    def engine_reports() -> list[loads.ReceivedReport]:
        reports = map(state.loads.get, _engine_names(state))
        return [report for report in reports if report]

    def has_recent_report() -> bool:
        oldest_s = state.now_s() - weight_controllers.MAX_REPORT_AGE_S
        return any(
            received.received_s >= oldest_s for received in engine_reports()
        )

    def highest_fencing() -> int:
        return max(
            (received.report.fencing for received in engine_reports()),
            default=0,
        )

    return holders.LeaseHolder(
        state.objects,
        weight_controllers.LEASE,
        f"{name}.{uuid.uuid4().hex}",
        is_candidate=is_candidate,
        can_act=has_recent_report,
        fencing_floor=highest_fencing,
        timeout_s=state.conf.store.timeout_s,
        rng=state.rng,
    )


def _engine_names(state: states.RouterState) -> tuple[str, ...]:
    return tuple(
        upstream.name
        for upstream in _configured_upstreams(state.configuration)
        if upstream.kind == model.ENGINE
    )


def capacity(document: model.Document, routers: int) -> int:
    """Return how many requests one of `routers` may admit at once.

    Parameters
    ----------
    document : model.Document
        Names the engines and their slots.
    routers : int
        Live routers; they share the slots evenly.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> from toucanrudder.router import assembly
    >>> engine = model.Upstream("e", "engine", "127.0.0.1:1", "z", "p")
    >>> assembly.capacity(model.Document(upstreams=(engine,)), 4)
    4
    """
    slots = sum(
        upstream.slots
        for upstream in document.upstreams
        if upstream.kind == model.ENGINE and not upstream.drained
    )
    return max(1, round(ADMISSION_FACTOR * slots / max(1, routers)))


def claim_retention_s(document: model.Document) -> float:
    """Return for how long a claim is kept, so that no call outlasts it.

    The retention set in the document may be shorter than the timeout of a
    service.  If a claim expired during its call, a resend of the request
    would run a second time.

    Parameters
    ----------
    document : model.Document
        Names the services and their timeouts.

    Returns
    -------
    float
        Seconds.
    """
    longest_s = max(
        (service.timeout_s for service in document.services), default=0
    )
    return max(document.policy.claim_retention_s, longest_s)


@contextlib.asynccontextmanager
async def open_state(
    conf: cfg.ConfigOpts,
) -> AsyncIterator[states.RouterState]:
    """Yield the state of a router; close its clients afterwards.

    Parameters
    ----------
    conf : oslo_config.cfg.ConfigOpts
        Validated settings.
    """
    async with _sessions() as sessions:
        yield _build_state(conf, sessions)


def _build_state(conf, sessions: _Sessions) -> states.RouterState:
    rng = _random(conf.policy.seed)
    objects = http_store.HttpObjectStore(
        conf.store.address, sessions.shared, sessions.fresh
    )
    load_table = loads.LoadTable()
    in_flight_table = in_flight.InFlightTable()
    prefix_index = cache_index.PrefixCacheIndex()
    prefix_rates = request_rates.PrefixRates()
    peer_load_table = peer_loads.PeerLoads(conf.peers.silent_s)
    connect_timeout_s = conf.upstreams.connect_timeout_s
    router_table = routers.RouterTable(conf.peers.silent_s)
    return states.RouterState(
        conf=conf,
        rng=rng,
        objects=objects,
        session=sessions.shared,
        configuration=configuration.ConfigurationController(
            objects,
            timeout_s=conf.store.timeout_s,
            watch_wait_s=conf.store.watch_wait_s,
            rng=rng,
        ),
        engines=engine.EngineClient(
            sessions.shared,
            sessions.fresh,
            connect_timeout_s,
            conf.upstreams.silent_event_s,
        ),
        services=service.ServiceClient(connect_timeout_s),
        loads=load_table,
        in_flight=in_flight_table,
        prefix_index=prefix_index,
        prefix_rates=prefix_rates,
        fleet=fleet.Fleet(
            zone=conf.router.zone,
            policy_name=conf.policy.placement,
            load_table=load_table,
            in_flight_table=in_flight_table,
            prefix_index=prefix_index,
            prefix_rates=prefix_rates,
            peer_load_table=peer_load_table,
        ),
        admission=admission.AdmissionQueue(
            INITIAL_CAPACITY, conf.router.max_queued
        ),
        limiter=admission.RateLimiter(),
        claims=claims.ClaimKeeper(
            objects,
            conf.router.name,
            timeout_s=conf.store.timeout_s,
            save_within_s=conf.claims.save_within_s,
            limits=claims.Limits(
                dispatch_within_s=conf.claims.dispatch_within_s
            ),
            rng=rng,
        ),
        suspects=quarantine.SuspectTracker(),
        exchanges=exchanges.OpenExchanges(states.RouterState.now_s),
        background=background.Background(),
        routers=router_table,
        kv_transfers=_kv_transfers(conf, sessions, prefix_rates, router_table),
        peer_loads=peer_load_table,
        instances=instances.InstanceTable(),
    )


def _kv_transfers(
    conf: cfg.ConfigOpts,
    sessions: _Sessions,
    prefix_rates: request_rates.PrefixRates,
    router_table: routers.RouterTable,
) -> kv_transfer.KVTransferController | None:
    if conf.policy.placement != "toucanrudder":
        # The other policies are baselines for comparison: the routers that
        # users would run instead, which export no KV cache.
        return None
    name = conf.router.name
    now_s = states.RouterState.now_s

    def live_names() -> set[str]:
        return {name, *(member.name for member in router_table.live(now_s()))}

    return kv_transfer.KVTransferController(
        sessions.shared, name, prefix_rates, live_names, now_s
    )


LOG = logging.getLogger(__name__)


def _log_stall(for_s: float) -> None:
    LOG.warning("this router did not run for a while", extra={"for_s": for_s})


def controllers(
    state: states.RouterState, peers: peerings.Peering
) -> tuple[tasks.TaskService, ...]:
    """Return the tasks that keep the state up to date."""

    def upstreams() -> tuple[model.Upstream, ...]:
        return _configured_upstreams(state.configuration)

    load_controller = load_controllers.LoadController(
        state.session,
        state.loads,
        upstreams,
        state.conf.upstreams.load_interval_s,
        on_restart=state.record_crash,
        presumed_dead=state.is_presumed_dead,
        on_alive=state.record_alive,
        rng=state.rng,
        clock=state.now_s,
    )
    events = cache_events.CacheEventController(
        state.session, state.prefix_index, upstreams, state.rng, state.now_s
    )

    holder = _weights_lease(state)
    weight_controller = weight_controllers.WeightController(
        state.session,
        holder,
        lambda: _configured_document(state.configuration),
        state.loads,
        state.conf.upstreams.load_interval_s,
        state.rng,
        state.now_s,
    )
    instance_controller = instance_controllers.InstanceController(
        state.session,
        state.conf.store.address,
        state.instances,
        lambda: state.live_routers(state.now_s()),
        state.conf.store.timeout_s,
        state.rng,
    )
    return tuple(
        tasks.TaskService(run=run, label=label)
        for label, run in (
            ("configuration", state.configuration.run),
            ("loads", load_controller.run),
            ("cache events", events.run),
            ("instances", instance_controller.run),
            ("stalls", functools.partial(stalls.watch, _log_stall)),
            ("peers", peers.run),
            ("lease", holder.run),
            ("weights", weight_controller.run),
            ("capacity", lambda: _update_capacity(state)),
            ("claims", _reaper(state).run),
        )
    )


def _reaper(state: states.RouterState) -> reaper.Reaper:
    def retention_s() -> float:
        return claim_retention_s(state.document())

    def live_names() -> list[str]:
        return [router.name for router in state.routers.live(state.now_s())]

    return reaper.Reaper(
        state.objects,
        retention_s,
        reaper.least_name_election(state.conf.router.name, live_names),
        timeout_s=state.conf.store.timeout_s,
        rng=state.rng,
    )


async def _update_capacity(state: states.RouterState) -> None:
    """Keep this router's share of the engines' slots up to date."""

    def update(accepted: model.Accepted) -> None:
        live = state.live_routers(state.now_s())
        state.admission.capacity = capacity(accepted.document, live)

    state.configuration.subscribe(update)
    while True:
        # The number of live routers changes without a change of the
        # configuration.
        await asyncio.sleep(state.conf.peers.interval_s)
        if state.configuration.current is not None:
            update(state.configuration.current)
