"""Load and health of each upstream as seen by this router.  No I/O."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import attrs

from toucanrudder import backoff
from toucanrudder.forwarding import model

#: Seconds after which a reported load is ignored: requests of the slowest
#: kind have ended by then.
MAX_LOAD_AGE_S = 1.0

#: First and longest backoff after consecutive failures.  The first is long
#: enough for a restarted process to listen again; the longest keeps a
#: recovered upstream idle for no more than one retry of a caller.
MIN_BACKOFF_S = 0.3
MAX_BACKOFF_S = 3.0

#: Weight of the newest result in the moving average of failures, which
#: follows a change within about ten requests.
FAILURE_SMOOTHING = 0.1


@attrs.define
class UpstreamState:
    """Load and health of one upstream process.

    Parameters
    ----------
    requests, prefill_tokens : int
        Requests of this router there, and their tokens yet to be prefilled.
    load : model.Load or None
        The load that the upstream reported last.
    load_at_s : float
        Monotonic time of that report.
    failures_in_row : int
        Consecutive failures.
    backoff_until_s : float
        Monotonic time until which it gets no work after failures.
    failure_share : float
        Moving average of failed requests, from 0 to 1.
    full_until_s : float
        Monotonic time until which it counts as full.
    refused_at_s : float
        Monotonic time of its last refusal for want of room, by this
        router's or a peer's word.
    refusals_in_row : int
        Refusals of this router's requests since its last answer.
    refused_beside : int
        Requests of this router that were there then.
    avoided_until_s : float
        Monotonic time until which it gets no work as it loads weights.
    last_peer_order_s : float
        Monotonic time of a peer's last message that it orders the upstream
        to load weights.
    quiet_since_s : float or None
        Monotonic time since which no answer to this router has made progress;
        None while none is expected.
    answered_at_s : float
        Monotonic time of its last complete answer to this router.
    """

    requests: int = 0
    prefill_tokens: int = 0
    load: model.Load | None = None
    load_at_s: float = 0.0
    failures_in_row: int = 0
    backoff_until_s: float = 0.0
    failure_share: float = 0.0
    full_until_s: float = 0.0
    refused_at_s: float = float("-inf")
    refusals_in_row: int = 0
    refused_beside: int = 0
    avoided_until_s: float = 0.0
    last_peer_order_s: float = float("-inf")
    quiet_since_s: float | None = None
    answered_at_s: float = float("-inf")

    def record_sent(self, now_s: float) -> None:
        """Record that an answer is expected."""
        if self.quiet_since_s is None:
            self.quiet_since_s = now_s

    def record_progress(self, now_s: float) -> None:
        """Record that an answer has made progress."""
        self.quiet_since_s = now_s

    def quiet_s(self, now_s: float) -> float:
        """Return for how long no expected answer has made progress."""
        if self.quiet_since_s is None:
            return 0.0
        return now_s - self.quiet_since_s

    def has_recent_load(self, now_s: float) -> bool:
        """Return whether the last reported load still counts."""
        return (
            self.load is not None and now_s - self.load_at_s <= MAX_LOAD_AGE_S
        )

    def other_requests(self, now_s: float) -> float:
        """Return the last reported requests of other senders there."""
        if not self.has_recent_load(now_s):
            return 0.0
        reported = self.load.running + self.load.waiting
        return max(0.0, reported - self.requests)

    def waiting_requests(self, now_s: float) -> int:
        """Return the last reported number of queued requests there."""
        if not self.has_recent_load(now_s):
            return 0
        return self.load.waiting


class UpstreamStates:
    """Upstream states by incarnation.

    Attributes
    ----------
    on_begin, on_end : callable
        Called with an upstream's incarnation when a request is sent there,
        and when it has ended.
    """

    def __init__(self):
        self._states: dict[str, UpstreamState] = {}
        self.on_begin: Callable[[str], object] = lambda incarnation: None
        self.on_end: Callable[[str], object] = lambda incarnation: None

    def of(self, incarnation: str) -> UpstreamState:
        """Return the state of a process."""
        # Called for each engine and request, so a state is created only
        # where it is missing.
        state = self._states.get(incarnation)
        if state is None:
            state = self._states[incarnation] = UpstreamState()
        return state

    def retain(self, incarnations: set[str]) -> None:
        """Drop other processes unless they still serve our requests."""
        for name in set(self._states) - incarnations:
            if not self._states[name].requests:
                del self._states[name]

    @contextlib.contextmanager
    def track_request(
        self, incarnation: str, prefill_tokens: int
    ) -> Iterator["TrackedRequest"]:
        """Count one request while the context is open."""
        state = self.of(incarnation)
        state.requests += 1
        tracked = TrackedRequest(state, prefill_tokens)
        state.prefill_tokens += prefill_tokens
        self.on_begin(incarnation)
        try:
            yield tracked
        finally:
            tracked.prefill_done()
            state.requests -= 1
            if not state.requests:
                state.quiet_since_s = None
            self.on_end(incarnation)

    def record_load(
        self, incarnation: str, load: model.Load, now_s: float
    ) -> None:
        """Record the load that came with an answer."""
        state = self.of(incarnation)
        state.load, state.load_at_s = load, now_s

    def record_success(self, incarnation: str, now_s: float) -> None:
        """Record a complete answer."""
        state = self.of(incarnation)
        state.answered_at_s = now_s
        state.failures_in_row = state.refusals_in_row = 0
        state.backoff_until_s = 0.0
        state.failure_share *= 1.0 - FAILURE_SMOOTHING

    def record_failure(self, incarnation: str, now_s: float) -> None:
        """Record a broken or missing answer; back off exponentially."""
        state = self.of(incarnation)
        self.record_error(incarnation)
        state.failures_in_row += 1
        state.backoff_until_s = now_s + backoff.exponential_s(
            state.failures_in_row, MIN_BACKOFF_S, MAX_BACKOFF_S
        )

    def record_error(self, incarnation: str) -> None:
        """Record an error response of the upstream itself."""
        state = self.of(incarnation)
        state.failure_share += FAILURE_SMOOTHING * (1 - state.failure_share)

    def avoid(self, incarnation: str, until_s: float) -> None:
        """Send the upstream no work until then, as it loads weights."""
        self.of(incarnation).avoided_until_s = until_s

    def record_peer_order(
        self, incarnation: str, until_s: float, now_s: float
    ) -> None:
        """Record that a peer orders the upstream to load weights."""
        self.avoid(incarnation, until_s)
        self.of(incarnation).last_peer_order_s = now_s

    def in_use(self) -> list[tuple[str, int, int]]:
        """Return incarnation, tokens to prefill and requests if in use."""
        return [
            (name, state.prefill_tokens, state.requests)
            for name, state in self._states.items()
            if state.requests
        ]

    def count_refusal(self, incarnation: str) -> int:
        """Count a refusal of an own request; return how many in a row."""
        state = self.of(incarnation)
        state.refusals_in_row += 1
        return state.refusals_in_row

    def record_full(
        self, incarnation: str, now_s: float, for_s: float
    ) -> None:
        """Record that the upstream refused a request because it is full."""
        state = self.of(incarnation)
        state.full_until_s = max(state.full_until_s, now_s + for_s)
        state.refused_at_s = now_s
        state.refused_beside = state.requests


@attrs.define
class TrackedRequest:
    """A request in flight at an upstream.

    Parameters
    ----------
    state : UpstreamState
        State of the upstream.
    prefill_tokens : int
        Prompt tokens that are yet to be prefilled.
    """

    state: UpstreamState
    prefill_tokens: int

    def prefill_done(self) -> None:
        """Record the first event: the prompt has been prefilled."""
        self.state.prefill_tokens -= self.prefill_tokens
        self.prefill_tokens = 0
