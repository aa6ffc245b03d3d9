"""Controller that orders engines to load new weights, under a lease."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.forwarding import loading
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import turns
from toucanrudder.forwarding import upstream_news
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.observability import decisions
from toucanrudder.store import interface

LOG = logging.getLogger(__name__)

LEASE_NAME = "weights"

#: Interval between two checks for outstanding loads.
POLL_INTERVAL_S = 0.15

#: Time for which loads are outstanding before the next router in line takes
#: over: the first one has died or cannot reach the store.
TAKEOVER_DELAY_S = 1.0

#: Fraction of the lease's validity below which it is renewed before the
#: next order.
RENEW_SHARE = 0.5

#: Time for which a holder gives no orders after its predecessor released
#: the lease: the last order may be in flight for as long as a call takes,
#: and engines that do not check fencing numbers would carry it out.
LATE_ORDER_MARGIN_S = 1.0

#: Least time between two log lines about an engine that cannot be ordered:
#: it is asked again about every half second while it is registered.
MISSED_LOG_INTERVAL_S = 1.0

#: Number of routers, the first in line, that watch the lease and so know for
#: how long a holder has been silent: as many as may fail together with it.
LEASE_WATCHERS = 3

_STORE_ERRORS = (
    interface.ConditionFailed,
    interface.StoreUnavailable,
    interface.OutcomeUnknown,
)


class RolloutController:
    """Task that brings all engines to the newest weights.

    Parameters
    ----------
    state : states.ForwardingState
        Holds the registry of engines and the newest weights.
    dialect : loading.OrderDialect
        Calls to engines.
    lease : holder.LeaseHolder
        Proves that no other router gives orders.
    takeover_rank : callable
        Returns the number of live routers that go before this one.
    avoid : callable
        Takes the incarnation of an engine that is about to load and the
        seconds for which it gets no work; returns when peers know.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        dialect: loading.OrderDialect,
        lease: holder.LeaseHolder,
        *,
        takeover_rank: Callable[[], int],
        avoid: Callable[[str, float], Awaitable[None]],
    ):
        self._state = state
        self._lease = lease
        self._takeover_rank = takeover_rank
        self._loader = loading.Loader(
            state, dialect, lease, avoid=avoid, on_answer=self._on_answer
        )
        self.request_report = self._loader.request_report
        self._pending: dict[str, rollout.PendingOrder] = {}
        self._outstanding_since_s: float | None = None
        self._held = False
        self._tasks: set[asyncio.Task] = set()
        self._refreshing: set[str] = set()
        self._turn: turns.Turn | None = None
        self._answers = turns.EngineAnswers()
        self._abandoned: set[tuple[str, str, int]] = set()
        self._abandoned_s = float("-inf")
        self._logged_s: dict[str, float] = {}

    def _newest(self) -> dict[str, int]:
        return {
            weights.model: weights.version
            for weights in self._state.newest_weights.values()
        }

    def _engines(self) -> dict[str, tuple[model.Upstream, ...]]:
        configuration = self._state.configuration
        if configuration is None:
            return {}
        return {
            name: self._state.registry.for_service(name)
            for name, service in configuration.services.items()
            if service.engine is not None
        }

    async def run(self) -> None:
        """Check for outstanding loads and order them until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._state.stopping:
                await self._release_lease()
                continue
            now_s = clock.now_s()
            outstanding = self._outstanding()
            self._update_outstanding(outstanding, now_s)
            if not outstanding or not self._is_my_turn(outstanding, now_s):
                continue
            if await self._ensure_lease(now_s):
                await self._continue_turn(outstanding, clock.now_s())
            else:
                self._turn = None

    async def _continue_turn(
        self, outstanding: list[rollout.LoadTask], now_s: float
    ) -> None:
        """Give orders, or end a turn that makes no progress.

        Guards against a holder whose list of engines is stale, or whose
        calls to engines get no answer while those to the store do.  It
        would renew the lease for as long as it believes that loads are
        outstanding, and engines that all other routers reach would keep
        their weights.  Others cannot detect this, so it lets the next
        router in line try.
        """
        registry = self._state.registry
        overdue_s = registry.overdue_s(now_s)
        if self._turn is None:
            has_fresh_list = overdue_s <= turns.MAX_OVERDUE_S
            self._turn = turns.Turn(self._state.pace, has_fresh_list)
        names = {task.upstream.incarnation for task in outstanding}
        end_reason = self._turn.end_reason(
            names, self._answers, overdue_s, now_s
        )
        if end_reason is None or self._state.live_routers() <= 1:
            self._give_orders(now_s)
        elif not self._loader.calls:
            await self._end_turn(end_reason, outstanding, now_s)

    async def _end_turn(
        self,
        end_reason: turns.TurnEndReason,
        outstanding: list[rollout.LoadTask],
        now_s: float,
    ) -> None:
        lease = self._lease.current_lease(now_s)
        decisions.record(
            decisions.TurnEnded(
                reason=end_reason.value,
                engines_left=len(outstanding),
                list_age_s=self._state.registry.age_s(now_s),
                held_s=now_s - lease.acquired_s if lease else 0.0,
            )
        )
        self._abandoned = {task.key for task in outstanding}
        self._abandoned_s = now_s
        await self._release_lease()

    async def _release_lease(self) -> None:
        """Release the lease, so that the next in line takes over at once.

        Orders that engines have accepted are carried out without their
        sender; only calls in flight must end first.
        """
        if self._held and not self._loader.calls:
            self._record_lease(None)
            self._turn = None
            await self._lease.release()

    def _outstanding(self) -> list[rollout.LoadTask]:
        """Return the outstanding loads, as far as this router knows."""
        newest = self._newest()
        return [
            task
            for engines in self._engines().values()
            for task in rollout.outstanding_tasks(engines, newest)
        ]

    def _update_outstanding(
        self, outstanding: list[rollout.LoadTask], now_s: float
    ) -> None:
        """Note since when loads are outstanding; drop completed engines."""
        names = {task.upstream.incarnation for task in outstanding}
        self._answers.retain(names)
        for name in set(self._logged_s) - names:
            del self._logged_s[name]
        if not outstanding:
            self._outstanding_since_s = None
            self._turn = None
            self._abandoned.clear()
            self._abandoned_s = float("-inf")
        elif self._outstanding_since_s is None:
            self._outstanding_since_s = now_s

    def _may_retry_turn(
        self, outstanding: list[rollout.LoadTask], now_s: float
    ) -> bool:
        """Whether a turn may follow one that this router ended.

        Not before another router had time to begin one.  With the same
        outstanding loads, not before the bound on the age of weights has
        passed: if other routers fail as well, the engines are down, and the
        lease is left to a router that knows of new loads.
        """
        since_s = now_s - self._abandoned_s
        if since_s >= self._state.pace.bound_s:
            return True
        has_new = any(task.key not in self._abandoned for task in outstanding)
        return has_new and since_s >= self._lease.timing.takeover_after_s

    def _is_my_turn(
        self, outstanding: list[rollout.LoadTask], now_s: float
    ) -> bool:
        if self._held:
            return True
        if not self._may_retry_turn(outstanding, now_s):
            return False
        waited_s = now_s - self._outstanding_since_s
        return waited_s >= turns.start_delay_s(
            self._takeover_rank(),
            TAKEOVER_DELAY_S,
            self._state.registry.overdue_s(now_s),
            self._lease.timing.takeover_after_s,
        )

    async def _ensure_lease(self, now_s: float) -> bool:
        lease = self._lease.current_lease(now_s)
        renew_below_s = RENEW_SHARE * self._lease.timing.validity_s
        if lease is None and self._lease.is_held_by_other(now_s):
            self._record_lease(None)
            return False
        if lease is None or lease.valid_until_s - now_s < renew_below_s:
            with contextlib.suppress(*_STORE_ERRORS):
                await self._lease.reconcile()
            lease = self._lease.current_lease(clock.now_s())
        self._record_lease(lease)
        if lease is None:
            # The store gave no answer, or another router was faster.
            await asyncio.sleep(loading.POLL_INTERVAL_S)
            return False
        return True

    def _record_lease(self, lease: decision.Lease | None) -> None:
        if (lease is not None) == self._held:
            return
        self._held = lease is not None
        decisions.record(
            decisions.LeaseChanged(
                held=lease is not None,
                fencing=lease.fencing if lease else 0,
                left_s=lease.valid_until_s - clock.now_s() if lease else 0.0,
            )
        )

    def _give_orders(self, now_s: float) -> None:
        lease = self._lease.current_lease(now_s)
        if lease is None:
            return
        margin_s = LATE_ORDER_MARGIN_S if lease.follows_release else 0.0
        if now_s - lease.acquired_s < margin_s:
            return
        newest = self._newest()
        stuck = self._answers.stuck(now_s)
        for engines in self._engines().values():
            requests = {
                engine.incarnation: self._request_count(engine, now_s)
                for engine in engines
            }
            self._forget_completed(engines, newest)
            for task in rollout.plan_orders(
                self._orderable(engines, now_s),
                newest,
                self._pending,
                requests,
                self._age_s,
                now_s,
                self._state.pace,
                stuck,
            ):
                name = task.upstream.incarnation
                order = rollout.PendingOrder(
                    task.version, now_s, name not in stuck
                )
                self._pending[name] = order
                self._turn.record_question(now_s)
                self._start_task(self._carry_out(task, order))

    def _orderable(self, engines, now_s: float) -> list[model.Upstream]:
        """Return the engines that got no order from a peer lately.

        If a holder stops right after an order, its successor might order
        the same engine while that order may still be carried out late: two
        holders' orders at one engine within the lease's own time.  The
        engine's weights are at most that old, so waiting costs nothing.
        """
        quiet_period_s = self._lease.timing.takeover_after_s
        return [
            engine
            for engine in engines
            if now_s
            - self._state.upstream_stats.of(
                engine.incarnation
            ).last_peer_order_s
            >= quiet_period_s
        ]

    def _age_s(self, task: rollout.LoadTask) -> float:
        return self._state.weights_age_s(task.upstream, task.model)

    def _on_answer(self) -> None:
        if self._turn is not None:
            self._turn.has_answer = True

    def _request_count(self, upstream: model.Upstream, now_s: float) -> float:
        state = self._state.upstream_stats.of(upstream.incarnation)
        return state.requests + state.other_requests(now_s)

    def _forget_completed(self, engines, newest) -> None:
        open_names = {
            task.upstream.incarnation
            for task in rollout.outstanding_tasks(engines, newest)
        }
        for engine in engines:
            if engine.incarnation not in open_names:
                self._pending.pop(engine.incarnation, None)

    def refresh_weights(self, upstream: model.Upstream) -> None:
        """Ask an engine for its weights after an unexpected version."""
        if upstream.incarnation not in self._refreshing:
            self._refreshing.add(upstream.incarnation)
            self._start_task(self._refresh(upstream))

    async def _refresh(self, upstream: model.Upstream) -> None:
        try:
            report = await self._loader.request_report(upstream)
            for name, version in (report.weights if report else {}).items():
                is_news = self._state.record_engine_weights(
                    upstream.incarnation, name, version
                )
                routers = self._state.live_routers()
                if is_news and upstream_news.is_told(routers):
                    # Each router would else ask for the weights itself.
                    self._state.tell_weights()
        finally:
            self._refreshing.discard(upstream.incarnation)

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(
        self, task: rollout.LoadTask, order: rollout.PendingOrder
    ) -> None:
        """Order one engine and wait until it has the weights."""
        name = task.upstream.incarnation
        try:
            report = await self._orderable_report(task)
            if report is None or not self._takes_slot(task, order):
                return
            await self._loader.load(task, report, order)
        except errors.RudderError as error:
            LOG.warning(
                "order to load weights failed: %s",
                error,
                extra={"peer": name},
            )
        finally:
            if self._pending.get(name) is order:
                del self._pending[name]

    def _takes_slot(
        self, task: rollout.LoadTask, order: rollout.PendingOrder
    ) -> bool:
        """Return whether the order holds a load slot; take a free one."""
        if not order.holds_slot:
            engines = [
                engine
                for engine in self._state.registry.for_service(
                    task.upstream.service
                )
                if not engine.is_leaving
            ]
            age_s = self._age_s(task)
            order.holds_slot = (
                rollout.free_slots(
                    engines,
                    self._pending,
                    age_s,
                    clock.now_s(),
                    self._state.pace,
                )
                > 0
            )
        return order.holds_slot

    def _record_response(
        self, task: rollout.LoadTask, report: rollout.EngineReport | None
    ) -> None:
        """Note an engine's response; log why it cannot be ordered."""
        name, now_s = task.upstream.incarnation, clock.now_s()
        if report is None:
            self._answers.record_no_report(name, now_s)
        elif report.is_busy:
            self._answers.record_busy(name, now_s)
        else:
            self._answers.record_orderable(name)
            return
        if (
            now_s - self._logged_s.get(name, float("-inf"))
            < MISSED_LOG_INTERVAL_S
        ):
            return
        self._logged_s[name] = now_s
        lease = self._lease.current_lease(now_s)
        decisions.record(
            decisions.OrderMissed(
                upstream=name,
                model=task.model,
                version=task.version,
                had_version=task.upstream.weights.get(task.model, 0),
                reason="busy" if report else "no_report",
                unanswered_s=self._answers.silent_s(name, now_s),
                list_age_s=self._state.registry.age_s(now_s),
                fencing=lease.fencing if lease else 0,
            )
        )

    async def _orderable_report(
        self, task: rollout.LoadTask
    ) -> rollout.EngineReport | None:
        """Return the report of an engine that can be ordered, or None."""
        report = await self._loader.request_report(task.upstream)
        self._record_response(task, report)
        if report is None or report.is_busy:
            await asyncio.sleep(loading.POLL_INTERVAL_S)
            return None
        version = report.weights.get(task.model, 0)
        self._state.record_engine_weights(
            task.upstream.incarnation, task.model, version
        )
        return report if version < task.version else None
