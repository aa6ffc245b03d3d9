"""Requests of this router that wait for room at an upstream.

The order, and whom to refuse, is decided in `admission.line`; here are the
tasks that wait, and what wakes them.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import TYPE_CHECKING

import attrs

from toucanrudder import clock
from toucanrudder import errors
from toucanrudder.admission import line as lines
from toucanrudder.admission import rests
from toucanrudder.admission import shares
from toucanrudder.forwarding import model
from toucanrudder.forwarding import placing
from toucanrudder.observability import decisions
from toucanrudder.observability import metrics

if TYPE_CHECKING:
    from toucanrudder.forwarding import choosing
    from toucanrudder.forwarding import execution as executions
    from toucanrudder.forwarding import routing
    from toucanrudder.forwarding import state as states

#: Interval of the checks of a service where requests wait, for what no event
#: tells: the end of a backoff or rest, and what peers report.
TICK_S = 0.025

#: Part of an upstream's slots that it is sent beyond them, so that it has
#: work while an answer travels.
ALLOWANCE_SHARE = 0.1

#: Share of the slots of others at an upstream below which what they use
#: shows that they leave the rest.
MOSTLY_IDLE_SHARE = 0.34

#: Time after a refusal by the requests of others in which a router uses only
#: its own slots there.
CAUTION_S = 1.0

#: Time after the last wait or refusal for want of room in which a router keeps
#: to its part of the slots.
CROWDED_S = 1.0

#: Share of a caller's remaining time that a request may wait here; the
#: rest leaves the caller time to retry.
MAX_WAIT_SHARE = 0.25

#: Shortest ``Retry-After``, and the longest as a share of the time that the
#: caller has left.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_SHARE = 0.5

#: Part of the time until room is expected by which the delays of callers
#: differ, as some of those who are refused together come back together.
RETRY_SPREAD_SHARE = 1.0

#: Share of a route's objective up to which a request that has waited is
#: offered to a peer.
EARLY_SHARE = 0.125

#: Bytes that a waiting request holds beside its body.
BASE_BYTES = 8_000


@attrs.define
class Crowded(Exception):
    """A request cannot be served here in its time, but by a peer perhaps.

    Parameters
    ----------
    error : errors.RudderError
        The refusal if there is no such peer.
    """

    error: errors.RudderError


@attrs.define(eq=False)
class Waiter(lines.Waiter):
    """A request that waits, and what is done for it.

    Parameters
    ----------
    request_id : str
        For log lines.
    choose : callable
        Returns the upstream to send it to; raises RudderError if none has
        room.
    refusal : callable
        Given a `lines.Refusal`, returns the error for the caller.
    is_bound : callable
        Whether it may be sent to a part of the upstreams only.
    early_until_s : float
        Monotonic time up to which a peer may still serve it in its time.
    """

    request_id: str = attrs.field(kw_only=True)
    choose: Callable[[], placing.Choice] = attrs.field(kw_only=True)
    refusal: Callable[[lines.Refusal], errors.RudderError] = attrs.field(
        kw_only=True
    )
    is_bound: Callable[[], bool] = attrs.field(kw_only=True)
    early_until_s: float = attrs.field(kw_only=True)
    choice: asyncio.Future = attrs.field(factory=asyncio.Future, init=False)


@attrs.define(eq=False)
class WaitingRoom:
    """The lines of one router, by service.

    Parameters
    ----------
    state : states.ForwardingState
        The router's state.
    """

    state: "states.ForwardingState"
    held: lines.Held = attrs.field(factory=lines.Held)
    _lines: dict[str, lines.Line] = attrs.field(factory=dict)
    _granted: collections.Counter = attrs.field(factory=collections.Counter)
    _due: set[str] = attrs.field(factory=set)
    _ticking: set[str] = attrs.field(factory=set)
    _divided: dict[str, shares.OwnPlaces] = attrs.field(factory=dict)
    _crowded_at_s: dict[str, float] = attrs.field(factory=dict)
    _services: dict[str, str] = attrs.field(factory=dict)

    def line(self, service: str) -> lines.Line:
        """Return the line of a service."""
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = lines.Line(self.held)
        return line

    def is_waiting(self, service: str) -> bool:
        """Whether requests wait for a service."""
        line = self._lines.get(service)
        return line is not None and len(line) > 0

    def expected_wait_s(
        self, service: str, match: "routing.RouteMatch"
    ) -> float:
        """Return when room is expected for a request that does not wait."""
        return self.line(service).wait_s(
            _organisation_name(match), match.rank, clock.now_s()
        )

    def is_crowded(self, service: str) -> bool:
        """Whether requests wait or were refused, now or a moment ago."""
        if not self._crowded_at_s:
            return False
        crowded_at_s = self._crowded_at_s.get(service, -math.inf)
        return clock.now_s() - crowded_at_s < CROWDED_S

    def counts(self) -> dict[str, int]:
        """Return how many requests wait, by service."""
        return {service: len(line) for service, line in self._lines.items()}

    # Room.

    def with_places(
        self, candidates: Sequence[placing.Candidate], now_s: float
    ) -> list[placing.Candidate]:
        """Return the candidates that a plain request may be sent to now.

        Each router uses its own part of an upstream's slots, and those that
        seem unused.  A router without any part tries one request at a time.
        """
        if not candidates:
            return []
        own = self._own_places(candidates[0].upstream.service)
        if not any(own.values()) and _states_slots(candidates[0]):
            is_trying = any(map(self._own_requests, candidates))
            return [] if is_trying else list(candidates)
        return [
            candidate
            for candidate in candidates
            if self._has_place(
                candidate, own.get(candidate.upstream.incarnation, 0), now_s
            )
        ]

    def _has_place(
        self, candidate: placing.Candidate, own_places: int, now_s: float
    ) -> bool:
        if not _states_slots(candidate):
            return True
        slots = candidate.upstream.slots
        granted = self._granted[candidate.upstream.incarnation]
        own_requests = candidate.state.requests + granted
        if own_requests < own_places + int(ALLOWANCE_SHARE * slots):
            return True
        # One beside a full number of own requests says nothing of others.
        is_others = candidate.state.refused_beside < slots
        if is_others and now_s - candidate.state.refused_at_s < CAUTION_S:
            return False
        others = candidate.requests(now_s) - candidate.state.requests
        are_idle = others < MOSTLY_IDLE_SHARE * (slots - own_places)
        return are_idle and own_requests + others < slots

    def _own_places(self, service: str) -> dict[str, int]:
        divided = self._divided.get(service)
        if divided is None:
            divided = shares.OwnPlaces(self.state.name)
            self._divided[service] = divided
        return divided.at(
            self.state.registry.for_service(service),
            self.state.peers(),
            clock.now_s(),
        )

    def _own_requests(self, candidate: placing.Candidate) -> int:
        granted = self._granted[candidate.upstream.incarnation]
        return candidate.state.requests + granted

    def record_full(self, service: str, now_s: float) -> None:
        """Record that an upstream of a service has refused a request."""
        self._crowded_at_s[service] = now_s

    def record_begin(self, incarnation: str) -> None:
        """Record that a request is sent to an upstream."""
        if self._granted[incarnation] > 1:
            self._granted[incarnation] -= 1
        else:
            del self._granted[incarnation]
        service = self._services.get(incarnation)
        if service is None:
            upstream = self.state.registry.get(incarnation)
            service = upstream.service if upstream else ""
            self._services[incarnation] = service
        self.line(service).flow.record_begin(clock.now_s())

    def record_end(self, incarnation: str) -> None:
        """Record that a request at an upstream has ended."""
        service = self._services[incarnation]
        if not self.state.upstream_stats.of(incarnation).requests:
            # The upstream may leave the registry while requests run there.
            del self._services[incarnation]
        self.line(service).flow.record_end(clock.now_s())
        self._wake(service)

    # Waiting.

    async def choice(self, service: str, waiter: Waiter) -> placing.Choice:
        """Wait for room; return where to send the request.

        Raises
        ------
        RudderError
            It will not be served in its time, or may not wait.
        Crowded
            The same, but a peer may serve it.
        """
        line, now_s = self.line(service), clock.now_s()
        self._crowded_at_s[service] = now_s
        refusals = line.push(waiter, now_s)
        self._refuse(service, refusals)
        self._wake(service)
        try:
            choice = await waiter.choice
        except BaseException:
            line.remove(waiter)
            if _is_granted(waiter):
                # The caller left just as a place was free for it.
                name = waiter.choice.result().upstream.incarnation
                self._granted[name] = max(0, self._granted[name] - 1)
                self._wake(service)
            raise
        self._record_waited(service, waiter)
        return choice

    def _record_waited(self, service: str, waiter: Waiter) -> None:
        waited_s = clock.now_s() - waiter.arrived_s
        _wait_histogram().record(
            waited_s, {"rank": waiter.priority, "outcome": "sent"}
        )
        decisions.record(
            decisions.Waited(
                request_id=waiter.request_id,
                service=service,
                organisation=waiter.organisation,
                rank=waiter.priority,
                waited_s=waited_s,
                left_s=waiter.deadline_s - clock.now_s(),
                waiting=len(self.line(service)),
            )
        )

    def _refuse(self, service: str, refusals: list[lines.Refusal]) -> None:
        now_s = clock.now_s()
        for refusal in refusals:
            waiter = refusal.waiter
            if waiter.choice.done():
                continue
            error = waiter.refusal(refusal)
            waited_s = now_s - waiter.arrived_s
            is_early = now_s <= waiter.early_until_s
            is_offered = refusal.fits and is_early and is_full(error)
            waiter.choice.set_exception(
                Crowded(error) if is_offered else error
            )
            outcome = "offered" if is_offered else "refused"
            _wait_histogram().record(
                waited_s, {"rank": waiter.priority, "outcome": outcome}
            )
            decisions.record(
                decisions.WaitRefused(
                    request_id=waiter.request_id,
                    service=service,
                    organisation=waiter.organisation,
                    rank=waiter.priority,
                    reason=refusal.reason,
                    waited_s=waited_s,
                    left_s=waiter.deadline_s - now_s,
                    expected_s=refusal.wait_s,
                    ahead=refusal.ahead,
                    retry_after_s=error.retry_after_s,
                )
            )

    def _wake(self, service: str) -> None:
        """Give out places soon, if requests wait."""
        if not self.is_waiting(service):
            return
        loop = asyncio.get_running_loop()
        if service not in self._due:
            self._due.add(service)
            loop.call_soon(self._serve, service)
        if service not in self._ticking:
            self._ticking.add(service)
            loop.call_later(TICK_S, self._tick, service)

    def _tick(self, service: str) -> None:
        self._ticking.discard(service)
        # A request that was granted a place and has not been sent by now has
        # failed on the way.
        self._granted.clear()
        if self.is_waiting(service):
            self._crowded_at_s[service] = clock.now_s()
            self._serve(service)
            line = self.line(service)
            self._refuse(service, line.sweep(clock.now_s()))
            self._wake(service)

    def _serve(self, service: str) -> None:
        self._due.discard(service)
        line = self.line(service)
        while len(line) and self._grant_one(line):
            pass
        if len(line) <= lines.MAX_SWEPT:
            self._refuse(service, line.sweep(clock.now_s()))

    def _grant_one(self, line: lines.Line) -> bool:
        """Give the next request that fits a place; return whether one did."""
        for waiter in line.in_order():
            try:
                choice = waiter.choose()
            except Exception as error:
                if is_full(error):
                    if waiter.is_bound():
                        # Others may use what it cannot use.
                        continue
                    return False
                line.remove(waiter)
                if not waiter.choice.done():
                    waiter.choice.set_exception(error)
                return True
            line.take(waiter, clock.now_s())
            if not waiter.choice.done():
                self._granted[choice.upstream.incarnation] += 1
                waiter.choice.set_result(choice)
            return True
        return False


def _states_slots(candidate: placing.Candidate) -> bool:
    """Whether it is known how much an upstream takes.

    One slot is what an entry without a number says as well; such an upstream
    is full when it has refused a request.
    """
    return candidate.upstream.slots > 1


def is_full(error: Exception) -> bool:
    """Whether an error says that no upstream has room."""
    return (
        isinstance(error, errors.RudderError)
        and error.code is errors.Code.QUEUE_FULL
    )


def _is_granted(waiter: Waiter) -> bool:
    choice = waiter.choice
    return (
        choice.done() and not choice.cancelled() and choice.exception() is None
    )


def _wait_histogram():
    return metrics.histogram(
        "toucanrudder_wait_seconds", "s", "Wait for room, by rank and outcome"
    )


def max_wait_s(route: model.Route, remaining_s: float) -> float:
    """Return how long a request may wait in the router before it is sent."""
    return min(route.objective_s / 2, MAX_WAIT_SHARE * remaining_s)


def retry_after_s(
    wait_s: float, remaining_s: float, rng: random.Random
) -> float:
    """Return after how many seconds a refused caller may return.

    Parameters
    ----------
    wait_s : float
        Time until room is expected for such a request; inf if unknown.
    remaining_s : float
        Time that the caller has left.
    rng : random.Random
        Spreads the delays.

    Examples
    --------
    >>> 0.4 <= retry_after_s(0.4, 2.0, random.Random(1)) <= 0.8
    True
    >>> retry_after_s(math.inf, 2.0, random.Random(1)) <= 1.0
    True
    """
    most_s = MAX_RETRY_AFTER_SHARE * max(0.0, remaining_s)
    most_s /= 1.0 + RETRY_SPREAD_SHARE
    delay_s = min(max(wait_s, MIN_RETRY_AFTER_S), most_s)
    return round(rests.retry_after_s(delay_s, rng, RETRY_SPREAD_SHARE), 3)


def _organisation_name(match: "routing.RouteMatch") -> str:
    """Return whose share counts; callers without a key share one."""
    return match.organisation.name if match.organisation else ""


def early_until_s(execution: "executions.RequestExecution") -> float:
    """Return until when a request may be offered to a peer for its room."""
    objective_s = execution.route.objective_s
    return execution.request.began_s + EARLY_SHARE * objective_s


def waiter_for(chooser: "choosing.UpstreamChooser") -> Waiter:
    """Return the entry of a request in the line."""
    execution, now_s = chooser.execution, clock.now_s()
    match = execution.route_match

    def choose() -> placing.Choice:
        execution.refuse_if_quarantined()
        return chooser.choose()

    def refusal(refused: lines.Refusal) -> errors.RudderError:
        # What may have run is not refused as not run.
        error = chooser.no_upstream_error()
        if not is_full(error):
            return error
        return attrs.evolve(
            error,
            message=f"no upstream has room for the request: {refused.reason}",
            retry_after_s=chooser.retry_after_s(clock.now_s(), refused.wait_s),
        )

    return Waiter(
        organisation=_organisation_name(match),
        weight=1.0,
        priority=match.rank,
        deadline_s=now_s + max_wait_s(match.route, execution.remaining_s()),
        arrived_s=now_s,
        cost=_cost_of(match.call),
        size_bytes=BASE_BYTES + len(execution.request.body),
        request_id=match.call.request_id,
        choose=choose,
        refusal=refusal,
        is_bound=lambda: execution.origin is not None,
        early_until_s=early_until_s(execution),
    )


def _cost_of(call: model.Call) -> float:
    """Return a request's cost in the unit that binds at its upstreams."""
    if call.prompt is None:
        return 1.0
    return lines.cost_of_tokens(call.prompt.total_tokens)
