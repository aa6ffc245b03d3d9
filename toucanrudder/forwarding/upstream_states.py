"""What this router knows of each upstream's load and health.  No I/O."""

from collections.abc import Iterator
import contextlib

import attrs

from toucanrudder.forwarding import model

#: Seconds after which a told load says nothing any more: requests of the
#: slowest kind have ended by then.
LOAD_KEPT_S = 1.0

#: First and longest pause after failures in a row.  The first is long
#: enough for a restarted process to listen again; the longest keeps a
#: recovered upstream idle for no more than one retry of a caller.
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 3.0

#: Weight of the newest result in the failure share: the share follows a
#: change within about ten requests.
FAILURE_SMOOTHING = 0.1


@attrs.define
class UpstreamState:
    """One upstream process as this router sees it."""

    requests: int = 0
    prefill_tokens: int = 0
    load: model.Load | None = None
    load_at_s: float = 0.0
    failures_in_row: int = 0
    backoff_until_s: float = 0.0
    failure_share: float = 0.0
    full_until_s: float = 0.0
    avoided_until_s: float = 0.0
    #: When a peer last told that it orders the upstream to load weights.
    last_peer_order_s: float = float("-inf")

    def other_requests(self, now_s: float) -> float:
        """Return the requests there beside this router's, as last told."""
        if self.load is None or now_s - self.load_at_s > LOAD_KEPT_S:
            return 0.0
        told = self.load.running + self.load.waiting
        return max(0.0, told - self.requests)

    def waiting_requests(self, now_s: float) -> int:
        """Return the requests that wait there, as last told."""
        if self.load is None or now_s - self.load_at_s > LOAD_KEPT_S:
            return 0
        return self.load.waiting


class UpstreamStates:
    """States by incarnation."""

    def __init__(self):
        self._states: dict[str, UpstreamState] = {}

    def of(self, incarnation: str) -> UpstreamState:
        """Return the state of a process."""
        # Asked for each engine and request: made only where it is missing.
        found = self._states.get(incarnation)
        if found is None:
            found = self._states[incarnation] = UpstreamState()
        return found

    def retain(self, incarnations: set[str]) -> None:
        """Forget processes that are gone and serve none of our requests."""
        for name in set(self._states) - incarnations:
            if not self._states[name].requests:
                del self._states[name]

    @contextlib.contextmanager
    def track_request(
        self, incarnation: str, prefill_tokens: int
    ) -> Iterator["TrackedRequest"]:
        """Count one request for as long as the context is open."""
        state = self.of(incarnation)
        state.requests += 1
        sent = TrackedRequest(state, prefill_tokens)
        state.prefill_tokens += prefill_tokens
        try:
            yield sent
        finally:
            sent.prefill_done()
            state.requests -= 1

    def record_load(
        self, incarnation: str, load: model.Load, now_s: float
    ) -> None:
        """Note the load that came with an answer."""
        state = self.of(incarnation)
        state.load, state.load_at_s = load, now_s

    def record_success(self, incarnation: str) -> None:
        """Note a whole answer."""
        state = self.of(incarnation)
        state.failures_in_row = 0
        state.backoff_until_s = 0.0
        state.failure_share *= 1.0 - FAILURE_SMOOTHING

    def record_failure(self, incarnation: str, now_s: float) -> None:
        """Note a broken answer, or none; leave it alone for a while."""
        state = self.of(incarnation)
        self.record_error(incarnation)
        state.failures_in_row += 1
        pause_s = FIRST_PAUSE_S * 2 ** (state.failures_in_row - 1)
        state.backoff_until_s = now_s + min(pause_s, LONGEST_PAUSE_S)

    def record_error(self, incarnation: str) -> None:
        """Note a failure that the upstream itself answered with."""
        state = self.of(incarnation)
        state.failure_share += FAILURE_SMOOTHING * (1 - state.failure_share)

    def avoid(self, incarnation: str, until_s: float) -> None:
        """Note until when the upstream takes no work: it loads weights."""
        self.of(incarnation).avoided_until_s = until_s

    def record_peer_order(
        self, incarnation: str, until_s: float, now_s: float
    ) -> None:
        """Note that a peer orders the upstream to load weights."""
        self.avoid(incarnation, until_s)
        self.of(incarnation).last_peer_order_s = now_s

    def in_use(self) -> list[tuple[str, int, int]]:
        """Return name, unread prompt tokens and requests of those in use."""
        return [
            (name, state.prefill_tokens, state.requests)
            for name, state in self._states.items()
            if state.requests
        ]

    def record_full(
        self, incarnation: str, now_s: float, for_s: float
    ) -> None:
        """Note that the upstream has refused work for being full."""
        self.of(incarnation).full_until_s = now_s + for_s


@attrs.define
class TrackedRequest:
    """A request at an upstream.

    Parameters
    ----------
    state : UpstreamState
        Of the upstream.
    prefill_tokens : int
        Prompt tokens that it has still to read.
    """

    state: UpstreamState
    prefill_tokens: int

    def prefill_done(self) -> None:
        """Note that the prompt has been read: the first event came."""
        self.state.prefill_tokens -= self.prefill_tokens
        self.prefill_tokens = 0
