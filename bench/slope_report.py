"""Measured figures for the capacity page."""

import attrs


@attrs.define
class SlopeReport:
    """Lines of (figure, value with unit) in the order of measurement."""

    lines: list[tuple[str, str]] = attrs.field(factory=list)

    def add(self, figure: str, measured: float, unit: str) -> None:
        """Note one figure."""
        rounded = format(measured, '.4g')
        self.lines.append((figure, f'{rounded} {unit}'))

    def table(self) -> str:
        """Return a Markdown table."""
        rows = [f'| {figure} | {value} |' for figure, value in self.lines]
        return '\n'.join(('| figure | measured |', '| --- | --- |', *rows))
