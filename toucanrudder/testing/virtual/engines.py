"""Engines that load weights and run requests on virtual time."""

import asyncio
from collections.abc import Callable
import random

import attrs

from toucanrudder.forwarding import rollout
from toucanrudder.testing.virtual import timing

#: Between two signs of life of an engine in the registry, and after the
#: last of which its entry goes.
HEARTBEAT_S = 1.2
ENTRY_KEPT_S = 3 * HEARTBEAT_S

#: Time to load weights, and how many engines may do so at once without
#: getting slower.
LOAD_S = 0.4
LOADERS = 18

#: Requests that an engine runs at once.
SLOTS = 64

#: Between two steps of its work.
STEP_S = 0.05

#: For how long a prompt is read, and an answer made, at an idle engine; at
#: a full one it is as many times longer.
READ_S = (0.15, 0.5)
ANSWER_S = (0.4, 2.5)
SLOWDOWN = 2.0

#: How old what an engine reports is.
REPORT_AGE_S = 0.2

#: An order that is carried out late gets no answer, and begins after this.
LATE_S = (2.0, 12.0)

MODEL = "m"
SERVICE = "engines"


@attrs.define
class Run:
    """One request at an engine."""

    read_at_s: float
    ends_at_s: float
    version: int


@attrs.define(eq=False)
class Engine:
    """One engine, through all its starts.

    Parameters
    ----------
    place : str
        What stays the same through all its starts.
    address : str
        Where it listens, also after a restart.
    rng : random.Random
        For its runs.
    clock : callable
        Virtual time in seconds.
    version : int
        Weights that it has.
    """

    place: str
    address: str
    rng: random.Random
    clock: Callable[[], float]
    version: int = 1
    started_at_ms: int = 0
    orders: int = 0
    highest_fence: int = 0
    is_dark: bool = False
    is_leaving: bool = False
    is_registering: bool = True
    late_share: float = 0.0
    refused_share: float = 0.0
    has_since_s: dict[int, float] = attrs.field(factory=dict)
    up_since_s: float = 0.0
    starts: int = 0
    received: list[tuple[float, str, int, int]] = attrs.field(factory=list)
    _runs: list[Run] = attrs.field(factory=list)
    _loading: int = 0
    _reports: list[tuple[float, rollout.EngineReport]] = attrs.field(
        factory=list
    )
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._start()

    @property
    def name(self) -> str:
        """Under which it registers; each start has another."""
        return f"{self.place}-{self.starts}"

    def _start(self) -> None:
        self.starts += 1
        self.up_since_s = self.clock()
        self.started_at_ms = round(1000 * (timing.EPOCH_S + self.clock()))
        self.has_since_s.setdefault(self.version, self.clock())
        self.orders = self.highest_fence = 0

    def entry(self) -> dict:
        """Return what it registers."""
        return {
            "address": self.address,
            "leaving": self.is_leaving,
            "weights": {MODEL: self.version},
            "born_ms": self.started_at_ms,
        }

    # Life.

    def fall_dark(self) -> None:
        """Stop answering, and lose all work."""
        self.is_dark = True
        self._runs.clear()
        self._reports.clear()
        self._loading = 0
        for task in self._tasks:
            task.cancel()

    def come_back(self) -> None:
        """Start again under a new name, with the weights it had."""
        self.is_dark = False
        self._start()

    # Work.

    def arrive(self, count: int) -> None:
        """Take requests, as far as there are slots and no order."""
        now_s = self.clock()
        room = 0 if self._loading else SLOTS - len(self._runs)
        for _ in range(min(count, room)):
            slower = 1 + SLOWDOWN * len(self._runs) / SLOTS
            read_at_s = now_s + slower * self.rng.uniform(*READ_S)
            ends_at_s = read_at_s + slower * self.rng.uniform(*ANSWER_S)
            self._runs.append(Run(read_at_s, ends_at_s, self.version))

    def step(self) -> None:
        """End the runs that are done, and note a report."""
        now_s = self.clock()
        self._runs = [run for run in self._runs if run.ends_at_s > now_s]
        self._reports.append((now_s, self._report_now(now_s)))
        while (
            len(self._reports) > 1
            and self._reports[1][0] <= now_s - REPORT_AGE_S
        ):
            self._reports.pop(0)

    @property
    def running(self) -> int:
        """Requests that it runs."""
        return len(self._runs)

    def _report_now(self, now_s: float) -> rollout.EngineReport:
        return rollout.EngineReport(
            weights={MODEL: self.version},
            is_busy=bool(self._loading),
            orders=self.orders,
            running=len(self._runs),
            reading=sum(run.read_at_s > now_s for run in self._runs),
            memory_share=len(self._runs) / SLOTS,
            started_at_ms=self.started_at_ms,
        )

    def report(self) -> rollout.EngineReport | None:
        """Return what it says of itself; it is a little old."""
        if self.is_dark or self.rng.random() < self.refused_share:
            return None
        if not self._reports:
            return self._report_now(self.clock())
        return self._reports[0][1]

    # Orders.

    def order(
        self,
        router: str,
        fence: int,
        version: int,
        expected: int,
        mode: rollout.Mode,
        loaders: Callable[[], int],
    ) -> bool | None:
        """Take an order; None if it gets no answer.

        Returns
        -------
        bool or None
            Whether it was accepted.
        """
        if self.is_dark:
            return None
        if self.rng.random() < self.late_share:
            self._spawn(self._late(fence, version, expected, mode, loaders))
            return None
        self.received.append((self.clock(), router, fence, version))
        return self._take(fence, version, expected, mode, loaders)

    def _take(self, fence, version, expected, mode, loaders) -> bool:
        if fence < self.highest_fence:
            return False
        self.highest_fence = fence
        if self._loading or expected != self.orders:
            return False
        self.orders += 1
        self._loading = version
        self._spawn(self._load(version, mode, loaders))
        return True

    async def _late(self, fence, version, expected, mode, loaders) -> None:
        await asyncio.sleep(self.rng.uniform(*LATE_S))
        self._take(fence, version, expected, mode, loaders)

    async def _load(self, version, mode, loaders) -> None:
        if mode is rollout.Mode.WAIT:
            while self._runs:
                await asyncio.sleep(STEP_S)
        await asyncio.sleep(LOAD_S * max(1.0, loaders() / LOADERS))
        self.version = version
        self.has_since_s.setdefault(version, self.clock())
        self._loading = 0

    @property
    def is_loading(self) -> bool:
        """Whether an order is being carried out."""
        return bool(self._loading)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
