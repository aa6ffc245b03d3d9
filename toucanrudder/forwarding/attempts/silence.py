"""Judgement of answers that make no progress."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from toucanrudder import clock
from toucanrudder import stalls
from toucanrudder.forwarding import model
from toucanrudder.forwarding import upstream_states
from toucanrudder.forwarding.attempts import relaying
from toucanrudder.forwarding.attempts import retry_policy
from toucanrudder.http1 import client

if TYPE_CHECKING:
    from toucanrudder.forwarding.attempts import attempt as attempts

Part = TypeVar("Part")

#: Least seconds of silence before an answer is judged.
MIN_SILENCE_S = 0.15

#: Timeout until the first part of an answer, as a multiple of the route's
#: latency objective, after which a repeatable request may be sent to another
#: upstream as well.
FIRST_PART_TIMEOUT_OBJECTIVES = 3.0

#: Seconds for which an engine must report that a run has ended, or has sent
#: events that have not arrived.  Its reports overtake events, by two TCP
#: retransmissions at least, and are some tenths of a second old.
CONFIRMATION_S = 0.7

_LOST = (
    retry_policy.SilenceFinding.NOT_LISTED,
    retry_policy.SilenceFinding.EVENTS_MISSING,
)


def first_part_timeout_s(route: model.Route) -> float:
    """Return the time after which an answer without a part is judged."""
    return max(
        FIRST_PART_TIMEOUT_OBJECTIVES * route.objective_s, MIN_SILENCE_S
    )


@attrs.define(eq=False)
class SilenceJudge:
    """Judges the answer of one attempt while it makes no progress.

    A run that waits for memory, was preempted by a more urgent one, or whose
    engine stands still makes no progress either, and its answer may be on its
    way.  So it is waited for, and another attempt may be made beside it.

    Parameters
    ----------
    attempt : attempts.Attempt
        The attempt.

    Attributes
    ----------
    lost_since_s : float or None
        Since when the engine has reported that events are lost.
    """

    attempt: "attempts.Attempt"
    lost_since_s: float | None = None
    _progress_at_s: float = 0.0
    _progress_running_s: float = 0.0

    @property
    def _upstream(self) -> upstream_states.UpstreamState:
        attempt = self.attempt
        return attempt.state.upstream_stats.of(attempt.target)

    @property
    def _evidence(self) -> retry_policy.Evidence:
        return self.attempt.evidence

    def record_sent(self) -> None:
        """Record that the request was sent."""
        self.record_progress()
        self._upstream.record_sent(self._progress_at_s)

    def record_progress(self) -> None:
        """Record that something of use to the caller arrived."""
        self._progress_at_s = clock.now_s()
        self._progress_running_s = stalls.running_s()
        self.attempt.is_silent, self.lost_since_s = False, None
        self._evidence.silence = retry_policy.SilenceFinding.NONE

    def record_end(self) -> None:
        """Record for how long nothing had arrived at the attempt's end."""
        if not self._progress_at_s:
            return
        silent_s = clock.now_s() - self._progress_at_s
        running_s = stalls.running_s() - self._progress_running_s
        self._evidence.silent_s = silent_s
        self._evidence.stalled_s = max(0.0, silent_s - running_s)

    async def wait_for(
        self,
        read: Callable[[], Awaitable[Part]],
        connection: client.UpstreamConnection,
        timeout_s: float | None,
    ) -> Part:
        """Return a part of the answer that is of use to the caller.

        Bytes that are not such a part yet are no progress: they may come
        without end.

        Parameters
        ----------
        read : callable
            Reads the part; it goes on where it was cancelled.
        connection : client.UpstreamConnection
            Connection of the attempt.
        timeout_s : float or None
            Time after which the answer is judged; None for no limit.

        Raises
        ------
        relaying.AttemptFailed
            Events are lost, and another engine may continue the run.
        """
        if timeout_s is not None:
            timeout_s = max(timeout_s, MIN_SILENCE_S)
        wait_s = timeout_s
        while True:
            try:
                async with stalls.timeout(wait_s):
                    part = await read()
                self.record_progress()
                self._upstream.record_progress(self._progress_at_s)
                return part
            except TimeoutError:
                wait_s = await self._judge(connection, timeout_s)

    async def _judge(self, connection, timeout_s: float) -> float:
        """Return how much longer to wait.

        An overloaded engine may send no report although its runs continue.
        An engine that is gone is detected by its connection, which the
        kernel closes when the path is silent.  So if there is no report,
        the engine is asked again later.
        """
        attempt = self.attempt
        if attempt.route.repetition is not model.Repetition.ONCE:
            self._report(retry_policy.SilenceFinding.NOT_ASKED)
            return timeout_s
        if not attempt.execution.can_continue_from_copy():
            # No retry is possible, and the answer may still arrive.
            return timeout_s
        finding = self._evidence.silence = await self._ask_engine()
        # The report may count events that arrived since it was requested.
        if finding not in _LOST or connection.has_pending_event:
            self.lost_since_s = None
            return timeout_s
        now_s = stalls.running_s()
        if self.lost_since_s is None:
            self.lost_since_s = now_s
        unconfirmed_s = self.lost_since_s + CONFIRMATION_S - now_s
        if unconfirmed_s > 0:
            return unconfirmed_s
        if finding is retry_policy.SilenceFinding.NOT_LISTED:
            self._report(finding)
        elif attempt.execution.reserve_retry():
            # The run goes on, so it must end before its copy is continued.
            raise relaying.AttemptFailed(retry_policy.FailureKind.SILENT)
        return timeout_s

    def _report(self, finding: retry_policy.SilenceFinding) -> None:
        attempt = self.attempt
        self._evidence.silence = finding
        if not attempt.is_silent:
            attempt.state.upstream_stats.record_failure(
                attempt.target, clock.now_s()
            )
        attempt.is_silent = True
        attempt.execution.race.report_silence(attempt)

    async def _ask_engine(self) -> retry_policy.SilenceFinding:
        attempt = self.attempt
        report = await attempt.state.fetch_engine_report(
            attempt.choice.upstream
        )
        if report is None:
            return retry_policy.SilenceFinding.NO_REPORT
        request_id = attempt.execution.call.request_id
        received = attempt.execution.progress.events
        if not report.has_lost_events(request_id, received):
            return retry_policy.SilenceFinding.NONE
        if request_id in report.events:
            return retry_policy.SilenceFinding.EVENTS_MISSING
        return retry_policy.SilenceFinding.NOT_LISTED
