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
    sizes = [point[0] for point in points]
    if len(set(sizes)) < 2:
        raise ValueError('a line needs points at two different x')
    line = statistics.linear_regression(sizes, [point[1] for point in points])
    return Slope(line.intercept, line.slope)
