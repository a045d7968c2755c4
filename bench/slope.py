"""Straight lines through measured points."""

import statistics
from collections.abc import Sequence

import attrs


@attrs.frozen
class Slope:
    """A fitted line: level at zero and increase for each unit of x."""

    level: float
    increase: float

    def at(self, amount: float) -> float:
        """Return the line's value at an amount of x."""
        return self.level + self.increase * amount


def fit_slope(points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through (x, y) points.

    Raises ValueError for fewer than two different x.
    """
    mean_x = statistics.fmean(point[0] for point in points)
    mean_y = statistics.fmean(point[1] for point in points)
    spread = sum((point[0] - mean_x) ** 2 for point in points)
    if not spread:
        raise ValueError('a line needs points at two different x')
    product = sum((point[0] - mean_x) * (point[1] - mean_y) for point in points)
    increase = product / spread
    return Slope(mean_y - increase * mean_x, increase)
