"""Continuous batching of the engine stand-in: queue, prefill, decode."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import heapq
import itertools
import time

import attrs

from toucanrudder.standins import cache as prefix_cache
from toucanrudder.standins import output

BATCH_EVENTS = 64


@attrs.define(eq=False)
class Run:
    """One request in the engine.

    Parameters
    ----------
    request_id : str
        Identity of the try.
    priority : int
        0 goes first.
    keys : tuple of bytes
        Identities of the prompt's full blocks.
    prompt_tokens : int
        Tokens of the prompt, continued text included.
    tokens : int
        Number of the last token of the answer.
    after : int
        Events that another engine has already sent.
    writer : output.Writer
        Makes the events.
    """

    request_id: str
    priority: int
    keys: tuple[bytes, ...]
    prompt_tokens: int
    tokens: int
    after: int
    writer: output.Writer
    salt: str = ""
    idempotency_key: str = ""
    weights_version: str = ""
    prompt_text: str = attrs.field(default="", repr=False)
    state: str = "waiting"
    started_s: float | None = None
    finished_s: float | None = None
    accepted_s: float = attrs.field(factory=time.time)
    cached_tokens: int = 0
    prefill_tokens: int = 0
    recomputed_tokens: int = 0
    events: list[bytes] = attrs.field(factory=list, repr=False)
    readers: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event, repr=False)
    task: asyncio.Task | None = attrs.field(default=None, repr=False)

    @property
    def ended(self) -> bool:
        """Whether nothing will be added any more."""
        return self.state in ("finished", "cancelled")

    @property
    def usage(self) -> dict:
        """Tokens used, in the shape of the OpenAI API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def notify(self) -> None:
        """Wake those who wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def as_journal(self) -> dict:
        """Return what the journal says of this run."""
        return {
            "request_id": self.request_id,
            "priority": self.priority,
            "salt": self.salt,
            "prompt_sha256": self.writer.prompt_sha256,
            "idempotency_key": self.idempotency_key,
            "weights_version": self.weights_version,
            "state": self.state,
            "after": self.after,
            "events": len(self.events),
            "accepted_s": self.accepted_s,
            "started_s": self.started_s,
            "finished_s": self.finished_s,
            "prompt_tokens": self.prompt_tokens,
            "cached_tokens": self.cached_tokens,
            "prefill_tokens": self.prefill_tokens,
            "recomputed_tokens": self.recomputed_tokens,
        }


@attrs.define
class Batch:
    """Queue and slots; one prefill at a time, most urgent first.

    Parameters
    ----------
    cache : prefix_cache.PrefixCache
        Where prefixes are kept.
    slots : int
        Requests in prefill or decode at once.
    queue : int
        Requests that may wait.
    prefill_tokens_per_s : float
        Speed of prefill; 0 for no cost.
    decode_s_per_token : float
        Time between two tokens; 0 for no cost.
    before_prefill : callable
        Called with each run when it starts.
    """

    cache: prefix_cache.PrefixCache
    slots: int
    queue: int
    prefill_tokens_per_s: float
    decode_s_per_token: float
    before_prefill: Callable[[Run], None]
    waiting_runs: dict[str, Run] = attrs.field(factory=dict)
    running: dict[str, Run] = attrs.field(factory=dict)
    going: asyncio.Event = attrs.field(factory=asyncio.Event)
    _heap: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        # A stalled engine clears it.
        self.going.set()

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that are still to be computed."""
        return sum(run.prompt_tokens for run in self.waiting_runs.values())

    async def until_idle(self) -> None:
        """Return once there is nothing to do."""
        while self.waiting_runs or self.running:
            self._ended.clear()
            await self._ended.wait()

    def full(self) -> bool:
        """Whether a new request must be refused."""
        return (
            len(self.running) >= self.slots
            and len(self.waiting_runs) >= self.queue
        )

    def submit(self, run: Run) -> None:
        """Queue a run."""
        self.waiting_runs[run.request_id] = run
        entry = (run.priority, next(self._order), run)
        heapq.heappush(self._heap, entry)
        self._wake.set()

    def cancel(self, run: Run) -> None:
        """Stop the run and free what it holds."""
        if run.ended:
            return
        self.waiting_runs.pop(run.request_id, None)
        self._end(run, "cancelled")
        if run.task is not None:
            run.task.cancel()

    async def work(self) -> None:
        """Take runs from the queue for ever."""
        async with asyncio.TaskGroup() as group:
            while True:
                run = await self._next()
                del self.waiting_runs[run.request_id]
                self.running[run.request_id] = run
                await self._prefill(run)
                if not run.ended:
                    run.task = group.create_task(self._decode(run))

    async def _next(self) -> Run:
        while True:
            while self._heap and len(self.running) < self.slots:
                run = heapq.heappop(self._heap)[2]
                if not run.ended:
                    return run
            self._wake.clear()
            await self._wake.wait()

    async def _prefill(self, run: Run) -> None:
        run.state, run.started_s = "prefill", time.time()
        self.before_prefill(run)
        held = self.cache.leading(run.keys)
        run.cached_tokens = held * prefix_cache.BLOCK_TOKENS
        run.prefill_tokens = run.prompt_tokens - run.cached_tokens
        if self.prefill_tokens_per_s:
            wait_s = run.prefill_tokens / self.prefill_tokens_per_s
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await run.changed.wait()
        if run.ended:
            return
        again = self.cache.store(run.keys, time.time())
        run.recomputed_tokens = again * prefix_cache.BLOCK_TOKENS
        run.state = "decode"

    async def _decode(self, run: Run) -> None:
        for number in range(run.after + 1, run.tokens + 1):
            if self.decode_s_per_token:
                await asyncio.sleep(self.decode_s_per_token)
            elif number % BATCH_EVENTS == 0:
                run.notify()
                await asyncio.sleep(0)
            await self.going.wait()
            run.events.append(run.writer.event(number))
            if self.decode_s_per_token:
                run.notify()
        if run.after <= run.tokens:
            run.events.append(run.writer.last_event(run.tokens + 1, run.usage))
        run.events.append(run.writer.done_event(run.tokens + 2))
        self._end(run, "finished")

    def _end(self, run: Run, state: str) -> None:
        run.state, run.finished_s = state, time.time()
        self.running.pop(run.request_id, None)
        self._wake.set()
        self._ended.set()
        run.notify()


@contextlib.asynccontextmanager
async def in_background(*jobs: Coroutine) -> AsyncIterator[None]:
    """Run coroutines while the block runs."""
    tasks = [asyncio.ensure_future(job) for job in jobs]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
