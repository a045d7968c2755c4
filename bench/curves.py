"""Points of several figures over one size, and their slopes."""

import attrs

from bench.slope import Slope, fit_slope


@attrs.define
class Curves:
    """Measured points by figure; x is the size that was varied."""

    points: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)

    def note(self, figure: str, size: float, measured: float) -> None:
        """Add a point."""
        self.points.setdefault(figure, []).append((size, measured))

    def slopes(self) -> dict[str, Slope]:
        """Return the fitted line of each figure."""
        return {
            figure: fit_slope(points) for figure, points in self.points.items()
        }
