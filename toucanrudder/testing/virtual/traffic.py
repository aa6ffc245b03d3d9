"""Callers, and fleets of routers before plain services, on virtual time."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import itertools
import random

import attrs

from toucanrudder.forwarding import model
from toucanrudder.http1 import client
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.testing.virtual import sites
from toucanrudder.testing.virtual import workers

#: Services of plain upstreams, each with a route for requests that may be
#: repeated and one for those that may not.
SERVICES = ("desk", "llm")

#: Time by which all routers know all upstreams.
STARTED_S = 6.0

#: Requests a second to a service, and its upstreams, by routers.
LOADS = {8: (26.0, 5), 82: (92.0, 30), 195: (180.0, 60)}


def _routes(timeout_s: float, objective_s: float) -> tuple[model.Route, ...]:
    return tuple(
        model.Route(
            f"{service} {repetition.value}",
            "h",
            f"/{service}/{repetition.value}/",
            (model.Split(service),),
            repetition,
            max_upstreams=2 if repetition is not model.Repetition.ONCE else 1,
            timeout_s=timeout_s,
            objective_s=objective_s,
        )
        for service in SERVICES
        for repetition in (model.Repetition.IDEMPOTENT, model.Repetition.ONCE)
    )


CONFIGURED = attrs.evolve(
    sites.CONFIGURED,
    routes=_routes(timeout_s=1.7, objective_s=0.16),
    organisations=(),
    requires_keys=False,
    services={
        **sites.CONFIGURED.services,
        **{service: model.Service(service) for service in SERVICES},
    },
)


class CallerAnswer:
    """What a caller receives."""

    end_cause = server.EndCause.NONE

    def __init__(self):
        self.started = self.ended = False
        self.status = 0
        self.headers: message.Headers = ()

    async def start(self, status: int, headers: message.Headers) -> None:
        """Take the head."""
        self.started, self.status, self.headers = True, status, headers

    async def write(self, content: bytes) -> None:
        """Take a piece of the body."""

    async def end(self) -> None:
        """Take the end."""
        self.ended = True

    async def send_whole(
        self, status: int, headers: message.Headers, body: bytes
    ) -> None:
        """Take a complete answer."""
        await self.start(status, headers)
        await self.end()

    def abort(self) -> None:
        """Take a broken connection."""
        self.status = 0


@attrs.frozen
class Outcome:
    """The first attempt of a caller.

    Parameters
    ----------
    at_s : float
        Virtual time at which it was sent.
    router, service : str
        Where it was sent, and the service that it asked for.
    status : int
        Status of the answer; 0 if the connection was closed.
    after_s : float
        Time until the answer.
    retry_after_s : float or None
        When the caller may return, if it was told.
    path, key : str
        What it asked for, and its API key.
    """

    at_s: float
    router: str
    service: str
    status: int
    after_s: float
    retry_after_s: float | None = None
    path: str = ""
    key: str = ""


@attrs.define(eq=False)
class Fleet:
    """Routers before plain services, with callers.

    Parameters
    ----------
    site : sites.Site
        The routers.
    workers_by_service : dict of str to int
        How many upstreams each service has.
    configured : model.Configuration
        Configuration of the routers.

    Attributes
    ----------
    arrivals : list of workers.Arrival
        All requests that reached an upstream.
    outcomes : list of Outcome
        All that callers were told.
    statements : list of workers.Statement
        All that upstreams said of themselves in answers.
    sent_s : dict of str to float
        When callers sent each request, by its ID.
    cut : set of str
        Routers that reach no upstream.
    is_refused : bool
        Whether connections of those are refused at once.
    dead : set of str
        Addresses at which no connection can be opened.
    """

    site: sites.Site
    workers_by_service: dict[str, int]
    configured: model.Configuration = CONFIGURED
    arrivals: list[workers.Arrival] = attrs.field(factory=list)
    outcomes: list[Outcome] = attrs.field(factory=list)
    statements: list[workers.Statement] = attrs.field(factory=list)
    sent_s: dict[str, float] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    is_refused: bool = False
    dead: set[str] = attrs.field(factory=set)
    by_address: dict[str, workers.Worker] = attrs.field(factory=dict)
    _ids: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.site.configured = self.configured
        self.site.dialect = workers.PlainDialect()
        self.site.on_start = self._connect_router
        for service, count in self.workers_by_service.items():
            for number in range(count):
                self._add_worker(service, number)

    def _add_worker(self, service: str, number: int) -> None:
        worker = workers.Worker(
            f"{service}-{number}",
            service,
            f"10.1.{SERVICES.index(service)}.{number + 1}:80",
            self.arrivals,
            self.statements,
        )
        self.by_address[worker.address] = worker

    def of_service(self, service: str) -> list[workers.Worker]:
        """Return the upstreams of a service."""
        return [
            worker
            for worker in self.by_address.values()
            if worker.service == service
        ]

    def start(self) -> None:
        """Start all routers and register all upstreams."""
        self.site.start()
        for worker in self.by_address.values():
            self.register(worker)

    def register(self, worker: workers.Worker) -> None:
        """Write an upstream's entry in the registry."""
        self.site.store.put(sites.UPSTREAMS, worker.name, worker.entry())

    def unregister(self, worker: workers.Worker) -> None:
        """Remove an upstream's entry; it goes on serving."""
        self.site.store.delete(sites.UPSTREAMS, worker.name)

    def restart(self, worker: workers.Worker) -> None:
        """Start an upstream again under its name."""
        worker.born_ms += 1
        worker.is_leaving = False
        self.register(worker)

    def _connect_router(self, node: sites.Node) -> None:
        node.daemon.state.pool.connect = functools.partial(
            self._connect, node.router
        )

    async def _hop(self) -> None:
        await asyncio.sleep(self.site.hop_s())

    async def _connect(
        self, router: str, address: str, timeout_s: float
    ) -> workers.Connection:
        worker = self.by_address.get(address)
        if worker is None or router in self.cut or address in self.dead:
            fault = client.Fault.NOT_CONNECTED
            if not self.is_refused:
                await asyncio.sleep(timeout_s)
                fault = client.Fault.CONNECT_TIMEOUT
            raise client.ExchangeError(fault, sent=False)
        await self._hop()
        return workers.Connection(
            router,
            worker,
            self._hop,
            lambda: router in self.cut,
        )

    async def send(
        self, router: str, path: str, wait_s: float = 1.7, key: str = ""
    ) -> None:
        """Send a request to a router and note what comes of it."""
        node = self.site.node_of(router)
        began_s = self.site.now_s()
        service = path.split("/")[1]
        if node is None:
            self.outcomes.append(Outcome(began_s, router, service, 0, 0.0))
            return
        request_id = f"r{next(self._ids)}"
        self.sent_s[request_id] = began_s
        head = message.RequestHead(
            b"GET",
            path.encode(),
            (
                (b"id", request_id.encode()),
                (b"wait", str(wait_s).encode()),
                (b"key", key.encode()),
            ),
        )
        answer = CallerAnswer()
        request = server.Request(head, b"", began_s)
        try:
            await node.serve(node.daemon.forwarder.handle(request, answer))
        except asyncio.CancelledError:
            # The router was killed.
            answer.abort()
        retry_after = message.first_value(answer.headers, b"retry-after")
        self.outcomes.append(
            Outcome(
                began_s,
                router,
                service,
                answer.status,
                self.site.now_s() - began_s,
                None if retry_after is None else float(retry_after),
                path,
                key,
            )
        )

    @contextlib.asynccontextmanager
    async def serving(
        self,
        rates_per_s: dict[str, float],
        *,
        seed: int,
        started_s: float = STARTED_S,
        once_share: float = 0.5,
    ) -> AsyncIterator[None]:
        """Start all routers, and call the services some time later.

        Parameters
        ----------
        rates_per_s : dict of str to float
            Requests per second by service.
        seed : int
            Seed of the callers of the first service; others have the next.
        started_s : float
            Time until the first request.
        once_share : float
            Share of requests that may not be repeated.
        """
        with sites.unpacked():
            self.start()
            await asyncio.sleep(started_s)
            for number, (service, per_s) in enumerate(rates_per_s.items()):
                self.site.spawn(
                    self.call(
                        service,
                        per_s,
                        seed=seed + number,
                        once_share=once_share,
                    )
                )
            yield

    async def call(
        self,
        service: str,
        per_s: float,
        *,
        seed: int,
        once_share: float = 0.5,
        choose: Callable[[random.Random, list[str]], str] = (
            lambda rng, names: rng.choice(names)
        ),
    ) -> None:
        """Send requests to routers drawn at random until cancelled."""
        rng = random.Random(seed)
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            kind = "once" if rng.random() < once_share else "idempotent"
            router = choose(rng, self.site.names)
            self.site.spawn(self.send(router, f"/{service}/{kind}/x"))


@contextlib.asynccontextmanager
async def loaded_fleet(
    routers: int,
    service: str,
    *,
    warm_up_s: float,
    factor: float = 1.0,
    seed: int = 907,
) -> AsyncIterator[Fleet]:
    """Yield a fleet with one service, which callers keep busy.

    Parameters
    ----------
    routers : int
        Their number, of `LOADS`.
    service : str
        The service.
    warm_up_s : float
        For how long it has been called.
    factor : float
        Requests, relative to `LOADS`.
    seed : int
        Seed of the callers.
    """
    per_s, upstreams = LOADS[routers]
    site = sites.Site(seed, routers=routers, engine_count=1, zones=3)
    fleet = Fleet(site, {service: upstreams})
    async with fleet.serving({service: factor * per_s}, seed=seed):
        await asyncio.sleep(warm_up_s)
        yield fleet
