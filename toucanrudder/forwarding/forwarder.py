"""Handling of callers' requests, including refusals and errors."""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
import contextlib

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder import stops
from toucanrudder.forwarding import capping
from toucanrudder.forwarding import dialect as dialects
from toucanrudder.forwarding import execution as executions
from toucanrudder.forwarding import late_requests
from toucanrudder.forwarding import model
from toucanrudder.forwarding import routing
from toucanrudder.forwarding import state as states
from toucanrudder.forwarding import waiting
from toucanrudder.http1 import message
from toucanrudder.http1 import server
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics


class Forwarder:
    """Handles callers' requests.

    Parameters
    ----------
    state : states.ForwardingState
        This router's state.
    dialect : dialects.Dialect
        Reads and writes heads and events.
    gate : capping.CapGate
        Enforces usage caps.
    """

    def __init__(
        self,
        state: states.ForwardingState,
        dialect: dialects.Dialect,
        gate: capping.CapGate,
    ):
        self.state = state
        self.dialect = dialect
        self.gate = gate

    def group(self, head: message.RequestHead) -> Hashable:
        """Return the organisation and the route of a request.

        Requests that will be refused have none.
        """
        with contextlib.suppress(errors.RudderError):
            match = self.state.table().match(self.dialect.read_call(head))
            organisation = match.organisation
            return organisation and organisation.name, match.route.name
        return None

    async def handle(
        self, request: server.Request, answer: server.Answer
    ) -> None:
        """Answer one request, with an error if it fails."""
        summary = _RequestSummary()
        self.state.open_requests += 1
        try:
            async with self.state.stop_limits.limited(
                lambda: stops.cut_off_error(summary.possible_runs())
            ):
                await self._handle(request, answer, summary)
        except errors.RudderError as error:
            after_s = clock.now_s() - request.began_s
            await self._refuse(answer, error, summary, after_s)
        except (asyncio.CancelledError, server.CallerGone):
            after_s = clock.now_s() - request.began_s
            decisions.record(
                decisions.CallerLeft(
                    request_id=summary.request_id,
                    route=summary.route,
                    after_s=after_s,
                    attempts=summary.attempt_count(),
                    cause=answer.end_cause.value,
                )
            )
            executions.record_duration(summary.kind, "left", after_s)
            raise
        finally:
            self.state.open_requests -= 1

    async def _handle(
        self, request, answer, summary: "_RequestSummary"
    ) -> None:
        call = self.dialect.read_call(request.head)
        summary.request_id = call.request_id
        table = self.state.table()
        summary.generation = table.configuration.generation
        route_match = table.match(call)
        route = route_match.route
        summary.route, summary.kind = route.name, route.repetition.value
        self._refuse_if_cut_by_stop(route, call)
        if call.prompt is not None:
            await self.state.wait_for_first_news()
        execution = executions.RequestExecution(
            self.state, self.dialect, request, answer, route_match
        )
        with execution.screened():
            await self._execute(execution, summary)
        execution.record_answered()

    async def _execute(
        self,
        execution: executions.RequestExecution,
        summary: "_RequestSummary",
    ) -> None:
        route_match = execution.route_match
        route, call = route_match.route, route_match.call
        execution.origin = await self.state.streams.find(route_match)
        execution.service = (
            execution.origin.service
            if execution.origin
            else routing.pick_service(route, self.state.rng)
        )
        summary.attempt_count = lambda: execution.attempt_count
        summary.possible_runs = execution.possible_runs
        admitted = self.gate.admitted(
            route_match.organisation,
            call.prompt,
            execution.possible_runs,
            wait_s=waiting.max_wait_s(
                route, executions.time_limit_s(route, call)
            ),
        )
        async with admitted:
            await execution.run()

    def _refuse_if_cut_by_stop(
        self, route: model.Route, call: model.Call
    ) -> None:
        """Refuse a request that may be cut at the end of a planned stop.

        A caller that keeps its connection open is served as long as the
        answer is complete by then.  Later it is told at once to use another
        router, instead of losing a request in progress.
        """
        if not self.state.stopping:
            return
        now_s = clock.now_s()
        if not late_requests.finishes_before_stop(
            route,
            call.wait_s,
            stopping_for_s=now_s - self.state.stopping_since_s,
            remaining_s=self.state.stop_at_s - now_s,
        ):
            raise stops.stopping_error()

    async def _refuse(
        self,
        answer: server.Answer,
        error: errors.RudderError,
        summary: "_RequestSummary",
        after_s: float,
    ) -> None:
        metrics.count_refusal(error.code.value, error.step)
        executions.record_duration(summary.kind, "refused", after_s)
        decisions.record(
            decisions.Refused(
                request_id=summary.request_id,
                route=summary.route,
                code=error.code.value,
                status=0 if answer.started else error.status,
                ran=error.ran.value,
                retry_after_s=error.retry_after_s,
                after_s=after_s,
                peer=error.peer,
                detail=error.message,
                generation=summary.generation,
            )
        )
        if answer.started:
            answer.abort()
            return
        headers, body = self.dialect.error_answer(error, summary.request_id)
        await answer.send_whole(error.status, headers, body)


@attrs.define
class _RequestSummary:
    """Properties of a request for its log line and metrics."""

    request_id: str = ""
    route: str = ""
    kind: str = "unknown"
    generation: int = 0
    attempt_count: Callable[[], int] = lambda: 0
    possible_runs: Callable[[], int] = lambda: 0
