"""Does to a site what a plan says; notes when anything was disturbed."""

import asyncio
import contextlib
import math
import random
import signal
import time

import orjson

from toucanrudder.platform.testing import soaking
from toucanrudder.soak import callers as callers_
from toucanrudder.soak import plans
from toucanrudder.soak import records
from toucanrudder.soak import site as sites
from toucanrudder.testing import crowds
from toucanrudder.testing import proxy as proxies

#: How long a leaving upstream still serves after its announcement.
LINGER_S = 3.0

#: Time until an upstream that crashed is replaced by another process.
REPLACED_S = 0.8

#: Share of its requests that a sick upstream spoils.
SICK_SHARE = 0.3

#: Tries of the caller of a poisonous request, and the pause between two.
POISON_TRIES = 8
POISON_PAUSE_S = 0.6

#: Time after a change in which all routers have begun to watch again, and
#: time in which the store handles a change.
WATCH_AGAIN_S = 0.6
HANDLED_S = 0.1

#: Deepest nesting of a strange entry.
MAX_DEPTH = 20_000

#: Requests per second that an upstream in need takes.
LIMIT_PER_S = 1.5

#: Rest that an upstream asks for with each refusal.
REST_S = 2.0

#: Standstills in a row, and the time between two.
STANDSTILLS = 4
STANDSTILL_PAUSE_S = 0.5

#: How much longer a standstill of engines is than one of routers.
ENGINE_STANDSTILLS = 2.0

#: Time by which a report of an engine overtakes events of its streams.
PATH_DELAY_S = 0.3

#: Share of the standstills that all routers or engines have together.
TOGETHER_SHARE = 0.5

#: Requests with a poisonous part, no two alike, and the pause between two.
PART_REQUESTS = 24
PART_PAUSE_S = 0.25


class Injector:
    """Carries out the steps of a plan.

    Parameters
    ----------
    site : sites.Site
        What they are done to.
    """

    def __init__(self, site: sites.Site):
        self._site = site
        self._rng = site.rng
        self._rng_of_parts = random.Random("poisonous parts")
        self._tasks: set[asyncio.Task] = set()
        self._poison = callers_.Caller(site, site.rng)

    async def run(self, steps: tuple[plans.Step, ...], begin_s: float) -> None:
        """Carry out all steps and wait until they are over."""
        for step in steps:
            wait_s = begin_s + step.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            self._start(self._do(step))
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _start(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # A fault that could not be injected is a fault of the soak.
            task.result()

    @contextlib.contextmanager
    def _span(self, kind: str, target: str = ""):
        from_s = time.monotonic()
        spans = self._site.record.spans
        spans.append(records.Span(kind, target, from_s, math.inf))
        place = len(spans) - 1
        try:
            yield
        finally:
            spans[place] = records.Span(kind, target, from_s, time.monotonic())

    async def _do(self, step: plans.Step) -> None:
        await _ACTIONS[step.fault](self, step)

    # Routers.

    def _router(self, step: plans.Step) -> sites.Router | None:
        steady = [
            each
            for each in self._site.routers
            if each.lives and not each.expected_end
        ]
        if len(steady) < 2:
            return None
        return steady[int(step.draw * len(steady))]

    async def _client_crowd(self, step: plans.Step) -> None:
        router = self._router(step)
        if router is None:
            return
        kind, (count, behave) = random.Random(step.draw).choice(_CROWDS)
        with self._watched_memory([router], kind):
            async with crowds.crowd(
                router.address, behave, count, settle_s=step.for_s
            ):
                pass

    async def _end_router(self, number: int, step: plans.Step) -> None:
        router = self._router(step)
        if router is None:
            return
        router.expected_end = True
        kind = "term" if number == signal.SIGTERM else "kill"
        with self._span(kind, router.name):
            router.signal(number)
            await router.ended()
        with self._span("start", router.name):
            await router.start()
            while router.lives and not await router.is_ready():
                await asyncio.sleep(0.05)

    async def _pause(self, step: plans.Step) -> None:
        router = self._router(step)
        if router is None:
            return
        with self._span("pause", router.name):
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(step.for_s)
            router.signal(signal.SIGCONT)

    async def _hup(self, step: plans.Step) -> None:
        router = self._router(step)
        if router is not None and router.heeds(signal.SIGHUP):
            router.signal(signal.SIGHUP)

    async def _stand_still(self, step: plans.Step) -> None:
        """Let routers stand still again and again, one or all of them."""
        routers = list(self._site.routers)
        if step.draw > TOGETHER_SHARE:
            routers = [routers[int(step.draw * len(routers))]]
        for _ in range(STANDSTILLS):
            with contextlib.ExitStack() as stack:
                for router in routers:
                    stack.enter_context(self._stopped(router))
                await asyncio.sleep(step.for_s)
            await asyncio.sleep(STANDSTILL_PAUSE_S)

    @contextlib.contextmanager
    def _stopped(self, router: sites.Router):
        with self._span("standstill", router.name):
            router.signal(signal.SIGSTOP)
            try:
                yield
            finally:
                router.signal(signal.SIGCONT)

    # The store.

    async def _store_mode(self, mode: str, step: plans.Step) -> None:
        store = self._site.store
        with self._span(f"store {mode}"):
            store.mode = mode
            await asyncio.sleep(step.for_s)
            store.mode = "well"

    async def _store_forgets(self, step: plans.Step) -> None:
        with self._span("store forgets"):
            self._site.store.forget_history()

    async def _watches_lost(self, step: plans.Step) -> None:
        """Change the document, and lose all watches of the next change."""
        store = self._site.store
        self._site.change_document()
        await asyncio.sleep(WATCH_AGAIN_S)
        store.lost_watches.add(soaking.DOCUMENT_KIND)
        self._site.change_document()
        await asyncio.sleep(HANDLED_S)
        store.lost_watches.clear()

    async def _strange_entry(self, step: plans.Step) -> None:
        """Leave an entry that cannot be read in the registry, for good."""
        depth = int(step.draw * MAX_DEPTH)
        content = b"[" * depth + b"]" * depth
        self._site.store.put(
            soaking.UPSTREAM_KIND, "i-0", orjson.Fragment(content)
        )

    async def _store_cut(self, step: plans.Step) -> None:
        proxy = self._site.store_proxy
        with self._span("store cut"):
            proxy.refusing = True
            proxy.cut()
            await asyncio.sleep(step.for_s)
            proxy.refusing = False

    # Upstreams.

    def _upstream(self, step: plans.Step) -> sites.Upstream | None:
        """Return an upstream that stays; one of each service is spared."""
        staying = [
            each
            for each in self._site.upstreams
            if each.standin.state == "ready"
            and not each.standin.says_it_leaves
        ]
        chosen = staying[int(step.draw * len(staying))]
        service = chosen.standin.service
        others = [each for each in staying if each.standin.service == service]
        return chosen if len(others) > 1 else None

    async def _strike(self, step: plans.Step) -> None:
        upstream = self._upstream(step)
        if upstream is None:
            return
        with self._span(step.fault.value, upstream.standin.incarnation):
            if step.fault is plans.Fault.CUT:
                upstream.proxy.cut()
            elif step.fault is plans.Fault.FREEZE:
                upstream.proxy.freeze()
            else:
                upstream.proxy.add(
                    proxies.Rule(
                        proxies.Action.DELAY, delay_s=step.for_s / 4, times=5
                    )
                )
            await asyncio.sleep(1.0)

    async def _upstreams_stand_still(self, step: plans.Step) -> None:
        """Let engines stand still again and again, one or all of them."""
        engines = [
            upstream.standin
            for upstream in self._site.upstreams
            if upstream.standin.service == soaking.ENGINES
        ]
        if step.draw > TOGETHER_SHARE:
            engines = [engines[int(step.draw * len(engines))]]
        for _ in range(STANDSTILLS):
            with contextlib.ExitStack() as stack:
                for engine in engines:
                    stack.enter_context(self._standing_still(engine))
                await asyncio.sleep(step.for_s * ENGINE_STANDSTILLS)
            await asyncio.sleep(STANDSTILL_PAUSE_S)
        for engine in engines:
            engine.path_delay_s = 0.0

    @contextlib.contextmanager
    def _standing_still(self, engine: soaking.Upstream):
        with self._span("upstream standstill", engine.incarnation):
            engine.stand_still()
            try:
                yield
            finally:
                engine.path_delay_s = PATH_DELAY_S
                engine.go_on()

    async def _limit(self, step: plans.Step) -> None:
        """Let an upstream state a limit in all its answers."""
        plain = [
            upstream.standin
            for upstream in self._site.upstreams
            if upstream.standin.service == soaking.PLAIN_SERVICE
        ]
        standin = plain[int(step.draw * len(plain))]
        limit = records.StatedLimit(
            standin.incarnation, standin.service, LIMIT_PER_S
        )
        self._site.record.limits.append(limit)
        standin.limit = limit
        await asyncio.sleep(step.for_s)
        standin.limit, limit.until_s = None, time.monotonic()

    async def _leave(self, step: plans.Step) -> None:
        """Let an upstream say in answers that it leaves, then end it.

        Its entry stays in the registry until then.
        """
        upstream = self._upstream(step)
        if upstream is None:
            return
        standin = upstream.standin
        await self._site.add_upstream(
            standin.service, standin.zone, _software_version(step)
        )
        standin.says_it_leaves = True
        await asyncio.sleep(LINGER_S + step.for_s)
        with self._span("upstream left", standin.incarnation):
            await self._site.end_upstream(upstream)

    async def _rest(self, step: plans.Step) -> None:
        """Let an upstream refuse all requests and ask for rest."""
        upstream = self._upstream(step)
        if upstream is None:
            return
        standin = upstream.standin
        standin.rest = records.AskedRest(
            standin.incarnation, standin.service, REST_S
        )
        self._site.record.rests.append(standin.rest)
        await asyncio.sleep(step.for_s)
        standin.rest = None

    async def _sick(self, step: plans.Step) -> None:
        upstream = self._upstream(step)
        if upstream is None:
            return

        async def behaves(standin, run, answer):
            behaviour = soaking.answers_normally
            if self._rng.random() < SICK_SHARE:
                behaviour = self._rng.choice(soaking.FAULTY_BEHAVIOURS)
            await behaviour(standin, run, answer)

        with self._span("upstream sick", upstream.standin.incarnation):
            upstream.standin.default_behaviour = behaves
            await asyncio.sleep(step.for_s)
            upstream.standin.default_behaviour = soaking.answers_normally

    async def _broken_answers(self, step: plans.Step) -> None:
        """Add a service's instance whose answers break off, or never end.

        It has no proxy, whose end of a connection is in order.
        """
        upstream = await self._site.add_upstream(
            soaking.PLAIN_SERVICE, "za", has_proxy=False
        )
        rng = random.Random(step.draw)

        async def behaves(standin, run, answer):
            await rng.choice(soaking.BROKEN_ANSWERS)(standin, run, answer)

        standin = upstream.standin
        with self._span(step.fault.value, standin.incarnation):
            standin.default_behaviour = behaves
            with self._watched_memory(self._site.routers, step.fault.value):
                await asyncio.sleep(step.for_s)
            await self._site.end_upstream(upstream)

    @contextlib.contextmanager
    def _watched_memory(self, routers: list[sites.Router], kind: str):
        """Note by how much routers grow that live through the block."""
        before = [
            (router, router.starts, _peak_memory_bytes(router))
            for router in routers
            if router.lives and not self._is_starting(router)
        ]
        yield
        for router, start, before_bytes in before:
            if router.lives and router.starts == start:
                self._site.record.memory_growths.append(
                    records.MemoryGrowth(
                        router.name,
                        kind,
                        before_bytes,
                        _peak_memory_bytes(router),
                    )
                )

    def _is_starting(self, router: sites.Router) -> bool:
        """Whether a process still grows to what it needs in calm."""
        return any(
            span.kind == "start"
            and span.target == router.name
            and span.until_s == math.inf
            for span in self._site.record.spans
        )

    async def _resets(self, step: plans.Step) -> None:
        """Let an engine reset all connections, and work on at its runs."""
        engines = [
            upstream
            for upstream in self._site.upstreams
            if upstream.standin.service == soaking.ENGINES
        ]
        upstream = engines[int(step.draw * len(engines))]
        standin, proxy = upstream.standin, upstream.proxy
        with self._span(step.fault.value, standin.incarnation):
            standin.keeps_runs = proxy.resetting = True
            proxy.cut()
            await asyncio.sleep(step.for_s)
            standin.keeps_runs = proxy.resetting = False

    async def _crash(self, step: plans.Step) -> None:
        upstream = self._upstream(step)
        if upstream is not None:
            await self._replace(upstream, _software_version(step))

    async def _replace(
        self,
        upstream: sites.Upstream,
        software_version: str = soaking.SOFTWARE_VERSIONS[0],
    ) -> None:
        standin = upstream.standin
        with self._span("upstream crash", standin.incarnation):
            await self._site.end_upstream(upstream)
            await asyncio.sleep(REPLACED_S)
            await self._site.add_upstream(
                standin.service, standin.zone, software_version
            )

    async def _drain(self, step: plans.Step) -> None:
        upstream = self._upstream(step)
        if upstream is None or self._site.store.mode != "well":
            return
        standin = upstream.standin
        await self._site.add_upstream(
            standin.service, standin.zone, _software_version(step)
        )
        self._site.leave(upstream)
        await asyncio.sleep(LINGER_S + step.for_s)
        with self._span("upstream left", standin.incarnation):
            await self._site.end_upstream(upstream)

    async def _poisoned(self, step: plans.Step) -> None:
        watch = asyncio.ensure_future(self._crash_when_poisoned())
        for _ in range(POISON_TRIES):
            router = self._rng.choice(self._site.routers)
            call = self._poison.call(records.Kind.POISON, router)
            await self._poison.ask(call, router)
            await asyncio.sleep(POISON_PAUSE_S)
        watch.cancel()

    async def _poisoned_part(self, step: plans.Step) -> None:
        watch = asyncio.ensure_future(self._crash_when_poisoned())
        for _ in range(PART_REQUESTS):
            router = self._rng_of_parts.choice(self._site.routers)
            call = self._poison.call(records.Kind.POISON_PART, router)
            await self._poison.ask(call, router)
            await asyncio.sleep(PART_PAUSE_S)
        watch.cancel()

    async def _crash_when_poisoned(self) -> None:
        while True:
            for upstream in list(self._site.upstreams):
                if upstream.standin.is_poisoned.is_set():
                    self._start(self._replace(upstream))
                    upstream.standin.is_poisoned.clear()
            await asyncio.sleep(0.02)

    # The operator.

    async def _document(self, step: plans.Step) -> None:
        self._site.change_document()

    async def _weights(self, step: plans.Step) -> None:
        self._site.name_weights()


def _peak_memory_bytes(router: sites.Router) -> int:
    return crowds.peak_memory_bytes(router.process.pid)


def _software_version(step: plans.Step) -> str:
    """Return the software of the upstream that replaces another."""
    return random.Random(step.draw).choice(soaking.SOFTWARE_VERSIONS)


def _mode(mode: str):
    async def act(injector: Injector, step: plans.Step) -> None:
        await injector._store_mode(mode, step)

    return act


def _end(number: int):
    async def act(injector: Injector, step: plans.Step) -> None:
        await injector._end_router(number, step)

    return act


_HEAD = soaking.crowd_head()
_LEGAL_BYTES = 4 * 2**20

#: Clients of a crowd, and what each of them sends.
_CROWDS = (
    (
        "whole bodies",
        (24, crowds.states_length(_HEAD, _LEGAL_BYTES, _LEGAL_BYTES)),
    ),
    (
        "just short",
        (24, crowds.states_length(_HEAD, _LEGAL_BYTES, _LEGAL_BYTES - 1)),
    ),
    ("small chunks", (32, crowds.sends_chunks(_HEAD, 2**20, 16))),
    ("chunks of one byte", (24, crowds.sends_chunks(_HEAD, 2**14, 1))),
    (
        "chunks without end",
        (24, crowds.sends_chunks(_HEAD, 2 * _LEGAL_BYTES, 65_536)),
    ),
    ("heads without end", (200, crowds.sends(_HEAD + b"X: " + b"y" * 15_000))),
)

_ACTIONS = {
    plans.Fault.TERM: _end(signal.SIGTERM),
    plans.Fault.KILL: _end(signal.SIGKILL),
    plans.Fault.PAUSE: Injector._pause,
    plans.Fault.HUP: Injector._hup,
    plans.Fault.STORE_BUSY: _mode("busy"),
    plans.Fault.STORE_SILENT: _mode("silent"),
    plans.Fault.STORE_LOST: _mode("lost"),
    plans.Fault.STORE_FORGETS: Injector._store_forgets,
    plans.Fault.STORE_CUT: Injector._store_cut,
    plans.Fault.CUT: Injector._strike,
    plans.Fault.FREEZE: Injector._strike,
    plans.Fault.DELAY: Injector._strike,
    plans.Fault.SICK: Injector._sick,
    plans.Fault.CRASH: Injector._crash,
    plans.Fault.DRAIN: Injector._drain,
    plans.Fault.DOCUMENT: Injector._document,
    plans.Fault.WEIGHTS: Injector._weights,
    plans.Fault.POISON: Injector._poisoned,
    plans.Fault.POISON_PART: Injector._poisoned_part,
    plans.Fault.STANDSTILL: Injector._stand_still,
    plans.Fault.UPSTREAM_STANDSTILL: Injector._upstreams_stand_still,
    plans.Fault.LIMIT: Injector._limit,
    plans.Fault.LEAVE: Injector._leave,
    plans.Fault.REST: Injector._rest,
    plans.Fault.WATCHES_LOST: Injector._watches_lost,
    plans.Fault.STRANGE_ENTRY: Injector._strange_entry,
    plans.Fault.CLIENT_CROWD: Injector._client_crowd,
    plans.Fault.BROKEN_ANSWERS: Injector._broken_answers,
    plans.Fault.RESETS: Injector._resets,
}
