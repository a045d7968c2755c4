"""Points of several figures over one size, and their slopes."""

import attrs

from bench.slope import Slope, fit_slope
from bench.slope_report import SlopeReport

Points = list[tuple[float, float]]


@attrs.define
class Curves:
    """Measured points by figure; x is the size that was varied."""

    points: dict[str, Points] = attrs.field(factory=dict)

    def note(self, figure: str, size: float, measured: float) -> None:
        """Add a point."""
        self.points.setdefault(figure, []).append((size, measured))

    def report_points(self, report: SlopeReport, unit: str) -> None:
        """Add each point to a report; unit names what x counts."""
        for figure, points in self.points.items():
            for size, measured in points:
                report.add(f'{size:.0f} {unit}, {figure}', measured, '')

    def slopes(self) -> dict[str, Slope]:
        """Return the fitted line of each figure."""
        return {
            figure: fit_slope(points) for figure, points in self.points.items()
        }
