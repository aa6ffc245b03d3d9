"""Whether forecasts hold: where the values seen lie in them.  No I/O.

If a forecast is right, a tenth of the values seen lies in each tenth of it.
"""

import attrs

from toucanrudder.costs import forecast as forecasts

DECILES = 10

#: Values seen after which one counts half.
HALF_LIFE_SAMPLES = 1_000
_KEPT = 0.5 ** (1 / HALF_LIFE_SAMPLES)


@attrs.define
class Calibration:
    """Counts of the values seen by the decile of their forecast.

    Examples
    --------
    >>> calibration = Calibration()
    >>> calibration.shares()[0], calibration.error()
    (0.0, 0.0)
    """

    counts: list[float] = attrs.field(factory=lambda: [0.0] * DECILES)
    predicted: float = 0.0
    seen: float = 0.0

    def record(self, predicted: forecasts.Forecast, seen: float) -> None:
        """Record a value and what was forecast for it."""
        decile = int(DECILES * predicted.share_below(seen))
        self.counts = [_KEPT * count for count in self.counts]
        self.counts[min(decile, DECILES - 1)] += 1.0
        self.predicted = _KEPT * self.predicted + predicted.mean
        self.seen = _KEPT * self.seen + seen

    @property
    def samples(self) -> float:
        """Weight of the values seen."""
        return sum(self.counts)

    def shares(self) -> list[float]:
        """Return the share of the values seen in each decile."""
        total = self.samples or 1.0
        return [count / total for count in self.counts]

    def error(self) -> float:
        """Return the largest difference from the forecast's cumulated shares.

        0 for a perfect forecast, at most 1.
        """
        if not self.samples:
            return 0.0
        below, largest = 0.0, 0.0
        for number, share in enumerate(self.shares(), 1):
            below += share
            largest = max(largest, abs(below - number / DECILES))
        return largest

    def bias(self) -> float:
        """Return the mean forecast relative to the mean value seen."""
        return self.predicted / self.seen if self.seen else 1.0

    def text(self) -> str:
        """Return a line for operators.

        Examples
        --------
        >>> Calibration([1.0] * 10, 20.0, 10.0).text()
        'deciles 10 10 10 10 10 10 10 10 10 10 %, error 0.00, mean 2.00 x'
        """
        percents = " ".join(f"{100 * share:.0f}" for share in self.shares())
        return (
            f"deciles {percents} %, error {self.error():.2f}, "
            f"mean {self.bias():.2f} x"
        )
