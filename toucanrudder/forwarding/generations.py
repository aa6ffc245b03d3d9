"""How current a router's configuration is.  No I/O."""

from collections.abc import Callable

import attrs


@attrs.define
class GenerationNews:
    """Tells a router that is up to date from one that follows late.

    Parameters
    ----------
    in_force : callable
        Returns the generation in force; 0 for none.

    Attributes
    ----------
    heard_generation : int
        Newest generation that a peer has said to have.

    Examples
    --------
    >>> generations = [3]
    >>> news = GenerationNews(lambda: generations[-1])
    >>> news.record_heard(4, 11.0), news.record_heard(4, 11.5)
    (True, False)
    >>> news.behind_s(12.0)
    1.0
    >>> generations.append(4)
    >>> news.record_taken(12.0), news.behind_s(13.0)
    (1.0, 0.0)
    """

    in_force: Callable[[], int]
    heard_generation: int = 0
    _behind_since_s: float | None = None
    _confirmed_at_s: float | None = None

    def record_confirmed(self, now_s: float) -> None:
        """Record that the store has answered the watch."""
        self._confirmed_at_s = now_s

    def record_heard(self, generation: int, now_s: float) -> bool:
        """Record a peer's generation; return whether a newer one is news."""
        if generation <= self._newest():
            return False
        self.heard_generation = generation
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        return True

    def _newest(self) -> int:
        return max(self.in_force(), self.heard_generation)

    def record_taken(self, now_s: float) -> float:
        """Record that a generation came into force; return how late."""
        late_s = self.behind_s(now_s)
        if self.in_force() >= self.heard_generation:
            self._behind_since_s = None
        return late_s

    def behind_s(self, now_s: float) -> float:
        """Return for how long a peer has been known to be ahead."""
        if self._behind_since_s is None:
            return 0.0
        return now_s - self._behind_since_s

    def confirmed_age_s(self, now_s: float) -> float | None:
        """Return the time since the store answered; None if it has not."""
        if self._confirmed_at_s is None:
            return None
        return now_s - self._confirmed_at_s

    def is_confirmed_since(self, since_s: float) -> bool:
        """Return whether the store has answered the watch since a time."""
        return (
            self._confirmed_at_s is not None
            and self._confirmed_at_s >= since_s
        )

    def generations(self) -> dict[str, float]:
        """Return the generations of the metric."""
        return {"in_force": self.in_force(), "heard": self._newest()}

    def ages_s(self, now_s: float) -> dict[str, float]:
        """Return the ages of the metric."""
        age_s = self.confirmed_age_s(now_s)
        ages_s = {"behind": self.behind_s(now_s)}
        return ages_s if age_s is None else {**ages_s, "confirmed": age_s}
