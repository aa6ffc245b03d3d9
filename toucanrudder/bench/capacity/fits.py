"""Lines through measured points."""

from collections.abc import Sequence

import attrs
import numpy as np


@attrs.frozen
class Fit:
    """A line ``y = intercept + slope * x`` and how well it fits.

    Parameters
    ----------
    slope, intercept : float
        The line.
    slope_error : float
        Standard error of the slope; infinite with two points.
    worst : float
        Largest distance of a point from the line, as a share of the
        largest `y`.
    """

    slope: float
    intercept: float
    slope_error: float
    worst: float

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * x


def fit(x: Sequence[float], y: Sequence[float]) -> Fit:
    """Return the line of least squares.

    Examples
    --------
    >>> line = fit([1, 2, 3], [3, 5, 7])
    >>> round(line.slope, 6), round(line.intercept, 6)
    (2.0, 1.0)
    """
    xs, ys = np.asarray(x, float), np.asarray(y, float)
    slope, intercept = np.polyfit(xs, ys, 1)
    rest = ys - (intercept + slope * xs)
    spread = float(((xs - xs.mean()) ** 2).sum())
    freedom = len(xs) - 2
    error = float("inf")
    if freedom > 0:
        error = float(np.sqrt((rest**2).sum() / freedom / spread))
    largest = float(np.abs(ys).max()) or 1.0
    return Fit(
        float(slope),
        float(intercept),
        error,
        float(np.abs(rest).max()) / largest,
    )
