"""Work that servers still have to do, in usual seconds.  No I/O.

A usual second is the work that a process of usual speed does in one.  The
work at a process is what this router's requests there are likely to need
still, and an estimate for all other routers from what a few of them tell.
"""

from collections.abc import Callable
import math

import attrs

#: Time to the first event of a prompt whose tokens are all cached, and per
#: token to be read, in seconds, before the first sample.
PRIOR_BASE_S = 0.06
PRIOR_TOKEN_S = 1 / 60_000

#: Tokens of an imagined prompt that carries the prior, and the number of
#: samples that it is worth.
PRIOR_TOKENS = 8_000
PRIOR_SAMPLES = 3.0

#: Samples after which one counts half.
HALF_LIFE_SAMPLES = 200
_KEPT = 0.5 ** (1 / HALF_LIFE_SAMPLES)

#: Largest ratio of a sample to what was expected, and its inverse.
MAX_SURPRISE = 3.0

#: Share of its work that a request counts for once it is overdue.
OVERDUE_SHARE = 0.25

#: Share of the other routers over whose reports the work that they have
#: sent is averaged.
AVERAGED_SHARE = 1 / 3

#: Time constant in seconds with which reports of silent peers are forgotten.
SILENCE_DECAY_S = 3.0


@attrs.define
class UsualTimes:
    """Usual time to the first event of one service's prompts.

    A line through the samples, weighted by the inverse square of what was
    expected, so that relative errors count alike.

    Parameters
    ----------
    weight, tokens, seconds, squares, products : float
        Weighted sums over the samples; tokens in thousands.
    base_s, token_s : float
        Seconds without, and for each, token to be read.
    """

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0
    base_s: float = PRIOR_BASE_S
    token_s: float = PRIOR_TOKEN_S

    def __attrs_post_init__(self):
        for tokens in (0.0, PRIOR_TOKENS):
            self._add(tokens, self.expected_s(tokens), PRIOR_SAMPLES / 2)

    def expected_s(self, tokens: float) -> float:
        """Return the usual time to the first event without a queue."""
        return self.base_s + tokens * self.token_s

    def record(self, tokens: float, took_s: float) -> None:
        """Record a time to the first event, without queue and slowness."""
        expected_s = self.expected_s(tokens)
        took_s = max(took_s, expected_s / MAX_SURPRISE)
        self.weight *= _KEPT
        self.tokens *= _KEPT
        self.seconds *= _KEPT
        self.squares *= _KEPT
        self.products *= _KEPT
        self._add(tokens, min(took_s, expected_s * MAX_SURPRISE))
        self._solve()

    def _add(self, tokens: float, took_s: float, samples: float = 1.0) -> None:
        weight = samples / self.expected_s(tokens) ** 2
        tokens = tokens / 1_000
        self.weight += weight
        self.tokens += weight * tokens
        self.seconds += weight * took_s
        self.squares += weight * tokens**2
        self.products += weight * tokens * took_s

    def _solve(self) -> None:
        spread = self.weight * self.squares - self.tokens**2
        if spread <= 1e-9 * self.weight * self.squares:
            # All samples are of one size: only the base can be told.
            mean_s = self.seconds / self.weight
            tokens = 1_000 * self.tokens / self.weight
            self.base_s = max(mean_s - tokens * self.token_s, 1e-4)
            return
        slope = self.weight * self.products - self.tokens * self.seconds
        self.token_s = max(slope / spread / 1_000, 1e-8)
        rest_s = self.seconds - 1_000 * self.token_s * self.tokens
        self.base_s = max(rest_s / self.weight, 1e-4)


def remaining_prefill_s(work_s: float) -> Callable[[float], float]:
    """Return the function that gives what is left of a prompt's prefill.

    Examples
    --------
    >>> left_s = remaining_prefill_s(0.1)
    >>> round(left_s(0.04), 3), left_s(5.0)
    (0.06, 0.025)
    """
    return lambda elapsed_s: max(work_s - elapsed_s, OVERDUE_SHARE * work_s)


@attrs.define(eq=False)
class RunningWork:
    """One request of this router in flight.

    Parameters
    ----------
    began_s : float
        Monotonic time at which it was sent.
    left_s : callable
        Given the seconds since then, at usual speed, returns the usual
        seconds of work that are left.
    """

    began_s: float
    left_s: Callable[[float], float]


class OwnWork:
    """Work of this router's requests in flight, by process.

    Examples
    --------
    >>> own = OwnWork()
    >>> work = RunningWork(0.0, remaining_prefill_s(0.1))
    >>> own.add("e1", work)
    >>> round(own.left_s("e1", 2.0, now_s=0.1), 3)
    0.05
    >>> own.remove("e1", work)
    >>> own.left_s("e1", 2.0, now_s=0.1)
    0.0
    """

    def __init__(self):
        # In the order of their sending, so that sums do not differ by run.
        self._running: dict[str, dict[RunningWork, None]] = {}

    def add(self, incarnation: str, work: RunningWork) -> None:
        """Count a request."""
        self._running.setdefault(incarnation, {})[work] = None

    def remove(self, incarnation: str, work: RunningWork) -> None:
        """Count a request no more."""
        running = self._running.get(incarnation, {})
        running.pop(work, None)
        if not running:
            self._running.pop(incarnation, None)

    def has(self, incarnation: str) -> bool:
        """Whether a request of this router is at a process."""
        return incarnation in self._running

    def left_s(self, incarnation: str, stretch: float, now_s: float) -> float:
        """Return the usual seconds of work left at a process.

        Parameters
        ----------
        incarnation : str
            The process.
        stretch : float
            Its time for a unit of work, 1 as usual.
        now_s : float
            Monotonic time.
        """
        running = self._running.get(incarnation)
        if not running:
            return 0.0
        return sum(
            work.left_s((now_s - work.began_s) / stretch) for work in running
        )

    def in_use(self) -> list[str]:
        """Return the processes with requests of this router."""
        return list(self._running)


@attrs.define
class _Average:
    value_s: float
    reports: int
    known_s: float = -1.0
    known_reports: int = -1


class PeerWork:
    """Work of all other routers, from the reports of those heard lately.

    Each report says what one router has sent; their average, times the
    number of other routers, is an estimate for all.  An older report counts
    less with each later one, and all do while none arrives.

    Examples
    --------
    >>> peers = PeerWork()
    >>> for _ in range(200):
    ...     peers.record({"e1": 0.01}, others=50, now_s=0.0)
    >>> round(peers.left_s("e1", now_s=0.0), 2)
    0.5
    >>> peers.left_s("e1", now_s=60.0) < 0.01
    True
    """

    def __init__(self):
        self._averages: dict[str, _Average] = {}
        self._reports = 0
        self._share = 1.0
        self._heard_s = float("-inf")
        self._decay = 1.0
        self._decayed_at_s = math.nan

    def record(
        self, work_s: dict[str, float], others: int, now_s: float
    ) -> None:
        """Record one router's report.

        Parameters
        ----------
        work_s : dict of str to float
            Its usual seconds of work left by process; 0 where it has none.
        others : int
            Number of other routers.
        now_s : float
            Monotonic time.
        """
        self._reports += 1
        self._heard_s = now_s
        self._decayed_at_s = math.nan
        self._share = 1.0 / max(1.0, AVERAGED_SHARE * others)
        for name, left_s in work_s.items():
            average = self._averages.setdefault(
                name, _Average(0.0, self._reports)
            )
            average.value_s = self._present_s(average) + (
                self._share * others * left_s
            )
            average.reports = self._reports
            average.known_reports = -1

    def left_s(self, incarnation: str, now_s: float) -> float:
        """Return the estimated work of all others at a process."""
        average = self._averages.get(incarnation)
        if average is None:
            return 0.0
        if now_s != self._decayed_at_s:
            silent_s = max(0.0, now_s - self._heard_s)
            self._decay = math.exp(-silent_s / SILENCE_DECAY_S)
            self._decayed_at_s = now_s
        return self._decay * self._present_s(average)

    def retain(self, incarnations: set[str]) -> None:
        """Forget all other processes."""
        for name in set(self._averages) - set(incarnations):
            del self._averages[name]

    def _present_s(self, average: _Average) -> float:
        if average.known_reports != self._reports:
            kept = 1.0 - self._share
            later = self._reports - average.reports
            average.known_s = average.value_s * kept**later
            average.known_reports = self._reports
        return average.known_s
