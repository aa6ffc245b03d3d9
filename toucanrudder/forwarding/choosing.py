"""Choice of the upstream, or the peer, for the attempts of a request."""

import math
from typing import TYPE_CHECKING

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.admission import rests
from toucanrudder.forwarding import cache_feed
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.forwarding import plain_choice
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import waiting
from toucanrudder.forwarding.attempts import cost_learning
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.forwarding.attempts import silence
from toucanrudder.forwarding.handover import peers
from toucanrudder.forwarding.statements import rate_limits
from toucanrudder.forwarding.streams import resuming
from toucanrudder.membership import routers

if TYPE_CHECKING:
    from toucanrudder.forwarding import execution as executions

#: Default ``Retry-After`` of a refusal: a slot of a plain service becomes
#: free within about its mean service time.
RETRY_AFTER_S = 0.25

#: The delay while the weights of all engines are too old: the first engine
#: that is loading has new ones after about half a second.
STALE_WEIGHTS_RETRY_AFTER_S = 0.5


@attrs.define(eq=False)
class UpstreamChooser:
    """Chooses where the attempts of one request are made.

    Parameters
    ----------
    execution : executions.RequestExecution
        The request with its earlier attempts.
    """

    execution: "executions.RequestExecution"

    @property
    def state(self) -> states.ForwardingState:
        """The shared state of this router."""
        return self.execution.state

    @property
    def route(self) -> model.Route:
        """The request's route."""
        return self.execution.route

    @property
    def service(self) -> str:
        """The service that the request goes to."""
        return self.execution.service

    @property
    def call(self) -> model.Call:
        """The request's head in the terms of the router."""
        return self.execution.call

    def candidates(self, now_s: float):
        """Return the upstreams that may get the request, and usable ones."""
        return self.state.usable_candidates(
            self.service,
            self.call.prompt,
            now_s,
            self.execution.origin,
        )

    async def next_target(self) -> placing.Choice | routers.Member:
        """Return the upstream, or the peer, for the next attempt."""
        peer = peers.for_contact_or_room(self.execution)
        if peer is not None:
            return peer
        try:
            return await self.choose_with_wait()
        except waiting.Crowded as crowded:
            peer = peers.with_shorter_line(self.execution)
            if peer is None:
                raise crowded.error from None
            return peer

    async def choose_with_wait(self) -> placing.Choice:
        """Choose an upstream; wait while others do, or while all are full.

        Callers that were refused immediately would all retry at once.
        """
        room = self.state.waiting
        if not room.is_waiting(self.service):
            try:
                return self.choose()
            except errors.RudderError as error:
                if not waiting.is_full(error):
                    raise
        waiter = waiting.waiter_for(self)
        if self._is_full_until(waiter.deadline_s):
            raise self.no_upstream_error()
        choice = await room.choice(self.service, waiter)
        self.execution.refuse_if_quarantined()
        return choice

    def _wait_s(self, now_s: float) -> float:
        """Return the time until some upstream may be sent a request."""
        return min(
            (
                self.state.gate.permission(upstream, now_s).wait_s
                for upstream in self.state.registry.for_service(self.service)
            ),
            default=0.0,
        )

    def _is_full_until(self, until_s: float) -> bool:
        """Whether no upstream may be sent a request before."""
        now_s = clock.now_s()
        wait_s = self._wait_s(now_s)
        return wait_s > 0 and now_s + wait_s >= until_s

    def choose(self, *, beside: bool = False) -> placing.Choice:
        """Choose an upstream.

        Parameters
        ----------
        beside : bool
            Whether an earlier attempt goes on.
        """
        now_s = clock.now_s()
        candidates, usable = self.candidates(now_s)
        if self._begins_resumable_stream():
            usable = placing.lasting_candidates(
                usable, self.state.streams.is_new
            )
        untried = [
            candidate
            for candidate in usable
            if candidate.upstream.incarnation
            not in self.execution.tried_incarnations
        ]
        if beside:
            usable = untried
            if self.route.repetition is model.Repetition.RESUMABLE:
                usable = self._of_same_software(untried)
            usable = placing.answering_candidates(
                usable, now_s, silence.first_part_timeout_s(self.route)
            )
        elif self.call.prompt is None and self.state.waiting.is_crowded(
            self.service
        ):
            usable = self.state.waiting.with_places(untried or usable, now_s)
        else:
            usable = untried or usable
        if not usable:
            raise self.no_upstream_error()
        if self.call.prompt is not None:
            store = self.state.store_for(
                self.call.prompt, self.execution.cache_scope(), now_s
            )
            costs = self.state.costs
            choice = placing.choose_for_prompt(
                self.call.prompt,
                self.execution.cache_scope(),
                usable,
                self.state.cache,
                store=store,
                speed=self.state.speeds_for(self.service, store),
                engines_report_cache=cache_feed.polls_engines(
                    self.state.live_routers()
                ),
                now_s=now_s,
                times=costs.times(self.service)
                if costs.is_uneven(self.service)
                else None,
                rng=self.state.rng,
                router_count=self.state.live_routers(),
            )
            self.execution.copy_upstream = self._choose_copy_upstream(
                choice, candidates, now_s
            )
            return choice
        return plain_choice.choose_for_plain(
            self.state.zone,
            usable,
            now_s=now_s,
            rng=self.state.rng,
            work_s=self._plain_work_s(),
            router_count=self.state.live_routers(),
        )

    def _plain_work_s(self) -> float | None:
        """Return the likely work of a plain request, if it is to count."""
        costs = self.state.costs
        if not costs.is_uneven(self.service):
            return None
        return costs.plain_forecast(cost_learning.keys(self.execution)).mean

    def _of_same_software(
        self, candidates: list[placing.Candidate]
    ) -> list[placing.Candidate]:
        """Return the candidates with the software of the running attempts.

        Any of them may begin the stream, and callers that return to another
        router are sent to the software of the last one.
        """
        versions = {
            attempt.software_version for attempt in self.execution.race.running
        }
        return [
            candidate
            for candidate in candidates
            if versions <= {candidate.upstream.software_version}
        ]

    def _begins_resumable_stream(self) -> bool:
        is_resumable = self.route.repetition is model.Repetition.RESUMABLE
        return is_resumable and self.execution.origin is None

    def _choose_copy_upstream(
        self, choice, candidates, now_s: float
    ) -> model.Upstream | None:
        service = self.state.configuration.services.get(self.service)
        engine = service.engine if service else None
        if engine is None or not engine.takes_copies:
            return None
        is_run_once = self.route.repetition is model.Repetition.ONCE
        if not self.route.is_stream or not is_run_once:
            # Resumable requests can safely be run again elsewhere.
            return None
        unlimited = [
            candidate
            for candidate in candidates
            if not self.state.gate.has_limit(candidate.upstream, now_s)
            and self.state.gate.permission(candidate.upstream, now_s).is_given
        ]
        return placing.choose_backup(
            choice, self.call.prompt, engine, unlimited, now_s
        )

    def retry_after_s(
        self, now_s: float, expected_s: float | None = None
    ) -> float:
        """Return after how many seconds a refused caller may return.

        `expected_s` is when room is expected for it, if it waited.
        """
        if rates_per_s := self._stated_rates(now_s):
            return rate_limits.retry_after_s(
                rates_per_s, self.state.live_routers(), self.state.rng
            )
        wait_s = self._wait_s(now_s)
        if wait_s <= RETRY_AFTER_S or math.isinf(wait_s):
            if expected_s is None:
                if not self.state.waiting.is_waiting(self.service):
                    return RETRY_AFTER_S
                expected_s = self.state.waiting.expected_wait_s(
                    self.service, self.execution.route_match
                )
            return waiting.retry_after_s(
                expected_s, self.execution.remaining_s(), self.state.rng
            )
        return round(rests.retry_after_s(wait_s, self.state.rng), 3)

    def _stated_rates(self, now_s: float) -> list[float]:
        """Return the stated rates if all upstreams that stay state one."""
        rates_per_s = [
            self.state.limits.rate_per_s(upstream.incarnation, now_s)
            for upstream in self.state.registry.for_service(self.service)
            if not upstream.is_leaving
        ]
        return [] if None in rates_per_s else rates_per_s

    def no_upstream_error(self) -> errors.RudderError:
        """Return the error of a request that no upstream can accept now."""
        if self.execution.progress.possible_runs:
            return retry_policy.final_error(
                retry_policy.FailureKind.BROKEN,
                self.execution.progress,
                self.service,
                0.0,
            )
        now_s = clock.now_s()
        candidates, _ = self.candidates(now_s)
        if self.execution.origin is not None and all(
            candidate.upstream.is_leaving for candidate in candidates
        ):
            return resuming.gone_error(self.execution.origin)
        code, retry_after_s = errors.Code.QUEUE_FULL, RETRY_AFTER_S
        bound_s = self.state.pace.bound_s
        if not candidates:
            code = errors.Code.NO_UPSTREAM
        elif all(
            placing.time_to_cutoff_s(candidate, bound_s, now_s) <= 0
            for candidate in candidates
        ):
            code = errors.Code.WEIGHTS_TOO_OLD
            retry_after_s = STALE_WEIGHTS_RETRY_AFTER_S
        else:
            retry_after_s = self.retry_after_s(now_s)
        obstacles = self.state.gate.obstacles(
            (candidate.upstream for candidate in candidates), now_s
        )
        return errors.RudderError(
            code,
            "no upstream can accept the request now"
            + (f": {obstacles}" if obstacles else ""),
            step=retry_policy.STEP,
            peer=self.service,
            retry_after_s=retry_after_s,
        )
