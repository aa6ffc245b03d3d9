"""Many routers before many engines, with the product's own control path.

Following, leases, orders, gossip and membership are the daemon's own; only
what lies behind its borders is virtual: the store, the engines and the
calls between routers.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random
import types
from unittest import mock

import attrs
import grpc
from grpc import aio

from toucanrudder import tasks
from toucanrudder.admission import caps
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import daemon
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import store_watch
from toucanrudder.peers import client as peer_clients
from toucanrudder.peers import messages
from toucanrudder.peers import server as peer_servers
from toucanrudder.store import interface
from toucanrudder.testing.virtual import engines as virtual_engines
from toucanrudder.testing.virtual import exchanges
from toucanrudder.testing.virtual import stores

#: One way between two processes.
HOP_S = (0.001, 0.004)

#: The daemon's label of the task that exchanges heartbeats.
PEERS = "peers"

#: Kinds of the store.
UPSTREAMS, WEIGHTS, CONFIGURATION = "engines", "weights", "configuration"

#: How exactly caps are kept.
CAP_BOUNDS = caps.Bounds(window_s=8.0, slack=140_000.0, overrun=0.1)

#: Organisations with a small and a large usage cap.
SMALL, LARGE = (
    model.Organisation(
        name,
        frozenset({f"key-of-{name}"}),
        rate_per_s=rate_per_s,
        burst=rate_per_s,
        unit=caps.Unit.TOKENS,
        plain_tokens=200,
    )
    for name, rate_per_s in (("small", 36_000.0), ("large", 330_000.0))
)

CONFIGURED = model.Configuration(
    generation=1,
    organisations=(SMALL, LARGE),
    services={
        virtual_engines.SERVICE: model.Service(
            virtual_engines.SERVICE,
            model.Engine(virtual_engines.SLOTS, 140_000),
        )
    },
)


def _upstream(stored: interface.StoredObject) -> model.Upstream:
    spec = stored.value
    return model.Upstream(
        incarnation=f"{stored.name}@{spec['born_ms']}",
        service=spec.get("service", virtual_engines.SERVICE),
        address=spec["address"],
        slots=spec.get("slots", virtual_engines.SLOTS),
        is_leaving=spec["leaving"],
        weights=spec["weights"],
        name=stored.name,
        started_at_ms=spec["born_ms"],
    )


KINDS = store_watch.WatchedKinds(
    configuration=CONFIGURATION,
    upstreams=UPSTREAMS,
    weights=WEIGHTS,
    read_document=lambda stored: model.Document(CONFIGURED, b"{}"),
    read_upstream=_upstream,
    read_weights=lambda stored: (stored.name, stored.value["version"]),
)


class EngineCalls(loading.OrderDialect, cache_feed.CacheDialect):
    """One router's calls to engines.

    Parameters
    ----------
    site : Site
        Where the engines are.
    router : str
        Who calls.
    """

    def __init__(self, site: "Site", router: str):
        self._site = site
        self._router = router

    async def _reached(
        self, upstream: model.Upstream, timeout_s: float
    ) -> virtual_engines.Engine | None:
        """Return the engine once a call has crossed; None without answer."""
        engine = self._site.engines[upstream.address]
        if engine.is_dark or self._router in self._site.choked:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(2 * self._site.hop_s())
        # Another start at the address says that it is not the one meant.
        return engine if engine.name == upstream.name else None

    async def ask_report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.ReportReply:
        """Return the engine's report, if it gives one."""
        engine = await self._reached(upstream, timeout_s)
        return rollout.ReportReply.of(engine.report() if engine else None)

    async def load(
        self,
        task: rollout.LoadTask,
        report: rollout.EngineReport,
        *,
        mode: rollout.Mode,
        holder: str,
        fencing: int,
        timeout_s: float,
    ) -> bool:
        """Order new weights; say whether the engine took the order."""
        engine = await self._reached(task.upstream, timeout_s)
        if engine is None:
            return False
        taken = engine.order(
            self._router,
            fencing,
            task.version,
            report.orders,
            mode,
            self._site.loaders,
        )
        if taken is None:
            await asyncio.sleep(timeout_s)
        return bool(taken)

    async def cache_events(
        self, source: cache_feed.CacheSource, since: int, *, wait_s: float
    ) -> cache_feed.CacheUpdate | None:
        """Tell of no events."""
        await asyncio.sleep(wait_s)
        return cache_feed.CacheUpdate(0, since, ())


def _unreachable() -> aio.AioRpcError:
    nothing = aio.Metadata()
    return aio.AioRpcError(grpc.StatusCode.UNAVAILABLE, nothing, nothing)


@attrs.define(eq=False)
class _Channel:
    """A channel from one router to one address.

    As in the library, closing it cancels the calls that wait on it, and
    whoever awaits one of them sees that as a cancellation.
    """

    site: "Site"
    caller: str
    address: str
    _calls: set[asyncio.Task] = attrs.field(factory=set)

    def unary_unary(self, path: str, *_, **__):
        """Return what makes one call."""
        name = path.rpartition("/")[2]

        async def call(request, *, timeout: float):
            task = asyncio.ensure_future(self._call(name, request, timeout))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            return await task

        return call

    def stream_stream(self, path: str, *_, **__):
        """Return what begins one call."""

        def call(*, timeout: float, **_) -> exchanges.PeerCall:
            return exchanges.PeerCall(
                lambda context: self._hand_over(context, timeout), self._hop
            )

        return call

    async def _hand_over(self, context, timeout: float) -> None:
        node = await self._reached(timeout)
        try:
            await node.serve(node.service.HandOver(None, context))
        except asyncio.CancelledError:
            raise _unreachable() from None

    async def _hop(self) -> None:
        await asyncio.sleep(self.site.hop_s())

    async def close(self) -> None:
        """Cancel the calls that wait."""
        for task in self._calls:
            task.cancel()

    async def _reached(self, timeout: float) -> "Node":
        await asyncio.sleep(self.site.hop_s())
        node = self.site.nodes.get(self.address)
        if node is None:
            raise _unreachable()
        if not self.site.is_connected(self.caller, node.router):
            await asyncio.sleep(timeout)
            raise _unreachable()
        return node

    async def _call(self, name: str, request, timeout: float):
        node = await self._reached(timeout)
        try:
            async with asyncio.timeout(timeout):
                answer = await getattr(node.service, name)(request, None)
        except TimeoutError:
            raise _unreachable() from None
        await asyncio.sleep(self.site.hop_s())
        return answer


class _Channels(peer_clients.ChannelPool):
    """Channels of one router to virtual peers.

    Parameters
    ----------
    site : Site
        Where the peers are.
    caller : str
        Whose channels these are.
    """

    def __init__(self, site: "Site", caller: str):
        super().__init__(None)
        self._site = site
        self._caller = caller

    def _open(self, address: str) -> _Channel:
        return _Channel(self._site, self._caller, address)


@attrs.define(eq=False)
class Node:
    """One router's process."""

    router: str
    daemon: daemon.Router
    service: peer_servers.PeersService
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def serve(self, coroutine) -> None:
        """Run a coroutine in this process.

        Raises
        ------
        asyncio.CancelledError
            The process ended, or the caller has given up.
        """
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            await task
        finally:
            task.cancel()

    def end(self) -> None:
        """End the process at once."""
        for task in list(self.tasks):
            task.cancel()


@attrs.define(eq=False)
class Site:
    """Routers, engines and the store.

    Parameters
    ----------
    seed : int
        For all that is drawn.
    routers, engines : int
        How many.
    bound_s : float
        Time after which no request may begin on older weights.
    lease_s : float
        Within which another router gives the orders.
    requests_per_s : float
        Requests that come to all engines together.
    retry_slack : float
        Retries in one window that need no requests.
    zones : int
        Availability zones of the routers, which take turns.

    Attributes
    ----------
    configured : model.Configuration
        Configuration of the routers.
    dialect : dialects.Dialect or None
        Reads and writes heads, for routers that get whole requests.
    on_start : callable
        Called with each router that starts.
    engines : dict of str to Engine
        By address.
    choked : set of str
        Routers whose calls to engines get no answer in time.
    apart : set of str
        Routers that reach each other, and none of the rest.
    alone : set of str
        Routers that reach no other.
    """

    seed: int
    routers: int = 82
    engine_count: int = 45
    bound_s: float = 10.0
    lease_s: float = 3.0
    requests_per_s: float = 0.0
    retry_slack: float = 204.0
    zones: int = 1
    configured: model.Configuration = CONFIGURED
    dialect: dialects.Dialect | None = None
    on_start: Callable[["Node"], None] = lambda node: None
    rng: random.Random = attrs.field(init=False)
    store: stores.Store = attrs.field(init=False)
    engines: dict[str, virtual_engines.Engine] = attrs.field(factory=dict)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    choked: set[str] = attrs.field(factory=set)
    apart: set[str] = attrs.field(factory=set)
    alone: set[str] = attrs.field(factory=set)
    named_at_s: dict[int, float] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = stores.Store(random.Random(self.rng.random()))

    def now_s(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def hop_s(self) -> float:
        """Draw the time of one way between two processes."""
        return self.rng.uniform(*HOP_S)

    def loaders(self) -> int:
        """Return how many engines load at present."""
        return sum(each.is_loading for each in self.engines.values())

    # Routers.

    @property
    def names(self) -> list[str]:
        """Routers' names, in their order in line."""
        return [f"router-{number:03}" for number in range(self.routers)]

    @staticmethod
    def _address(router: str) -> str:
        return f"{router}:1"

    def zone_of(self, router: str) -> str:
        """Return a router's availability zone."""
        return f"z{self.names.index(router) % self.zones}"

    def is_connected(self, caller: str, called: str) -> bool:
        """Whether two routers reach each other."""
        if self.alone & {caller, called}:
            return False
        return (caller in self.apart) == (called in self.apart)

    def node_of(self, router: str) -> "Node | None":
        """Return a router's process; None if it does not run."""
        return self.nodes.get(self._address(router))

    def _settings(self, router: str):
        table = types.SimpleNamespace
        return table(
            router=table(name=router, zone=self.zone_of(router)),
            retries=table(ratio=0.2, slack=self.retry_slack, window_s=10.0),
            caps=table(
                window_s=CAP_BOUNDS.window_s,
                slack=CAP_BOUNDS.slack,
                overrun=CAP_BOUNDS.overrun,
            ),
            weights=table(
                bound_ms=1000 * self.bound_s, lease_ms=1000 * self.lease_s
            ),
            peers=table(
                seeds=[self._address(each) for each in self.names[:3]],
                interval_s=0.5,
                silent_s=3.0,
            ),
            store=table(timeout_s=1.0, watch_wait_s=5.0),
            limits=table(memory_mb=128, max_descriptors=4_000),
        )

    def start_router(self, router: str) -> None:
        """Start a process."""
        calls = EngineCalls(self, router)
        document = model.Document(self.configured, b"{}")
        platform = daemon.Platform(
            dialect=self.dialect,
            store=stores.Client(self.store, router, self.now_s),
            kinds=attrs.evolve(KINDS, read_document=lambda stored: document),
            encode=lambda document: b"{}",
            decode=lambda content: document,
            engine_calls=lambda pool, clock: calls,
        )
        drawn = random.Random(self.rng.random())
        with mock.patch.object(daemon.random, "Random", lambda: drawn):
            made = daemon.Router(self._settings(router), platform)
        peering = made.peering
        peering.client._channels = _Channels(self, router)
        peering.node.address = self._address(router)
        node = Node(
            router,
            made,
            peer_servers.PeersService(
                peering.node,
                False,
                peering.client.handle_heartbeat,
                peering.encode,
                peering.logs,
                peering.answer_cap,
                peering.take_over,
                peering.origin_keeper,
            ),
        )
        # The node serves no socket, so nothing would tell its exchanges
        # that an address is bound.
        running = [
            peering.client.run() if each.label == PEERS else _started(each)
            for each in made.controllers()
        ]
        loop = asyncio.get_running_loop()
        node.tasks = {loop.create_task(each) for each in running}
        self.nodes[self._address(router)] = node
        self.on_start(node)

    def kill_router(self, router: str) -> None:
        """End a process at once."""
        node = self.nodes.pop(self._address(router), None)
        if node is not None:
            node.end()

    async def restart_routers(
        self, routers: Sequence[str], *, down_s: float
    ) -> None:
        """End processes at once, and start all of them after a while."""
        for router in routers:
            self.kill_router(router)
        await asyncio.sleep(down_s)
        for router in routers:
            self.start_router(router)

    async def split_routers(
        self, routers: Sequence[str], *, for_s: float
    ) -> None:
        """Keep routers from all others for a while."""
        self.apart = set(routers)
        await asyncio.sleep(for_s)
        self.apart = set()

    def state_of(self, router: str):
        """Return a router's tables."""
        return self.nodes[self._address(router)].daemon.state

    # Engines and weights.

    def name_weights(self, version: int) -> None:
        """Name new weights."""
        self.store.put(WEIGHTS, virtual_engines.MODEL, {"version": version})
        self.named_at_s[version] = self.now_s()

    def _add_engine(self, number: int) -> None:
        engine = virtual_engines.Engine(
            f"e{number:03}",
            f"10.0.{number // 250}.{number % 250 + 1}:80",
            random.Random(self.rng.random()),
            self.now_s,
        )
        self.engines[engine.address] = engine
        self.spawn(self._register(engine))

    async def _register(self, engine: virtual_engines.Engine) -> None:
        """Write its entry as long as it lives, and let old ones run out."""
        seen_s: dict[str, float] = {}
        while True:
            now_s = self.now_s()
            if engine.is_registering and not engine.is_dark:
                seen_s[engine.name] = now_s
                self.store.put(UPSTREAMS, engine.name, engine.entry())
            for name, at_s in list(seen_s.items()):
                if now_s - at_s > virtual_engines.ENTRY_KEPT_S:
                    self.store.delete(UPSTREAMS, name)
                    del seen_s[name]
            await asyncio.sleep(virtual_engines.HEARTBEAT_S / 4)

    def unlist(self, engine: virtual_engines.Engine) -> None:
        """Remove an engine's entry; it goes on serving."""
        engine.is_registering = False
        self.store.delete(UPSTREAMS, engine.name)

    def relist(self, engine: virtual_engines.Engine) -> None:
        """Let an engine register again."""
        engine.is_registering = True
        self.store.put(UPSTREAMS, engine.name, engine.entry())

    async def _work(self) -> None:
        due = 0.0
        while True:
            await asyncio.sleep(virtual_engines.STEP_S)
            due += self.requests_per_s * virtual_engines.STEP_S
            for _ in range(int(due)):
                self._send_one()
            due -= int(due)
            for engine in self.engines.values():
                if not engine.is_dark:
                    engine.step()

    def _usable(self, node: Node) -> Sequence[placing.Candidate]:
        """Return the engines that a router would send a request to."""
        now_s = self.now_s()
        prompt = model.Prompt(virtual_engines.MODEL)
        candidates = node.daemon.state.candidates(
            virtual_engines.SERVICE, prompt, now_s
        )
        return placing.usable_candidates(candidates, now_s, self.bound_s)

    def used_by(self, router: str) -> set[str]:
        """Return the names of the engines that a router would send to."""
        node = self.nodes[self._address(router)]
        return {each.upstream.name for each in self._usable(node)}

    def _send_one(self) -> None:
        """Send a request as one router sees the engines."""
        candidates = self._usable(self.rng.choice(list(self.nodes.values())))
        if candidates:
            chosen = min(
                self.rng.sample(candidates, min(2, len(candidates))),
                key=lambda each: self._running(each.upstream),
            ).upstream
            engine = self.engines[chosen.address]
            if not engine.is_dark and engine.name == chosen.name:
                engine.arrive(1)

    def _running(self, upstream: model.Upstream) -> int:
        return self.engines[upstream.address].running

    def spawn(self, coroutine) -> None:
        """Run a coroutine until the end of the run."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        """Start all engines and routers."""
        self.name_weights(1)
        self.store.put(CONFIGURATION, "main", {"generation": 1})
        for number in range(self.engine_count):
            self._add_engine(number)
        for router in self.names:
            self.start_router(router)
        self.spawn(self._work())

    # Judgement.

    def lagging(self, version: int, for_s: float = 0.0) -> list[str]:
        """Return the engines that lack a version, and for how long at least.

        Counted is the time since the version was named, and since the
        engine's start.
        """
        late_s = self.now_s() - for_s
        if self.named_at_s[version] > late_s:
            return []
        return [
            each.name
            for each in self.engines.values()
            if not each.is_dark
            and not each.is_leaving
            and each.version < version
            and each.up_since_s <= late_s
        ]

    def astray(self) -> list[str]:
        """Return the routers that know other engines than the store."""
        listed = {
            _upstream(stored).incarnation
            for stored in self.store.all_of(UPSTREAMS)
        }
        return [
            node.router
            for node in self.nodes.values()
            if node.daemon.state.registry.incarnations != listed
        ]


async def _started(controller: tasks.TaskService) -> None:
    """Run a controller as the daemon's entry point does."""
    controller.set_loop(asyncio.get_running_loop())
    await controller.start()


@contextlib.contextmanager
def unpacked() -> Iterator[None]:
    """Pass heartbeats on as they are, which saves most of a run's time."""
    with (
        mock.patch.object(messages, "to_wire", lambda heartbeat: heartbeat),
        mock.patch.object(messages, "from_wire", lambda heartbeat: heartbeat),
    ):
        yield
