"""Proof that an engine has ended a run whose answer broke off.

A broken connection proves nothing: the engine may work on.  A run that may
exist only once is continued from its copy when its engine is known to have
ended it, or cannot be reached from here.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import enum

import attrs

from toucanrudder import clock
from toucanrudder.forwarding import model
from toucanrudder.forwarding import rollout

#: Timeout of a request for a report.
REPORT_TIMEOUT_S = 0.4

#: Least time between two requests of this router for one engine's report.
REPORT_INTERVAL_S = 0.1

#: Age up to which the values of a report may be older than its request.
MAX_REPORT_AGE_S = 0.5

#: Time without any contact after which an engine counts as out of reach: two
#: connection attempts, as one may fail by the loss of a packet.
OUT_OF_REACH_AFTER_S = 0.6

#: Shortest pause of a stream after which callers may leave, in seconds and as
#: multiples of the latency objective and of the longest allowed gap.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0

#: Least time for which the end of a run is waited for: its caller has not
#: left, however long the stream has been silent.
MIN_WAIT_S = 1.0


def max_wait_s(route: model.Route, silent_s: float) -> float:
    """Return for how long the end of a run is waited for.

    Parameters
    ----------
    route : model.Route
        The request's route.
    silent_s : float
        Time since the last event.

    Examples
    --------
    >>> route = model.Route(
    ...     "r", "h", "/", (), objective_s=0.8, event_gap_s=0.4
    ... )
    >>> max_wait_s(route, 0.2), max_wait_s(route, 3.0)
    (3.0, 1.0)
    """
    patience_s = max(
        MIN_PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_s,
        PATIENCE_GAPS * route.event_gap_s,
    )
    return max(MIN_WAIT_S, patience_s - silent_s)


class RunState(enum.Enum):
    """What is known of a run whose answer broke off."""

    ENDED = "ended"
    #: Its engine lists it, or may have put it back into its queue.
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    NOT_REACHED = "not_reached"


_STATE_BY_CONTACT = {
    rollout.Contact.REFUSED: RunState.ENDED,
    rollout.Contact.REPLACED: RunState.ENDED,
    rollout.Contact.NOT_REACHED: RunState.NOT_REACHED,
    rollout.Contact.NO_ANSWER: RunState.UNKNOWN,
}


def run_state(
    reply: rollout.ReportReply,
    upstream: model.Upstream,
    request_id: str,
    first_event_at_s: float,
) -> RunState:
    """Return what a reply says of a run.

    Parameters
    ----------
    reply : rollout.ReportReply
        Outcome of a request for the engine's report.
    upstream : model.Upstream
        The engine that began the run.
    request_id : str
        ID of the run.
    first_event_at_s : float
        Monotonic time at which the engine's first event arrived.  Reports on
        the time before may not list the run yet.

    Examples
    --------
    >>> engine = model.Upstream("i", "s", "10.0.0.1:1", name="i")
    >>> reply = rollout.ReportReply(
    ...     rollout.Contact.REPORTED, rollout.EngineReport({}), 1.0
    ... )
    >>> run_state(reply, engine, "r", 0.2), run_state(reply, engine, "r", 0.8)
    (<RunState.ENDED: 'ended'>, <RunState.UNKNOWN: 'unknown'>)
    >>> run_state(rollout.ReportReply(rollout.Contact.REFUSED), engine, "r", 0)
    <RunState.ENDED: 'ended'>
    """
    report = reply.report
    if report is None:
        return _STATE_BY_CONTACT[reply.contact]
    if not upstream.is_same_start(report.started_at_ms):
        is_later = report.started_at_ms > upstream.started_at_ms
        return RunState.ENDED if is_later else RunState.UNKNOWN
    if request_id in report.events or report.waiting:
        return RunState.IN_PROGRESS
    if reply.asked_at_s - MAX_REPORT_AGE_S < first_event_at_s:
        return RunState.UNKNOWN
    return RunState.ENDED


async def _ask_nobody(
    upstream: model.Upstream, *, timeout_s: float
) -> rollout.ReportReply:
    """Return no report; used until the calls to engines are set."""
    return rollout.ReportReply(rollout.Contact.NO_ANSWER)


@attrs.define(eq=False)
class SharedReports:
    """Requests for engines' reports, shared by the runs that need them.

    An engine that crashes breaks all its runs at once, at each router.

    Attributes
    ----------
    ask : callable
        Given an upstream and `timeout_s`, requests its report.
    """

    ask: Callable[..., Awaitable[rollout.ReportReply]] = _ask_nobody
    _tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _asked_at_s: dict[str, float] = attrs.field(factory=dict)

    async def reply(self, upstream: model.Upstream) -> rollout.ReportReply:
        """Return the outcome of the request in flight, or of a new one."""
        name = upstream.incarnation
        task = self._tasks.get(name)
        if task is None:
            task = asyncio.ensure_future(self._request(upstream))
            self._tasks[name] = task
            task.add_done_callback(lambda _: self._tasks.pop(name))
        return await asyncio.shield(task)

    async def _request(self, upstream: model.Upstream) -> rollout.ReportReply:
        now_s = clock.now_s()
        self._forget(now_s)
        asked_at_s = self._asked_at_s.get(upstream.incarnation)
        if asked_at_s is not None:
            await asyncio.sleep(asked_at_s + REPORT_INTERVAL_S - now_s)
        now_s = self._asked_at_s[upstream.incarnation] = clock.now_s()
        reply = await self.ask(upstream, timeout_s=REPORT_TIMEOUT_S)
        return attrs.evolve(reply, asked_at_s=now_s)

    def _forget(self, now_s: float) -> None:
        for name, asked_at_s in list(self._asked_at_s.items()):
            if asked_at_s + REPORT_INTERVAL_S <= now_s:
                del self._asked_at_s[name]


@attrs.define(eq=False)
class RunEnd:
    """Waits for the end of a run whose answer broke off.

    Parameters
    ----------
    reports : SharedReports
        Requests for engines' reports.
    upstream : model.Upstream
        The engine that began the run.
    request_id : str
        ID of the run.
    first_event_at_s : float
        Monotonic time at which the engine's first event arrived.

    Attributes
    ----------
    state : RunState
        What the last reply said.
    replies : int
        Replies so far.
    last_weights : mapping of str to int or None
        Versions by model that the engine had after the end of the run, by
        its own report; None without one.
    """

    reports: SharedReports
    upstream: model.Upstream
    request_id: str
    first_event_at_s: float
    state: RunState = RunState.UNKNOWN
    replies: int = 0
    last_weights: Mapping[str, int] | None = None
    _unreached_since_s: float | None = None

    async def wait(self, may_continue: Callable[[], bool]) -> bool:
        """Return whether the run may be continued elsewhere.

        Parameters
        ----------
        may_continue : callable
            Whether it still could be.
        """
        while may_continue():
            began_s = clock.now_s()
            reply = await self.reports.reply(self.upstream)
            self.replies += 1
            self.state = run_state(
                reply, self.upstream, self.request_id, self.first_event_at_s
            )
            if self.state is RunState.ENDED or self._is_out_of_reach(began_s):
                self.last_weights = self._reported_weights(reply)
                return may_continue()
        return False

    def _reported_weights(
        self, reply: rollout.ReportReply
    ) -> Mapping[str, int] | None:
        report = reply.report
        if report is None or not self.upstream.is_same_start(
            report.started_at_ms
        ):
            return None
        return report.weights

    def _is_out_of_reach(self, asked_at_s: float) -> bool:
        if self.state is not RunState.NOT_REACHED:
            self._unreached_since_s = None
            return False
        if self._unreached_since_s is None:
            self._unreached_since_s = asked_at_s
        unreached_s = clock.now_s() - self._unreached_since_s
        return unreached_s >= OUT_OF_REACH_AFTER_S
