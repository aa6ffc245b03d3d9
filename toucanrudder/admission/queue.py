"""Admission of a bounded number of concurrent requests; others queue."""

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
#: Smoothing factor of the mean time for which a request holds its place.
HOLD_SMOOTHING = 0.05
#: Assumed mean before the first request has ended.
INITIAL_HOLD_S = 0.1
MIN_RETRY_AFTER_S = 0.1


@attrs.define(eq=False)
class _Waiter(fair.Entry):
    admission: asyncio.Future = attrs.field(factory=asyncio.Future)


class AdmissionQueue:
    """A queue that admits at most `capacity` requests concurrently.

    Parameters
    ----------
    capacity : int
        Requests admitted at once; may be changed at any time.
    max_queued : int
        Most requests that may wait.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, capacity: int, max_queued: int, clock=time.monotonic):
        self._capacity = max(1, capacity)
        self._max_queued = max_queued
        self._clock = clock
        self._queue = fair.FairQueue()
        self._running = 0
        self._mean_hold_s = INITIAL_HOLD_S

    @property
    def capacity(self) -> int:
        """Requests admitted at once."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: int) -> None:
        self._capacity = max(1, capacity)
        self._admit_waiting()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of admitted requests that have not ended."""
        return self._running

    def expected_wait_s(
        self, organisation: str, priority: request.Priority
    ) -> float:
        """Estimate the wait in seconds of a request that arrives now."""
        if self._running < self._capacity:
            return 0.0
        ahead = self._queue.count_ahead(organisation, priority)
        return (ahead + 1) * self._mean_hold_s / self._capacity

    @contextlib.asynccontextmanager
    async def admitted(
        self,
        organisation: model.Organisation,
        priority: request.Priority,
        deadline_s: float,
    ):
        """Hold one place while the context is open.

        Parameters
        ----------
        organisation : model.Organisation
            Organisation that sent the request.
        priority : request.Priority
            Priority class of the request.
        deadline_s : float
            Monotonic time by which it must be admitted.

        Yields
        ------
        float
            Seconds for which it waited.

        Raises
        ------
        RudderError
            ``deadline_unmet`` at once if the expected wait exceeds the
            deadline, or when the deadline passes; ``queue_full``.  Nothing
            has run.
        """
        arrived_s = self._clock()
        await self._wait(organisation, priority, deadline_s, arrived_s)
        admitted_s = self._clock()
        try:
            yield admitted_s - arrived_s
        finally:
            self._running -= 1
            held_s = max(0.0, self._clock() - admitted_s)
            self._mean_hold_s += HOLD_SMOOTHING * (held_s - self._mean_hold_s)
            self._admit_waiting()

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
            raise _deadline_unmet(
                "the wait would outlast the deadline", late_s
            )
        waiter = _Waiter(
            organisation.name,
            organisation.weight,
            priority,
            deadline_s,
            now_s,
        )
        self._enqueue(waiter, expected_s)
        await self._await_admission(waiter)

    async def _await_admission(self, waiter: _Waiter) -> None:
        left_s = waiter.deadline_s - self._clock()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await waiter.admission
        except BaseException as error:
            if not self._queue.remove(waiter) and _is_admitted(waiter):
                # The caller left just as it was admitted: free the place.
                self._running -= 1
                self._admit_waiting()
            if isinstance(error, TimeoutError):
                expected_s = self.expected_wait_s(
                    waiter.organisation, waiter.priority
                )
                raise _deadline_unmet(
                    "the deadline passed", expected_s
                ) from None
            raise

    def _enqueue(self, waiter: _Waiter, expected_s: float) -> None:
        if len(self._queue) >= self._max_queued:
            victim = self._queue.victim(waiter)
            if victim is None:
                raise _queue_full(expected_s)
            self._queue.remove(victim)
            if not victim.admission.done():
                victim.admission.set_exception(_queue_full(expected_s))
            metrics.counter(
                "toucanrudder_displaced", "Waiting requests displaced"
            ).add(1)
        self._queue.push(waiter)

    def _admit_waiting(self) -> None:
        while self._queue and self._running < self._capacity:
            waiter = self._queue.pop()
            if waiter.admission.done():
                continue
            self._running += 1
            waiter.admission.set_result(None)


def _is_admitted(waiter: _Waiter) -> bool:
    future = waiter.admission
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )


def _queue_full(expected_s: float) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.QUEUE_FULL,
        "too many requests are waiting",
        step=STEP,
        retry_after_s=_retry_after_s(expected_s),
    )


def _deadline_unmet(message: str, late_s: float) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.DEADLINE_UNMET,
        message,
        step=STEP,
        retry_after_s=_retry_after_s(late_s),
    )


def _retry_after_s(wait_s: float) -> float:
    return round(max(MIN_RETRY_AFTER_S, wait_s), 3)
