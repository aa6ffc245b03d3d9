"""A bound on the retries that may be added to a pool's traffic."""

import attrs


@attrs.define
class RetryBudget:
    """A token bucket that requests fill and retries drain.

    When half of a pool's tries fail, retrying each failure up to three
    times nearly doubles the load on the upstreams that are left, and that
    load fails too.  With a budget the pool gets at most ``1 + ratio`` times
    its requests, whatever fails; `minimum_per_s` permits retries when there
    is little traffic.

    Parameters
    ----------
    ratio : float
        Retries that each request adds to the budget.
    minimum_per_s : float
        Retries a second added without traffic.
    max_saved : float
        Most retries that the budget holds.
    initial_retries : float
        Additional retries at the first request to the pool.  A crash soon
        after a router's start fails a whole batch at once; without these
        retries most of its requests would be refused.

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
    _available: float = attrs.field(default=0.0, init=False)
    _at_s: float | None = attrs.field(default=None, init=False)

    @property
    def available(self) -> float:
        """Retries that the budget held at its last use."""
        return self._available

    def _refill(self, now_s: float) -> None:
        if self._at_s is None:
            # The first request to a pool may be retried at once.
            self._available = min(
                self.max_saved, self.minimum_per_s + self.initial_retries
            )
        else:
            elapsed_s = max(0.0, now_s - self._at_s)
            self._add(elapsed_s * self.minimum_per_s)
        self._at_s = now_s

    def _add(self, retries: float) -> None:
        self._available = min(self.max_saved, self._available + retries)

    def record_request(self, now_s: float) -> None:
        """Record a caller's request to the pool, not a retry."""
        self._refill(now_s)
        self._add(self.ratio)

    def try_spend(self, now_s: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            False if the budget is spent; the retry must not be made.
        """
        self._refill(now_s)
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
