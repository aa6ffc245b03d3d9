"""Likely work of a request, learned from earlier ones like it.  No I/O.

Requests are grouped by what they share, from coarse to fine: service; route;
route and organisation.  Each group keeps a decayed histogram of the work
seen, in steps of a quarter of an octave; a group with few samples is close
to the next coarser one.

Expected load: some 7 requests per second and router, in at most a few
hundred groups in use.
"""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
import operator

import attrs

#: Lowest value that is told from zero, and steps per octave and in all: up to
#: 2**25 times the lowest, so seconds to an hour and events to a million.
MIN_VALUE = 1e-4
STEPS_PER_OCTAVE = 4
STEPS = 140

#: Samples that the coarser group is worth.
PRIOR_SAMPLES = 8.0

#: Samples after which one counts half.
HALF_LIFE_SAMPLES = 300

#: Largest number of groups that are kept.
MAX_GROUPS = 1024

#: Probability below which a request counts as longer than any before.
MIN_SHARE = 1e-3

_GROWTH = 0.5 ** (-1 / HALF_LIFE_SAMPLES)
_MAX_WEIGHT = 1e12


def _step(value: float) -> int:
    """Return the step of the histogram that a value is in.

    Examples
    --------
    >>> _step(0.0), _step(1e-4), _step(2e-4), _step(1e99)
    (0, 0, 4, 139)
    """
    if value <= MIN_VALUE:
        return 0
    step = STEPS_PER_OCTAVE * math.log2(value / MIN_VALUE)
    return min(int(step), STEPS - 1)


#: Value in the middle of each step.
_VALUES = tuple(
    MIN_VALUE * 2 ** ((step + 0.5) / STEPS_PER_OCTAVE) for step in range(STEPS)
)


@attrs.frozen
class Forecast:
    """Distribution of the work of one request.

    Parameters
    ----------
    shares : tuple of float
        Probability of each step of the histogram; they sum to 1.
    samples : float
        Weight of the requests behind it.
    """

    shares: tuple[float, ...]
    samples: float
    #: Probability of each step and all above, and their part of the mean.
    _above: tuple[float, ...] = attrs.field(init=False, eq=False, repr=False)
    _sums: tuple[float, ...] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        parts = map(operator.mul, _VALUES, self.shares)
        object.__setattr__(self, "_above", _sums_from(self.shares))
        object.__setattr__(self, "_sums", _sums_from(parts))

    @property
    def mean(self) -> float:
        """The expected value."""
        return self._sums[0]

    def quantile(self, share: float) -> float:
        """Return the value that this share of requests does not exceed."""
        total = 0.0
        for value, probability in zip(_VALUES, self.shares, strict=True):
            total += probability
            if total >= share:
                return value
        return _VALUES[-1]

    def share_below(self, value: float) -> float:
        """Return the probability of a value up to this one."""
        step = _step(value)
        return 1.0 - self._above[step] + 0.5 * self.shares[step]

    def remaining(self, done: float) -> float:
        """Return what is expected beyond what is done already.

        Examples
        --------
        >>> steps = range(STEPS)
        >>> half = tuple(0.5 if step in (40, 80) else 0.0 for step in steps)
        >>> forecast = Forecast(half, 20.0)
        >>> forecast.remaining(0.0) < forecast.remaining(1.0)
        True
        """
        if done <= 0:
            return self.mean
        # The rest of the step that it is in may be over.
        above = min(_step(done) + 1, STEPS - 1)
        if self._above[above] <= MIN_SHARE:
            # Longer than any before: as long again.
            return done
        return max(self._sums[above] / self._above[above] - done, 0.0)


def _sums_from(values: Iterable[float]) -> tuple[float, ...]:
    """Return the sums of each value and all after it."""
    backwards = itertools.accumulate(reversed(tuple(values)))
    return tuple(reversed(tuple(backwards)))


@attrs.define
class _Group:
    """Histogram of one group, in weights that grow instead of decaying.

    Parameters
    ----------
    weights : list of float
        Weight of each step.
    total : float
        Their sum.
    unit : float
        Weight of the next sample.
    """

    weights: list[float] = attrs.field(factory=lambda: [0.0] * STEPS)
    total: float = 0.0
    unit: float = 1.0

    @property
    def samples(self) -> float:
        return self.total / self.unit

    def add(self, step: int, share: float = 1.0) -> None:
        self.weights[step] += share * self.unit
        self.total += share * self.unit

    def age(self) -> None:
        """Let all samples count less by one."""
        self.unit *= _GROWTH
        if self.unit > _MAX_WEIGHT:
            self.weights = [weight / self.unit for weight in self.weights]
            self.total /= self.unit
            self.unit = 1.0


class Forecasts:
    """Distributions of one value, for each group.

    Parameters
    ----------
    typical : float
        Value that is expected before the first sample.

    Examples
    --------
    >>> forecasts = Forecasts(typical=1.0)
    >>> keys = ("s", "s/r", "s/r/o")
    >>> for _ in range(100):
    ...     forecasts.record(keys, 50.0)
    >>> round(forecasts.forecast(keys).quantile(0.5), -1)
    50.0
    """

    def __init__(self, typical: float):
        prior = [0.0] * STEPS
        middle = _step(typical)
        for step in range(STEPS):
            # A factor of four either way is as likely as one of two is often.
            prior[step] = 0.5 ** (abs(step - middle) / STEPS_PER_OCTAVE)
        total = sum(prior)
        self._prior = tuple(weight / total for weight in prior)
        # In the order of their last use.
        self._groups: dict[Hashable, _Group] = {}
        self._known: dict[Sequence[Hashable], Forecast] = {}

    def record(self, keys: Sequence[Hashable], value: float) -> None:
        """Record the work of a complete request.

        Parameters
        ----------
        keys : sequence of hashable
            Its groups, the coarsest first.
        value : float
            The work seen.
        """
        step = _step(value)
        for key in keys:
            group = self._group(key)
            group.add(step)
            group.age()
        self._known.clear()

    def record_censored(self, keys: Sequence[Hashable], value: float) -> None:
        """Record a request that was cut off: its work was at least this.

        Its weight goes to the larger values in proportion to what is known of
        them, or just beyond if it is the largest yet.
        """
        first = _step(value)
        shares = self.forecast(keys).shares
        beyond = sum(shares[first:])
        for key in keys:
            group = self._group(key)
            if beyond <= 0:
                group.add(min(first + STEPS_PER_OCTAVE, STEPS - 1))
            else:
                for step in range(first, STEPS):
                    if shares[step]:
                        group.add(step, shares[step] / beyond)
            group.age()
        self._known.clear()

    def forecast(self, keys: Sequence[Hashable]) -> Forecast:
        """Return the distribution for a request of these groups."""
        keys = tuple(keys)
        known = self._known.get(keys)
        if known is None:
            if len(self._known) >= MAX_GROUPS:
                self._known.clear()
            known = self._known[keys] = self._forecast(keys)
        return known

    def _forecast(self, keys: tuple[Hashable, ...]) -> Forecast:
        shares, samples = self._prior, 0.0
        for key in keys:
            group = self._groups.get(key)
            if group is None:
                continue
            samples = group.samples
            weight = 1 / (samples + PRIOR_SAMPLES)
            shares = tuple(
                weight * (own / group.unit + PRIOR_SAMPLES * coarse)
                for own, coarse in zip(group.weights, shares, strict=True)
            )
        return Forecast(shares, samples)

    def _group(self, key: Hashable) -> _Group:
        group = self._groups.pop(key, None) or _Group()
        self._groups[key] = group
        while len(self._groups) > MAX_GROUPS:
            del self._groups[next(iter(self._groups))]
        return group


def keys(service: str, route: str, organisation: str) -> tuple[Hashable, ...]:
    """Return the groups of a request, the coarsest first."""
    return (service,), (service, route), (service, route, organisation)
