"""Bounds the share of an upstream pool's traffic that retries may add."""

import attrs


@attrs.define
class RetryBudget:
    """A token bucket that requests fill and retries empty.

    When half of a pool's tries fail, retrying each failure up to three
    times nearly doubles the load on what is left, and that load fails too.
    With a budget the pool gets at most ``1 + ratio`` times its requests,
    whatever fails; `minimum_per_s` keeps retries possible when traffic is
    thin.

    Parameters
    ----------
    ratio : float
        Retries that each request pays for.
    minimum_per_s : float
        Retries a second that are allowed without traffic.
    max_saved : float
        Most retries that may be saved up.
    initial_retries : float
        Retries saved up when the pool is first seen.  A crash early in a
        router's life hits a whole batch at once: without savings most of
        its innocent requests would be refused.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, minimum_per_s=0.0, max_saved=10.0)
    >>> budget.record_request(now_s=0.0); budget.record_request(now_s=0.0)
    >>> budget.try_spend(now_s=0.0), budget.try_spend(now_s=0.0)
    (True, False)
    """

    ratio: float = 0.2
    minimum_per_s: float = 1.0
    max_saved: float = 20.0
    initial_retries: float = 0.0
    _saved: float = attrs.field(default=0.0, init=False)
    _at_s: float | None = attrs.field(default=None, init=False)

    @property
    def saved(self) -> float:
        """Retries that could be spent when it was last asked."""
        return self._saved

    def _refill(self, now_s: float) -> None:
        if self._at_s is None:
            # A pool that has not been seen yet may retry at once.
            self._saved = min(
                self.max_saved, self.minimum_per_s + self.initial_retries
            )
        else:
            passed_s = max(0.0, now_s - self._at_s)
            self._save(passed_s * self.minimum_per_s)
        self._at_s = now_s

    def _save(self, amount: float) -> None:
        self._saved = min(self.max_saved, self._saved + amount)

    def record_request(self, now_s: float) -> None:
        """Note a caller's request to the pool (not a retry)."""
        self._refill(now_s)
        self._save(self.ratio)

    def try_spend(self, now_s: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            False when the budget is spent; the retry must not be made.
        """
        self._refill(now_s)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
