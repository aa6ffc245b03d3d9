"""Brings one engine to new weights: asks, empties, orders and watches it."""

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

#: Pause between two questions to an engine that carries out an order.
ASK_S = 0.2

#: The same while the engine works off what it has: its reports are about a
#: tenth of a second old.
EMPTY_ASK_S = 0.15

#: A call to an engine; well below the margin of the lease, so that an
#: order sent just in time arrives in time.
CALL_S = 0.4


class OrderDialect(abc.ABC):
    """Calls to an engine that are not requests of callers."""

    @abc.abstractmethod
    async def report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.EngineReport | None:
        """Return the engine's report; None if it gave none."""

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
        """Order new weights; say whether the engine took the order.

        Raises
        ------
        RudderError
            ``order_fenced``: another holder has a higher number.
        """


class Loader:
    """Gives orders to one engine after the other.

    Parameters
    ----------
    state : states.ForwardingState
        Tells which weights are to be had; told which an engine has.
    dialect : OrderDialect
        Speaks with engines.
    lease : holder.LeaseHolder
        Checked right before each order.
    avoid : callable
        Told the engine that is about to load, and for how many seconds it
        takes no work; returns when peers know.
    heard : callable
        Called when an engine has answered a question.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        dialect: OrderDialect,
        lease: holder.LeaseHolder,
        *,
        avoid: Callable[[str, float], Awaitable[None]],
        heard: Callable[[], None],
    ):
        self._state = state
        self._dialect = dialect
        self._lease = lease
        self._avoid = avoid
        self._heard = heard
        #: Orders that are on their way.
        self.calls = 0

    async def request_report(
        self, upstream: model.Upstream
    ) -> rollout.EngineReport | None:
        """Return an engine's report; None if it gives none."""
        report = await self._dialect.report(upstream, timeout_s=CALL_S)
        if report is None or not upstream.is_same_start(report.born_ms):
            return None
        self._heard()
        return report

    async def load(
        self,
        task: rollout.LoadTask,
        report: rollout.EngineReport,
        given: rollout.PendingOrder,
    ) -> None:
        """Order an engine and watch until it has the weights.

        Parameters
        ----------
        task : rollout.LoadTask
            What is to be done.
        report : rollout.EngineReport
            What the engine has just said.
        given : rollout.PendingOrder
            Its time is set when the order has been sent.

        Raises
        ------
        RudderError
            ``lease_lost``, ``order_fenced``.
        """
        async with self._avoided(task.upstream.incarnation):
            if await self._ordered(task, report):
                # It may take as long again until the engine has them.
                given.at_s = clock.now_s()
                await self._watched(task)

    @contextlib.asynccontextmanager
    async def _avoided(self, name: str) -> AsyncIterator[None]:
        """Keep work from an engine during the block, here and at peers."""
        await self._avoid(name, rollout.ORDER_TIMEOUT_S)
        try:
            yield
        finally:
            await self._avoid(name, 0.0)

    def _age_s(self, task: rollout.LoadTask) -> float:
        return self._state.weights_age_s(task.upstream, task.model)

    async def _emptied(
        self, task: rollout.LoadTask, report: rollout.EngineReport
    ) -> rollout.EngineReport | None:
        """Wait while the engine, which gets no new work, has much of it.

        A report that is lost says nothing: an engine under pressure turns
        new connections away.  The one before it will do, as the order
        names the count of orders that it was made with.

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
            await asyncio.sleep(EMPTY_ASK_S)
            report = await self.request_report(task.upstream) or report
            if report.is_busy:
                return None
        return report

    async def _ordered(
        self, task: rollout.LoadTask, report: rollout.EngineReport
    ) -> bool:
        """Empty an engine and order it; say whether an order was sent."""
        had = report.weights.get(task.model, 0)
        report = await self._emptied(task, report)
        if report is None or self._state.stopping:
            return False
        mode = rollout.load_mode(report)
        # Versions named while the engine was emptied are skipped.
        newest = self._state.newest_weights[task.model].version
        task = attrs.evolve(task, version=newest)
        lease = self._lease.require_lease(clock.now_s())
        self.calls += 1
        try:
            taken = await self._dialect.load(
                task,
                report,
                mode=mode,
                holder=self._lease.holder_id,
                fencing=lease.fencing,
                timeout_s=CALL_S,
            )
        finally:
            self.calls -= 1
        metrics.counter("toucanrudder_orders", "Orders to engines").add(
            1, {"taken": str(taken).lower()}
        )
        decisions.record(
            decisions.OrderGiven(
                upstream=task.upstream.incarnation,
                model=task.model,
                version=task.version,
                had_version=had,
                fencing=lease.fencing,
                lease_left_s=lease.valid_until_s - clock.now_s(),
                expected_orders=report.orders,
                running=report.running,
                reading=report.reading,
                memory_share=report.memory_share,
                mode=mode.value,
                taken=taken,
            )
        )
        return True

    async def _watched(self, task: rollout.LoadTask) -> None:
        """Wait until the engine has the weights, or has given up."""
        name = task.upstream.incarnation
        began_s = clock.now_s()
        has = 0
        while clock.now_s() < began_s + rollout.ORDER_TIMEOUT_S:
            await asyncio.sleep(ASK_S)
            report = await self.request_report(task.upstream)
            if report is None:
                continue
            has = report.weights.get(task.model, 0)
            self._state.registry.update_weights(name, task.model, has)
            if has >= task.version or not report.is_busy:
                break
        decisions.record(
            decisions.OrderEnded(
                upstream=name,
                model=task.model,
                version=task.version,
                has_version=has,
                took_s=clock.now_s() - began_s,
            )
        )
