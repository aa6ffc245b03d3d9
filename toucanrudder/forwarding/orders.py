"""Gives engines the orders to load new weights, under a lease."""

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
from toucanrudder.leases import decision
from toucanrudder.leases import holder
from toucanrudder.observability import decisions
from toucanrudder.store import interface

LOG = logging.getLogger(__name__)

LEASE_NAME = "weights"

#: Pause between two looks at what is left to do.
LOOK_S = 0.15

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
LEASE_WATCHERS = 3

_STORE_ERRORS = (
    interface.ConditionFailed,
    interface.StoreUnavailable,
    interface.OutcomeUnknown,
)


class RolloutController:
    """Brings all engines to the newest weights.

    Parameters
    ----------
    state : states.ForwardingState
        Tells which engines there are.
    dialect : loading.OrderDialect
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
        dialect: loading.OrderDialect,
        lease: holder.LeaseHolder,
        *,
        place_in_line: Callable[[], int],
        avoid: Callable[[str, float], Awaitable[None]],
    ):
        self._state = state
        self._lease = lease
        self._place_in_line = place_in_line
        self._loader = loading.Loader(
            state, dialect, lease, avoid=avoid, heard=self._heard
        )
        self.request_report = self._loader.request_report
        self._given: dict[str, rollout.PendingOrder] = {}
        self._undone_since_s: float | None = None
        self._held_before = False
        self._tasks: set[asyncio.Task] = set()
        self._doubted: set[str] = set()
        self._turn: turns.Turn | None = None
        self._answers = turns.EngineAnswers()
        self._given_up: set[tuple[str, str, int]] = set()
        self._given_up_s = float("-inf")
        self._noted_s: dict[str, float] = {}

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
            name: self._state.registry.for_service(name)
            for name, service in configuration.services.items()
            if service.engine is not None
        }

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self._state.stopping:
                await self._leave()
                continue
            now_s = clock.now_s()
            left = self._left()
            self._note_left(left, now_s)
            if not left or not self._is_my_turn(left, now_s):
                continue
            if await self._holds(now_s):
                await self._act(left, clock.now_s())
            else:
                self._turn = None

    async def _act(self, left: list[rollout.LoadTask], now_s: float) -> None:
        """Give orders, or end a turn in which this router gets no further.

        Failure: this router's list of engines is old, or its calls to them
        get no answer, while the store's do.  Symptom: it holds the lease
        and renews it for as long as it believes that work is left, and
        engines that all others reach keep their weights.  Others cannot
        see that; so it lets the next in line try.
        """
        registry = self._state.registry
        overdue_s = registry.overdue_s(now_s)
        if self._turn is None:
            has_new_list = overdue_s <= turns.OVERDUE_S
            self._turn = turns.Turn(self._state.pace, has_new_list)
        names = {task.upstream.incarnation for task in left}
        ending = self._turn.ending(names, self._answers, overdue_s, now_s)
        if ending is None or self._state.live_routers() <= 1:
            self._give(now_s)
        elif not self._loader.calls:
            await self._end_turn(ending, left, now_s)

    async def _end_turn(
        self,
        ending: turns.TurnEndReason,
        left: list[rollout.LoadTask],
        now_s: float,
    ) -> None:
        lease = self._lease.current_lease(now_s)
        decisions.record(
            decisions.TurnEnded(
                reason=ending.value,
                engines_left=len(left),
                list_age_s=self._state.registry.age_s(now_s),
                held_s=now_s - lease.acquired_s if lease else 0.0,
            )
        )
        self._given_up = {task.key for task in left}
        self._given_up_s = now_s
        await self._leave()

    async def _leave(self) -> None:
        """Let the next in line go on at once.

        Orders that engines have taken are carried out without us; only
        one that is being given must end first.
        """
        if self._held_before and not self._loader.calls:
            self._note_lease(None)
            self._turn = None
            await self._lease.release()

    def _left(self) -> list[rollout.LoadTask]:
        """Return the work that is left, as far as this router knows."""
        newest = self._newest()
        return [
            task
            for engines in self._engines().values()
            for task in rollout.outstanding_tasks(engines, newest)
        ]

    def _note_left(self, left: list[rollout.LoadTask], now_s: float) -> None:
        """Note since when work is left, and forget what is done."""
        names = {task.upstream.incarnation for task in left}
        self._answers.keep(names)
        for name in set(self._noted_s) - names:
            del self._noted_s[name]
        if not left:
            self._undone_since_s = None
            self._turn = None
            self._given_up.clear()
            self._given_up_s = float("-inf")
        elif self._undone_since_s is None:
            self._undone_since_s = now_s

    def _may_try_again(
        self, left: list[rollout.LoadTask], now_s: float
    ) -> bool:
        """Whether a turn may follow one that this router gave up.

        Not before another had time to begin one.  Over the same work alone
        not before the time within which engines must follow has passed:
        if others fail as well, the engines are down, and the lease is left
        to whoever knows of new work.
        """
        since_s = now_s - self._given_up_s
        if since_s >= self._state.pace.bound_s:
            return True
        has_new = any(task.key not in self._given_up for task in left)
        return has_new and since_s >= self._lease.timing.takeover_after_s

    def _is_my_turn(self, left: list[rollout.LoadTask], now_s: float) -> bool:
        if self._held_before:
            return True
        if not self._may_try_again(left, now_s):
            return False
        waited_s = now_s - self._undone_since_s
        return waited_s >= turns.start_delay_s(
            self._place_in_line(),
            IN_LINE_S,
            self._state.registry.overdue_s(now_s),
            self._lease.timing.takeover_after_s,
        )

    async def _holds(self, now_s: float) -> bool:
        lease = self._lease.current_lease(now_s)
        renew_below_s = RENEW_SHARE * self._lease.timing.validity_s
        if lease is None and self._lease.is_held_by_other(now_s):
            self._note_lease(None)
            return False
        if lease is None or lease.valid_until_s - now_s < renew_below_s:
            with contextlib.suppress(*_STORE_ERRORS):
                await self._lease.reconcile()
            lease = self._lease.current_lease(clock.now_s())
        self._note_lease(lease)
        if lease is None:
            # The store gave no answer, or another was faster.
            await asyncio.sleep(loading.ASK_S)
            return False
        return True

    def _note_lease(self, lease: decision.Lease | None) -> None:
        if (lease is not None) == self._held_before:
            return
        self._held_before = lease is not None
        decisions.record(
            decisions.LeaseChanged(
                held=lease is not None,
                fencing=lease.fencing if lease else 0,
                left_s=lease.valid_until_s - clock.now_s() if lease else 0.0,
            )
        )

    def _give(self, now_s: float) -> None:
        lease = self._lease.current_lease(now_s)
        if lease is None:
            return
        settle_s = SETTLE_S if lease.follows_release else 0.0
        if now_s - lease.acquired_s < settle_s:
            return
        newest = self._newest()
        stuck = self._answers.stuck(now_s)
        for engines in self._engines().values():
            busy = {
                each.incarnation: self._busy(each, now_s) for each in engines
            }
            self._forget_done(engines, newest)
            for task in rollout.plan_orders(
                self._orderable(engines, now_s),
                newest,
                self._given,
                busy,
                self._age_s,
                now_s,
                self._state.pace,
                stuck,
            ):
                name = task.upstream.incarnation
                given = rollout.PendingOrder(
                    task.version, now_s, name not in stuck
                )
                self._given[name] = given
                self._turn.asks(now_s)
                self._start(self._carried_out(task, given))

    def _orderable(self, engines, now_s: float) -> list[model.Upstream]:
        """Return the engines to which no other router gave an order lately.

        Failure: a holder orders an engine and falls silent, and the next
        one orders it while that order may still be carried out late.
        Symptom: two holders' orders at one engine within the lease's own
        time.  The engine has weights that are at most that old, so
        waiting costs nothing.
        """
        quiet_s = self._lease.timing.takeover_after_s
        return [
            each
            for each in engines
            if now_s
            - self._state.upstream_stats.of(each.incarnation).last_peer_order_s
            >= quiet_s
        ]

    def _age_s(self, task: rollout.LoadTask) -> float:
        return self._state.weights_age_s(task.upstream, task.model)

    def _heard(self) -> None:
        if self._turn is not None:
            self._turn.has_heard = True

    def _busy(self, upstream: model.Upstream, now_s: float) -> float:
        known = self._state.upstream_stats.of(upstream.incarnation)
        return known.requests + known.other_requests(now_s)

    def _forget_done(self, engines, newest) -> None:
        open_names = {
            task.upstream.incarnation
            for task in rollout.outstanding_tasks(engines, newest)
        }
        for each in engines:
            if each.incarnation not in open_names:
                self._given.pop(each.incarnation, None)

    def refresh_weights(self, upstream: model.Upstream) -> None:
        """Ask an engine for its weights: they are not what was believed."""
        if upstream.incarnation not in self._doubted:
            self._doubted.add(upstream.incarnation)
            self._start(self._refreshed(upstream))

    async def _refreshed(self, upstream: model.Upstream) -> None:
        try:
            report = await self._loader.request_report(upstream)
            for name, version in (report.weights if report else {}).items():
                self._state.registry.update_weights(
                    upstream.incarnation, name, version
                )
        finally:
            self._doubted.discard(upstream.incarnation)

    def _start(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carried_out(
        self, task: rollout.LoadTask, given: rollout.PendingOrder
    ) -> None:
        """Order one engine and watch until it has the weights."""
        name = task.upstream.incarnation
        try:
            report = await self._ready(task)
            if report is None or not self._takes_place(task, given):
                return
            await self._loader.load(task, report, given)
        except errors.RudderError as error:
            LOG.warning("order refused: %s", error, extra={"peer": name})
        finally:
            if self._given.get(name) is given:
                del self._given[name]

    def _takes_place(
        self, task: rollout.LoadTask, given: rollout.PendingOrder
    ) -> bool:
        """Count an engine that answers among those that load, if it may."""
        if not given.holds_slot:
            engines = [
                each
                for each in self._state.registry.for_service(
                    task.upstream.service
                )
                if not each.is_leaving
            ]
            age_s = self._age_s(task)
            given.holds_slot = (
                rollout.free_slots(
                    engines,
                    self._given,
                    age_s,
                    clock.now_s(),
                    self._state.pace,
                )
                > 0
            )
        return given.holds_slot

    def _note_answer(
        self, task: rollout.LoadTask, report: rollout.EngineReport | None
    ) -> None:
        """Say why an engine gets no order, if it gets none."""
        name, now_s = task.upstream.incarnation, clock.now_s()
        if report is None:
            self._answers.unanswered(name, now_s)
        elif report.is_busy:
            self._answers.busy(name, now_s)
        else:
            self._answers.answered(name)
            return
        if now_s - self._noted_s.get(name, float("-inf")) < NOTE_S:
            return
        self._noted_s[name] = now_s
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

    async def _ready(
        self, task: rollout.LoadTask
    ) -> rollout.EngineReport | None:
        """Return the report of an engine that can be ordered, or None."""
        report = await self._loader.request_report(task.upstream)
        self._note_answer(task, report)
        if report is None or report.is_busy:
            await asyncio.sleep(loading.ASK_S)
            return None
        has = report.weights.get(task.model, 0)
        self._state.registry.update_weights(
            task.upstream.incarnation, task.model, has
        )
        return report if has < task.version else None
