"""What one attempt of a request teaches about costs."""

from collections.abc import Hashable
from collections.abc import Iterator
import contextlib
from typing import TYPE_CHECKING

import attrs

from toucanrudder import clock
from toucanrudder.costs import forecast
from toucanrudder.costs import request_costs
from toucanrudder.forwarding import placing

if TYPE_CHECKING:
    from toucanrudder.forwarding import execution as executions


def keys(execution: "executions.RequestExecution") -> tuple[Hashable, ...]:
    """Return the groups of a request, for forecasts of its work."""
    organisation = execution.route_match.organisation
    return forecast.keys(
        execution.service,
        execution.route.name,
        organisation.name if organisation else "",
    )


@attrs.define(eq=False)
class AttemptCosts:
    """Learns from one attempt, if its service is uneven.

    Times end where the upstream's part ends: at the first event, or when a
    whole plain answer is there.  How fast the caller reads does not count.

    Parameters
    ----------
    execution : executions.RequestExecution
        The request.
    choice : placing.Choice
        Where it goes.
    """

    execution: "executions.RequestExecution"
    choice: placing.Choice
    _running: request_costs.Running | None = None
    _is_sent: bool = False
    _is_judged: bool = False

    @property
    def _costs(self) -> request_costs.RequestCosts:
        return self.execution.state.costs

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """Count the request as work there while the context is open."""
        if not self._costs.is_uneven(self.execution.service):
            yield
            return
        is_prompt = self.execution.call.prompt is not None
        self._running = self._costs.begin(
            keys(self.execution),
            self.choice.upstream.incarnation,
            self.choice.missing_tokens if is_prompt else None,
            clock.now_s(),
        )
        try:
            yield
        except BaseException:
            # Also a timeout, or a caller that left: it ran at least so long.
            if self._is_sent and not self._is_judged:
                self._costs.record_cut(
                    self._running,
                    self.execution.progress.events,
                    clock.now_s(),
                )
            raise
        finally:
            self._costs.end(self._running)

    def record_sent(self) -> None:
        """Record that the request was sent just now."""
        self._is_sent = True
        if self._running is not None:
            self._costs.record_sent(self._running, clock.now_s())

    def record_first_event(self) -> None:
        """Record the first event of a stream; later ones change nothing."""
        if self._running is not None:
            self._costs.record_first_event(
                self._running,
                clock.now_s(),
                is_copied=bool(self.choice.copied_tokens),
            )

    def record_stream_end(self) -> None:
        """Record a complete stream, unless others have begun it."""
        self._is_judged = True
        progress = self.execution.progress
        is_whole = self.execution.attempt_count == 1 and (
            self.execution.call.resume_after is None
        )
        if self._running is not None and is_whole and progress.events:
            self._costs.record_events(self._running, progress.events)

    def record_answer(self, status: int) -> None:
        """Record a complete answer that is no stream."""
        self._is_judged = True
        is_plain = self.execution.call.prompt is None
        if self._running is not None and is_plain and status < 300:
            self._costs.record_answer(self._running, clock.now_s())
