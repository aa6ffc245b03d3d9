"""How long each version of models' weights has been superseded.  No I/O."""

from collections.abc import Iterable

import attrs

from toucanrudder.forwarding import model

#: Versions of one model that are kept; any older one is too old anyway.
MAX_VERSIONS = 32


@attrs.define
class WeightsHistory:
    """Newest weights version of a model and when each version was published.

    Parameters
    ----------
    model : str
        The model's name.
    version : int
        Newest version; versions only rise.
    named_at_s : dict of int to float
        Monotonic time at which each version was published, as far as this
        router or a peer has seen it.

    Examples
    --------
    >>> history = WeightsHistory("m")
    >>> history.record(2, 10.0); history.record(3, 14.0)
    >>> history.age_s(1, 15.0), history.age_s(2, 15.0), history.age_s(3, 15.0)
    (5.0, 1.0, 0.0)

    A peer has known a version for longer:

    >>> history.record(2, 7.0); history.age_s(1, 15.0)
    8.0
    """

    model: str
    version: int = 0
    named_at_s: dict[int, float] = attrs.field(factory=dict)

    def record(self, version: int, at_s: float) -> None:
        """Record a version that had been published at some time."""
        self.version = max(self.version, version)
        known_at_s = self.named_at_s.get(version, at_s)
        self.named_at_s[version] = min(known_at_s, at_s)
        while len(self.named_at_s) > MAX_VERSIONS:
            del self.named_at_s[min(self.named_at_s)]

    def age_s(self, version: int, now_s: float) -> float:
        """Return how long a version has been superseded; 0 if it is not."""
        later_at_s = [
            at_s for later, at_s in self.named_at_s.items() if later > version
        ]
        return now_s - min(later_at_s) if later_at_s else 0.0

    def published(
        self, now_s: float, bound_s: float
    ) -> tuple[tuple[int, float], ...]:
        """Return the versions that tell which others are too old.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        bound_s : float
            Age in seconds from which it does not matter how old a
            superseded version is.

        Returns
        -------
        tuple of tuple
            Versions and the seconds since each was published, newest first.

        Examples
        --------
        >>> history = WeightsHistory("m")
        >>> for version in (1, 2, 3): history.record(version, 4.0 * version)
        >>> history.published(14.0, 5.0)
        ((3, 2.0), (2, 6.0))
        """
        ages_s = []
        for version in sorted(self.named_at_s, reverse=True):
            ages_s.append((version, now_s - self.named_at_s[version]))
            if ages_s[-1][1] >= bound_s:
                break
        return tuple(ages_s)


def ages_s(
    upstreams: Iterable[model.Upstream],
    newest: WeightsHistory | None,
    now_s: float,
) -> dict[int, float]:
    """Return how long each version in use has been superseded."""
    if newest is None:
        return {}
    versions = {
        upstream.weights.get(newest.model, newest.version)
        for upstream in upstreams
    }
    return {version: newest.age_s(version, now_s) for version in versions}
