"""Gives engines the orders to load new weights, under a lease."""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import state as states
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics
from toucanrudder.store import interface

LOG = logging.getLogger(__name__)

STEP = "order"
LEASE = "weights"

#: Pause between two looks at what is left to do.
LOOK_S = 0.15

#: Pause between two questions to an engine that carries out an order.
ASK_S = 0.2

#: The same while the engine works off what it has: its reports are about a
#: tenth of a second old.
EMPTY_ASK_S = 0.15

#: A call to an engine; well below the margin of the lease, so that an
#: order sent just in time arrives in time.
CALL_S = 0.4

#: Work that stays undone for this long is taken up by the next router in
#: line: the first has died, or cannot reach the store.
IN_LINE_S = 1.0

#: Part of the time for which a lease is held below which it is renewed
#: before the next order.
RENEW_SHARE = 0.5

#: After a holder has given the lease up its last order may still be on
#: its way for as long as a call takes, and engines that do not check
#: fencing numbers would obey it.
SETTLE_S = 1.0

#: Time between two lines on an engine that cannot be ordered: a place is
#: tried anew about every half second, for as long as the engine is listed.
NOTE_S = 1.0

#: Routers, the first in line, that watch the lease, so that they know how
#: long a holder has been silent: as many as may go at once with it.
WATCHERS = 3

_STORE_ERRORS = (
    interface.ConditionFailed,
    interface.StoreUnavailable,
    interface.OutcomeUnknown,
)


class OrderDialect(abc.ABC):
    """Calls to an engine that are not requests of callers."""

    @abc.abstractmethod
    async def report(
        self, upstream: model.Upstream, *, timeout_s: float
    ) -> rollout.Report | None:
        """Return the engine's report; None if it gave none."""

    @abc.abstractmethod
    async def load(
        self,
        task: rollout.Task,
        report: rollout.Report,
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


@attrs.define
class Unanswered:
    """An engine that was to be ordered and gave no report."""

    since_s: float
    noted_s: float = float("-inf")


class RolloutController:
    """Brings all engines to the newest weights.

    Parameters
    ----------
    state : states.ForwardingState
        Tells which engines there are.
    dialect : OrderDialect
        Speaks with engines.
    lease : holder.LeaseHolder
        Proves that no other router gives orders.
    place_in_line : callable
        How many live routers go before this one.
    avoid : callable
        Told the engine that is about to load, and for how many seconds it
        takes no work; returns when peers know.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        dialect: OrderDialect,
        lease: holder.LeaseHolder,
        *,
        place_in_line: Callable[[], int],
        avoid: Callable[[str, float], Awaitable[None]],
    ):
        self._state = state
        self._dialect = dialect
        self._lease = lease
        self._place_in_line = place_in_line
        self._avoid = avoid
        self._given: dict[str, rollout.Given] = {}
        self._undone_since_s: float | None = None
        self._held_before = False
        self._calls = 0
        self._tasks: set[asyncio.Task] = set()
        self._doubted: set[str] = set()
        self._unanswered: dict[str, Unanswered] = {}

    def _newest(self) -> dict[str, int]:
        return {
            each.model: each.version
            for each in self._state.newest_weights.values()
        }

    def _engines(self) -> dict[str, tuple[model.Upstream, ...]]:
        configuration = self._state.configuration
        if configuration is None:
            return {}
        return {
            name: self._state.registry.of(name)
            for name, service in configuration.services.items()
            if service.engine is not None
        }

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            now_s = clock.now_s()
            if self._state.stopping:
                await self._leave()
                continue
            if not self._is_undone(now_s) or not self._is_my_turn(now_s):
                continue
            if await self._holds(now_s):
                self._give(clock.now_s())

    async def _leave(self) -> None:
        """Let the next in line go on at once when this router stops.

        Orders that engines have taken are carried out without us; only
        one that is being given must end first.
        """
        if self._held_before and not self._calls:
            self._held_before = False
            await self._lease.release()

    def _is_undone(self, now_s: float) -> bool:
        newest = self._newest()
        undone = any(
            rollout.missing(engines, newest)
            for engines in self._engines().values()
        )
        if not undone:
            self._undone_since_s = None
            self._given.clear()
            self._unanswered.clear()
        elif self._undone_since_s is None:
            self._undone_since_s = now_s
        return undone

    def _is_my_turn(self, now_s: float) -> bool:
        if self._held_before:
            return True
        waited_s = now_s - self._undone_since_s
        return waited_s >= IN_LINE_S * self._place_in_line()

    async def _holds(self, now_s: float) -> bool:
        lease = self._lease.held(now_s)
        renew_below_s = RENEW_SHARE * self._lease.terms.held_s
        if lease is None and self._lease.is_others(now_s):
            self._held_before = False
            return False
        if lease is None or lease.until_s - now_s < renew_below_s:
            with contextlib.suppress(*_STORE_ERRORS):
                await self._lease.look()
            lease = self._lease.held(clock.now_s())
            self._note_lease(lease)
        self._held_before = lease is not None
        if lease is None:
            # The store gave no answer, or another was faster.
            await asyncio.sleep(ASK_S)
            return False
        return True

    def _note_lease(self, lease: decision.Lease | None) -> None:
        if (lease is not None) == self._held_before:
            return
        decisions.record(
            decisions.LeaseChanged(
                held=lease is not None,
                fencing=lease.fencing if lease else 0,
                left_s=lease.until_s - clock.now_s() if lease else 0.0,
            )
        )

    def _give(self, now_s: float) -> None:
        lease = self._lease.held(now_s)
        if lease is None:
            return
        settle_s = SETTLE_S if lease.follows_release else 0.0
        if now_s - lease.acquired_s < settle_s:
            return
        newest = self._newest()
        for engines in self._engines().values():
            busy = {
                each.incarnation: self._busy(each, now_s) for each in engines
            }
            self._forget_done(engines, newest)
            for task in rollout.plan(
                self._orderable(engines, now_s),
                newest,
                self._given,
                busy,
                self._age_s,
                now_s,
                self._state.pace,
            ):
                self._given[task.upstream.incarnation] = rollout.Given(
                    task.version, now_s
                )
                self._start(self._carried_out(task))

    def _orderable(self, engines, now_s: float) -> list[model.Upstream]:
        """Return the engines to which no other router gave an order lately.

        Failure: a holder orders an engine and falls silent, and the next
        one orders it while that order may still be carried out late.
        Symptom: two holders' orders at one engine within the lease's own
        time.  The engine has weights that are at most that old, so
        waiting costs nothing.
        """
        quiet_s = self._lease.terms.lapse_s
        return [
            each
            for each in engines
            if now_s - self._state.states.of(each.incarnation).peer_ordered_s
            >= quiet_s
        ]

    def _age_s(self, task: rollout.Task) -> float:
        named = self._state.newest_weights[task.model]
        version = task.upstream.weights.get(task.model, 0)
        return named.age_s(version, clock.now_s())

    def _busy(self, upstream: model.Upstream, now_s: float) -> float:
        known = self._state.states.of(upstream.incarnation)
        return known.requests + known.others(now_s)

    def _forget_done(self, engines, newest) -> None:
        open_names = {
            task.upstream.incarnation
            for task in rollout.missing(engines, newest)
        }
        for each in engines:
            if each.incarnation not in open_names:
                self._given.pop(each.incarnation, None)
                self._unanswered.pop(each.incarnation, None)

    def doubt(self, upstream: model.Upstream) -> None:
        """Ask an engine for its weights: they are not what was believed."""
        if upstream.incarnation not in self._doubted:
            self._doubted.add(upstream.incarnation)
            self._start(self._refreshed(upstream))

    async def _refreshed(self, upstream: model.Upstream) -> None:
        try:
            report = await self.asked(upstream)
            for name, version in (report.weights if report else {}).items():
                self._state.registry.has_weights(
                    upstream.incarnation, name, version
                )
        finally:
            self._doubted.discard(upstream.incarnation)

    def _start(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carried_out(self, task: rollout.Task) -> None:
        """Order one engine and watch until it has the weights."""
        name = task.upstream.incarnation
        try:
            if not await self._ordered(task):
                return
            await self._watched(task)
        except errors.RudderError as error:
            LOG.warning("order refused: %s", error, extra={"peer": name})
        finally:
            self._given.pop(name, None)
            await self._avoid(name, 0.0)

    async def _watched(self, task: rollout.Task) -> None:
        """Wait until the engine has the weights, or has given up."""
        name = task.upstream.incarnation
        began_s = clock.now_s()
        has = 0
        while clock.now_s() < began_s + rollout.PATIENCE_S:
            await asyncio.sleep(ASK_S)
            report = await self.asked(task.upstream)
            if report is None:
                continue
            has = report.weights.get(task.model, 0)
            self._state.registry.has_weights(name, task.model, has)
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

    async def asked(self, upstream: model.Upstream) -> rollout.Report | None:
        """Return an engine's report; None if it gives none."""
        report = await self._dialect.report(upstream, timeout_s=CALL_S)
        if report is None or not upstream.says(report.born_ms):
            return None
        return report

    def _note_answer(
        self, task: rollout.Task, report: rollout.Report | None
    ) -> None:
        """Say why an engine gets no order, if it gets none."""
        name, now_s = task.upstream.incarnation, clock.now_s()
        if report is not None and not report.is_busy:
            self._unanswered.pop(name, None)
            return
        silence = self._unanswered.setdefault(name, Unanswered(now_s))
        if now_s - silence.noted_s < NOTE_S:
            return
        silence.noted_s = now_s
        lease = self._lease.held(now_s)
        decisions.record(
            decisions.OrderMissed(
                upstream=name,
                model=task.model,
                version=task.version,
                had_version=task.upstream.weights.get(task.model, 0),
                reason="busy" if report else "no_report",
                unanswered_s=now_s - silence.since_s,
                list_age_s=self._state.registry.age_s(now_s),
                fencing=lease.fencing if lease else 0,
            )
        )

    async def _emptied(
        self, task: rollout.Task, report: rollout.Report
    ) -> rollout.Report | None:
        """Wait while the engine, which gets no new work, has much of it.

        Returns
        -------
        rollout.Report or None
            The engine's newest report; None if it gives none any more.
        """
        began_s = clock.now_s()
        while rollout.waits_for_runs(
            report,
            clock.now_s() - began_s,
            self._age_s(task),
            self._state.pace,
        ):
            await asyncio.sleep(EMPTY_ASK_S)
            report = await self.asked(task.upstream)
            if report is None or report.is_busy:
                return None
        return report

    async def _ordered(self, task: rollout.Task) -> bool:
        name = task.upstream.incarnation
        report = await self.asked(task.upstream)
        self._note_answer(task, report)
        if report is None or report.is_busy:
            await asyncio.sleep(ASK_S)
            return False
        has = report.weights.get(task.model, 0)
        self._state.registry.has_weights(name, task.model, has)
        if has >= task.version:
            return False
        await self._avoid(name, rollout.PATIENCE_S)
        report = await self._emptied(task, report)
        if report is None or self._state.stopping:
            return False
        mode = rollout.mode(report)
        # Versions named while the engine was emptied are skipped.
        task = attrs.evolve(task, version=self._newest()[task.model])
        lease = self._lease.check(clock.now_s())
        self._calls += 1
        try:
            taken = await self._dialect.load(
                task,
                report,
                mode=mode,
                holder=self._lease.me,
                fencing=lease.fencing,
                timeout_s=CALL_S,
            )
        finally:
            self._calls -= 1
        metrics.counter("toucanrudder_orders", "Orders to engines").add(
            1, {"taken": str(taken).lower()}
        )
        decisions.record(
            decisions.OrderGiven(
                upstream=name,
                model=task.model,
                version=task.version,
                had_version=has,
                fencing=lease.fencing,
                lease_left_s=lease.until_s - clock.now_s(),
                expected_orders=report.orders,
                running=report.running,
                reading=report.reading,
                memory_share=report.memory_share,
                mode=mode.value,
                taken=taken,
            )
        )
        return True
