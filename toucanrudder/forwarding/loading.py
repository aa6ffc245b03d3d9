"""Loads new weights on one engine: drains, orders and watches it."""

import abc
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import attrs

from toucanrudder import clock
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import state as states
from toucanrudder.leases import holder
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics

STEP = "order"

#: Interval between two polls of an engine that carries out an order.
POLL_INTERVAL_S = 0.2

#: The same while the engine finishes its requests: its reports are about a
#: tenth of a second old.
DRAIN_POLL_INTERVAL_S = 0.15

#: Timeout of a call to an engine; well below the margin of the lease, so
#: that an order sent at the end of its validity arrives in time.
CALL_TIMEOUT_S = 0.4


class OrderDialect(abc.ABC):
    """Calls to an engine other than callers' requests."""

    @abc.abstractmethod
    async def ask_report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.ReportReply:
        """Return the engine's report, or why there is none."""

    async def report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.EngineReport | None:
        """Return the engine's report; None if there was no answer."""
        reply = await self.ask_report(upstream, timeout_s=timeout_s)
        return reply.report

    @abc.abstractmethod
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
        """Order new weights; return whether the engine accepted the order.

        Raises
        ------
        RudderError
            ``order_fenced``: another holder has a higher fencing number.
        """


class Loader:
    """Sends orders to engines and follows their progress.

    Parameters
    ----------
    state : states.ForwardingState
        Holds the newest weights; its registry gets the weights that engines
        report.
    dialect : OrderDialect
        Calls to engines.
    lease : holder.LeaseHolder
        Checked right before each order.
    avoid : callable
        Takes the incarnation of an engine that is about to load and the
        seconds for which it gets no work; returns when peers know.
    on_answer : callable
        Called when an engine has answered a request for its report.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        dialect: OrderDialect,
        lease: holder.LeaseHolder,
        *,
        avoid: Callable[[str, float], Awaitable[None]],
        on_answer: Callable[[], None],
    ):
        self._state = state
        self._dialect = dialect
        self._lease = lease
        self._avoid = avoid
        self._on_answer = on_answer
        #: Number of orders in flight.
        self.calls = 0

    async def request_report(
        self, upstream: model.Upstream
    ) -> rollout.EngineReport | None:
        """Return an engine's report; None without a current answer."""
        report = await self._dialect.report(upstream, timeout_s=CALL_TIMEOUT_S)
        if report is None or not upstream.is_same_start(report.started_at_ms):
            return None
        self._on_answer()
        return report

    async def load(
        self,
        task: rollout.LoadTask,
        report: rollout.EngineReport,
        order: rollout.PendingOrder,
    ) -> None:
        """Order an engine and wait until it has the weights.

        Parameters
        ----------
        task : rollout.LoadTask
            The engine and the weights to load.
        report : rollout.EngineReport
            The engine's newest report.
        order : rollout.PendingOrder
            Its time is set when the order has been sent.

        Raises
        ------
        RudderError
            ``lease_lost``, ``order_fenced``.
        """
        async with self._without_new_work(task.upstream.incarnation):
            if await self._send_order(task, report):
                # The timeout starts anew for the load itself.
                order.at_s = clock.now_s()
                await self._wait_until_loaded(task)

    @contextlib.asynccontextmanager
    async def _without_new_work(self, name: str) -> AsyncIterator[None]:
        """Keep new work from an engine, here and at peers."""
        await self._avoid(name, rollout.ORDER_TIMEOUT_S)
        try:
            yield
        finally:
            await self._avoid(name, 0.0)

    def _age_s(self, task: rollout.LoadTask) -> float:
        return self._state.weights_age_s(task.upstream, task.model)

    async def _drained_report(
        self, task: rollout.LoadTask, report: rollout.EngineReport
    ) -> rollout.EngineReport | None:
        """Wait until the engine, which gets no new work, may be ordered.

        A lost report does not end the wait: an overloaded engine refuses
        new connections.  The report before it is as good, as the order names
        the number of accepted orders in it.

        Returns
        -------
        rollout.EngineReport or None
            The engine's newest report; None if it carries out an order.
        """
        began_s = clock.now_s()
        while rollout.waits_for_requests(
            report,
            clock.now_s() - began_s,
            self._age_s(task),
            self._state.pace,
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            report = await self.request_report(task.upstream) or report
            if report.is_busy:
                return None
        return report

    async def _send_order(
        self, task: rollout.LoadTask, report: rollout.EngineReport
    ) -> bool:
        """Drain an engine and order it; return whether an order was sent."""
        previous = report.weights.get(task.model, 0)
        report = await self._drained_report(task, report)
        if report is None or self._state.stopping:
            return False
        mode = rollout.load_mode(report)
        # Loads the newest version, also if it was named during the drain.
        newest = self._state.newest_weights[task.model].version
        task = attrs.evolve(task, version=newest)
        lease = self._lease.require_lease(clock.now_s())
        self.calls += 1
        try:
            accepted = await self._dialect.load(
                task,
                report,
                mode=mode,
                holder=self._lease.holder_id,
                fencing=lease.fencing,
                timeout_s=CALL_TIMEOUT_S,
            )
        finally:
            self.calls -= 1
        metrics.counter("toucanrudder_orders", "Orders to engines").add(
            1, {"taken": str(accepted).lower()}
        )
        decisions.record(
            decisions.OrderGiven(
                upstream=task.upstream.incarnation,
                model=task.model,
                version=task.version,
                had_version=previous,
                fencing=lease.fencing,
                lease_left_s=lease.valid_until_s - clock.now_s(),
                expected_orders=report.orders,
                running=report.running,
                reading=report.reading,
                memory_share=report.memory_share,
                mode=mode.value,
                taken=accepted,
            )
        )
        return True

    async def _wait_until_loaded(self, task: rollout.LoadTask) -> None:
        """Wait until the engine has loaded the weights or stopped loading."""
        name = task.upstream.incarnation
        began_s = clock.now_s()
        version = 0
        while clock.now_s() < began_s + rollout.ORDER_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            report = await self.request_report(task.upstream)
            if report is None:
                continue
            version = report.weights.get(task.model, 0)
            self._state.record_engine_weights(name, task.model, version)
            if version >= task.version or not report.is_busy:
                break
        decisions.record(
            decisions.OrderEnded(
                upstream=name,
                model=task.model,
                version=task.version,
                has_version=version,
                took_s=clock.now_s() - began_s,
            )
        )
