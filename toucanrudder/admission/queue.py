"""Lets requests through, a bounded number at once, the rest in order."""

import asyncio
import contextlib
import time

import attrs

from toucanrudder import errors
from toucanrudder.admission import fair
from toucanrudder.document import model
from toucanrudder.messages import request
from toucanrudder.observability import metrics

STEP = "admit"
HOLD_SMOOTHING = 0.05
FIRST_HOLD_S = 0.1
MIN_RETRY_AFTER_S = 0.1


@attrs.define(eq=False)
class _Waiter(fair.Entry):
    turn: asyncio.Future = attrs.field(factory=asyncio.Future)


class AdmissionQueue:
    """At most `capacity` requests at once; the others wait their turn.

    Parameters
    ----------
    capacity : int
        Requests let through at once; may be set at any time.
    max_queued : int
        Requests that may wait.
    clock : callable
        Monotonic clock of the waiting side.
    """

    def __init__(self, capacity: int, max_queued: int, clock=time.monotonic):
        self._capacity = max(1, capacity)
        self._max_queued = max_queued
        self._clock = clock
        self._queue = fair.FairQueue()
        self._running = 0
        self._hold_s = FIRST_HOLD_S

    @property
    def capacity(self) -> int:
        """Requests let through at once."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: int) -> None:
        self._capacity = max(1, capacity)
        self._let_through()

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Requests that were let through and have not ended."""
        return self._running

    def expected_wait_s(
        self, organisation: str, priority: request.Priority
    ) -> float:
        """Estimate the wait of a request that would come now, in seconds."""
        if self._running < self._capacity:
            return 0.0
        ahead = self._queue.ahead(organisation, priority)
        return (ahead + 1) * self._hold_s / self._capacity

    @contextlib.asynccontextmanager
    async def admitted(
        self,
        organisation: model.Organisation,
        priority: request.Priority,
        deadline_s: float,
    ):
        """Hold one place for as long as the context lasts.

        Parameters
        ----------
        organisation : model.Organisation
            Whose request it is.
        priority : request.Priority
            Class of the request.
        deadline_s : float
            Monotonic time by which it must be let through.

        Yields
        ------
        float
            Seconds that it waited.

        Raises
        ------
        RudderError
            ``deadline_unmet`` at once when the wait would be too long, or
            when it became so; ``queue_full``.  Nothing was run.
        """
        began_s = self._clock()
        await self._wait(organisation, priority, deadline_s, began_s)
        through_s = self._clock()
        try:
            yield through_s - began_s
        finally:
            self._running -= 1
            held_s = max(0.0, self._clock() - through_s)
            self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
            self._let_through()

    async def _wait(
        self,
        organisation: model.Organisation,
        priority: request.Priority,
        deadline_s: float,
        now_s: float,
    ) -> None:
        if self._running < self._capacity and not self._queue:
            self._running += 1
            return
        expected_s = self.expected_wait_s(organisation.name, priority)
        if now_s + expected_s > deadline_s:
            late_s = now_s + expected_s - deadline_s
            raise _unmet("the wait would outlast the deadline", late_s)
        waiter = _Waiter(
            organisation.name,
            organisation.weight,
            priority,
            deadline_s,
            now_s,
        )
        self._enter(waiter, expected_s)
        await self._await_turn(waiter)

    async def _await_turn(self, waiter: _Waiter) -> None:
        left_s = waiter.deadline_s - self._clock()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await waiter.turn
        except BaseException as error:
            if not self._queue.remove(waiter) and _granted(waiter):
                # The turn came as the caller left; pass it on.
                self._running -= 1
                self._let_through()
            if isinstance(error, TimeoutError):
                expected_s = self.expected_wait_s(
                    waiter.organisation, waiter.priority
                )
                raise _unmet("the deadline passed", expected_s) from None
            raise

    def _enter(self, waiter: _Waiter, expected_s: float) -> None:
        if len(self._queue) >= self._max_queued:
            victim = self._queue.victim(waiter)
            if victim is None:
                raise _full(expected_s)
            self._queue.remove(victim)
            if not victim.turn.done():
                victim.turn.set_exception(_full(expected_s))
            metrics.counter(
                "toucanrudder_displaced", "Waiting requests displaced"
            ).add(1)
        self._queue.push(waiter)

    def _let_through(self) -> None:
        while self._queue and self._running < self._capacity:
            waiter = self._queue.pop()
            if waiter.turn.done():
                continue
            self._running += 1
            waiter.turn.set_result(None)


def _granted(waiter: _Waiter) -> bool:
    turn = waiter.turn
    return turn.done() and not turn.cancelled() and turn.exception() is None


def _full(expected_s: float) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.QUEUE_FULL,
        "too many requests are waiting",
        step=STEP,
        retry_after_s=_retry_after_s(expected_s),
    )


def _unmet(why: str, late_s: float) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.DEADLINE_UNMET,
        why,
        step=STEP,
        retry_after_s=_retry_after_s(late_s),
    )


def _retry_after_s(wait_s: float) -> float:
    return round(max(MIN_RETRY_AFTER_S, wait_s), 3)
