"""Discrete-event model of routers before uneven engines, on virtual time.

Each engine reads prompts in order of arrival, at a speed of its own that
drops for times; each router sees the answers to its own requests and, every
0.4 s, what two others tell.  A policy chooses the engine; an engine's time
for a request follows exactly from its speed, slow times and queue.
"""

import bisect
from collections.abc import Callable
import heapq
import itertools
import random
import statistics

import attrs

from toucanrudder.costs import forecast
from toucanrudder.costs import request_costs
from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import speeds
from toucanrudder.forwarding import upstream_states
from toucanrudder.peers import loads
from toucanrudder.peers import messages

SERVICE = "s"
TOKEN_S = 1 / 125_000
BASE_S = 0.062
COPY_S = 0.012
SLOW_S = 0.6
SLOW_SHARE = 0.15
SLOWNESS = 2.5
EXCHANGE_S = 0.4
PEERS_TOLD = 2


@attrs.frozen
class Kind:
    """A kind of requests."""

    name: str
    rate_per_s: float
    tokens: int
    shared_tokens: int
    objective_s: float


LONG = Kind("long", 63.0, 12_000, 6_000, 0.6)
SHORT = Kind("short", 315.0, 2_400, 0, 0.8)


@attrs.frozen
class Request:
    """One request, and the factor on its work that nobody knows before."""

    kind: Kind
    prefix: str
    noise: float

    def unread_tokens(self, engine):
        """Return the tokens that an engine has to read."""
        held = self.prefix in engine.held
        return self.kind.tokens - (self.kind.shared_tokens if held else 0)

    @property
    def prompt(self):
        kind = self.kind
        parts = (model.Part("own", kind.tokens - kind.shared_tokens),)
        if self.prefix:
            parts = (model.Part(self.prefix, kind.shared_tokens), *parts)
        return model.Prompt("m", parts, kind.tokens)


@attrs.frozen
class Scenario:
    """What the fleet is like."""

    engine_speeds: tuple[float, ...] = (0.7, 0.7, 1.7) * 10
    routers: int = 59
    duration_s: float = 7.0
    measured_from_s: float = 3.0
    slow_share: float = SLOW_SHARE
    rate: float = 1.0
    #: Standard deviation of the logarithm of a request's work; its mean stays.
    noise: float = 0.5
    #: From then on, a third of the engines takes twice as long.
    peak_at_s: float = float("inf")
    #: Engine that always states that it is idle and fast.
    liar: int | None = None
    #: Router that forgets all at this time.
    restarted_at_s: float = float("inf")


class Engine:
    """One engine with its slow times and its queue."""

    def __init__(self, number, scenario, rng):
        self.upstream = model.Upstream(
            f"e{number}",
            SERVICE,
            f"10.0.0.{number}:80",
            slots=64,
            weights={"m": 1},
        )
        self.is_liar = scenario.liar == number
        self._times, self._rates = [0.0], []
        now_s, is_slow = 0.0, rng.random() < scenario.slow_share
        slow_s = SLOW_S
        fast_s = slow_s * (1 / max(scenario.slow_share, 1e-9) - 1)
        peak_s = scenario.peak_at_s if number % 3 == 0 else float("inf")
        while now_s < scenario.duration_s + 60.0:
            length_s = rng.expovariate(1 / (slow_s if is_slow else fast_s))
            slowness = SLOWNESS if is_slow else 1.0
            if now_s < peak_s <= now_s + length_s:
                length_s = peak_s - now_s + 1e-9
            elif now_s >= peak_s:
                slowness *= 2.0
            speed = scenario.engine_speeds[number]
            self._rates.append((speed / slowness, slowness))
            now_s += length_s
            self._times.append(now_s)
            is_slow = not is_slow
        self.busy_until_s = 0.0
        self.held = set()
        self.in_flight = 0

    def _place(self, at_s):
        return bisect.bisect_right(self._times, at_s) - 1

    def slowness(self, at_s):
        """Return what it states."""
        return 0.4 if self.is_liar else self._rates[self._place(at_s)][1]

    def done_s(self, start_s, work_s):
        """Return when work at usual speed that starts then is done."""
        place, now_s = self._place(start_s), start_s
        while True:
            rate, until_s = self._rates[place][0], self._times[place + 1]
            if work_s <= rate * (until_s - now_s):
                return now_s + work_s / rate
            work_s -= rate * (until_s - now_s)
            place, now_s = place + 1, until_s

    def run(self, request, now_s, *, commit=True):
        """Return when the first event of a request that comes now is out."""
        start_s = max(now_s, self.busy_until_s)
        tokens = request.unread_tokens(self)
        read_s = self.done_s(start_s, request.noise * tokens * TOKEN_S)
        if commit:
            self.busy_until_s = read_s
            if request.prefix:
                self.held.add(request.prefix)
        return self.done_s(read_s, BASE_S)


class Router:
    """One router with what it knows."""

    def __init__(self, name):
        self.name = name
        self.forget()

    def forget(self):
        self.states = upstream_states.UpstreamStates()
        self.peer_loads = loads.PeerLoads(1.5)
        self.costs = request_costs.RequestCosts([SERVICE])
        self.speeds = speeds.PrefillSpeeds()


@attrs.define(slots=False)
class Fleet:
    """A run of one policy."""

    scenario: Scenario
    policy: Callable
    seed: int = 1
    served: dict[str, list[bool]] = attrs.field(factory=dict)
    waits_s: list[float] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        rng = random.Random(self.seed)
        self.rng = random.Random(self.seed + 1)
        self.engines = [
            Engine(number, self.scenario, rng)
            for number in range(len(self.scenario.engine_speeds))
        ]
        self.by_name = {
            engine.upstream.incarnation: engine for engine in self.engines
        }
        self.services = dict.fromkeys(self.by_name, SERVICE)
        self.routers = [Router(f"r{n}") for n in range(self.scenario.routers)]
        self.index = cache.CacheIndex()
        self._count = itertools.count()
        self._events = []
        self._arrivals(rng)
        for router in self.routers:
            self._at(rng.random() * EXCHANGE_S, self._exchange, router)
        if self.scenario.restarted_at_s < float("inf"):
            self._at(self.scenario.restarted_at_s, self.routers[0].forget)

    def _at(self, at_s, call, *arguments):
        heapq.heappush(
            self._events, (at_s, next(self._count), call, arguments)
        )

    def _arrivals(self, rng):
        for kind in (LONG, SHORT):
            now_s = 0.0
            while now_s < self.scenario.duration_s:
                now_s += rng.expovariate(kind.rate_per_s * self.scenario.rate)
                prefix = f"p{rng.randrange(60)}" if kind is LONG else ""
                router = rng.choice(self.routers)
                noise = rng.lognormvariate(
                    -(self.scenario.noise**2) / 2, self.scenario.noise
                )
                request = Request(kind, prefix, noise)
                self._at(now_s, self._arrive, router, request)

    def run(self):
        """Run to the end of the scenario."""
        self.now_s = 0.0
        while self._events:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def share(self, kind=None):
        """Return the share of requests served in their objective."""
        names = [kind.name] if kind else [LONG.name, SHORT.name]
        results = [ok for name in names for ok in self.served[name]]
        return sum(results) / len(results)

    def summary(self):
        """Return the shares served in time, and times to the first event."""
        waits_ms = sorted(1_000 * wait_s for wait_s in self.waits_s)
        quantiles_ms = statistics.quantiles(waits_ms, n=100)
        return (
            f"served {self.share():.4f}, long {self.share(LONG):.4f}, "
            f"mean {statistics.mean(waits_ms):.0f} ms, "
            f"p50 {quantiles_ms[49]:.0f}, p95 {quantiles_ms[94]:.0f}, "
            f"p99 {quantiles_ms[98]:.0f}"
        )

    def candidates(self, router, *, with_costs):
        work = router.peer_loads.totals(self.now_s)
        return [
            placing.Candidate(
                engine.upstream,
                router.states.of(name),
                0.0,
                work.get(name, loads.NO_LOAD).prefill_tokens,
                work.get(name, loads.NO_LOAD).requests,
                router.costs.cost(name, self.now_s) if with_costs else None,
            )
            for name, engine in self.by_name.items()
        ]

    def _arrive(self, router, request):
        name, copied = self.policy(self, router, request)
        engine = self.by_name[name]
        if copied:
            engine.held.add(request.prefix)
        sent_s = self.now_s + (COPY_S if copied else 0.0)
        tokens = request.unread_tokens(engine)
        done_s = engine.run(request, sent_s)
        state = router.states.of(name)
        state.requests += 1
        state.prefill_tokens += tokens
        engine.in_flight += 1
        keys = forecast.keys(SERVICE, request.kind.name, "o")
        running = router.costs.begin(keys, name, tokens, self.now_s)
        self._at(
            done_s, self._answered,
            router, request, engine, running, tokens, self.now_s, copied,
        )  # fmt: skip

    def _answered(
        self, router, request, engine, running, tokens, sent_s, copied
    ):
        kind = request.kind
        name, now_s = engine.upstream.incarnation, self.now_s
        took_s = now_s - sent_s
        if self.scenario.measured_from_s <= sent_s < self.scenario.duration_s:
            self.served.setdefault(kind.name, []).append(
                took_s <= kind.objective_s
            )
            self.waits_s.append(took_s)
        state = router.states.of(name)
        state.requests = max(0, state.requests - 1)
        state.prefill_tokens = max(0, state.prefill_tokens - tokens)
        engine.in_flight -= 1
        running_count = 0 if engine.is_liar else engine.in_flight
        state.load = model.Load(running_count, 0, 64)
        state.load_at_s = now_s
        if not copied:
            router.speeds.record_prefill(SERVICE, tokens, took_s)
        router.costs.record_stated(
            SERVICE, name, engine.slowness(now_s), now_s
        )
        router.costs.record_first_event(running, now_s, is_copied=copied)
        if request.prefix:
            self.index.add_parts(name, "1", request.prompt.parts[:1])

    def _exchange(self, router):
        for peer in self.rng.choices(self.routers, k=PEERS_TOLD):
            if peer is not router:
                self._tell(router, peer)
                self._tell(peer, router)
        if self.now_s < self.scenario.duration_s:
            self._at(self.now_s + EXCHANGE_S, self._exchange, router)

    def _tell(self, sender, receiver):
        own = tuple(
            messages.UpstreamLoad(name, tokens, requests)
            for name, tokens, requests in sender.states.in_use()
        )
        receiver.peer_loads.replace(sender.name, own, self.now_s)
        receiver.costs.merge(
            sender.name,
            sender.costs.take_told(self.now_s, (), 64).values(),
            sender.costs.told_work_s(self.now_s),
            self.services,
            others=len(self.routers) - 1,
            now_s=self.now_s,
        )


def _placed(fleet, router, request, *, with_costs):
    choice = placing.choose_for_prompt(
        request.prompt,
        "",
        fleet.candidates(router, with_costs=with_costs),
        fleet.index,
        speed=speeds.EngineSpeeds(router.speeds.tokens_per_s(SERVICE)),
        now_s=fleet.now_s,
        times=router.costs.times(SERVICE) if with_costs else None,
        rng=fleet.rng if with_costs else None,
        router_count=len(fleet.routers),
    )
    return choice.upstream.incarnation, bool(choice.copied_tokens)


def present(fleet, router, request):
    """Choose by the rule for even services."""
    return _placed(fleet, router, request, with_costs=False)


def by_costs(fleet, router, request):
    """Choose by learned costs."""
    return _placed(fleet, router, request, with_costs=True)


def _copies(fleet, name, prefix):
    return (
        bool(prefix)
        and prefix not in fleet.by_name[name].held
        and any(prefix in engine.held for engine in fleet.engines)
    )


def least_requests(fleet, router, request):
    """Choose the engine with the fewest requests known of."""
    best = min(
        fleet.candidates(router, with_costs=False),
        key=lambda each: (each.requests(fleet.now_s), fleet.rng.random()),
    ).upstream.incarnation
    return best, _copies(fleet, best, request.prefix)


def two_choices(fleet, router, request):
    """Choose the one with fewer requests of two drawn at random."""
    two = fleet.rng.sample(fleet.candidates(router, with_costs=False), 2)
    best = min(
        two, key=lambda each: each.requests(fleet.now_s)
    ).upstream.incarnation
    return best, _copies(fleet, best, request.prefix)


def oracle(fleet, router, request):
    """Choose the engine whose first event will in fact be out first."""

    def done_s(name):
        engine, copies = (
            fleet.by_name[name],
            _copies(fleet, name, request.prefix),
        )
        had = set(engine.held)
        if copies:
            engine.held.add(request.prefix)
        at_s = engine.run(request, fleet.now_s + COPY_S * copies, commit=False)
        engine.held = had
        return at_s

    best = min(fleet.by_name, key=done_s)
    return best, _copies(fleet, best, request.prefix)


POLICIES = {
    "present": present,
    "least requests": least_requests,
    "two choices": two_choices,
    "costs": by_costs,
    "oracle": oracle,
}
