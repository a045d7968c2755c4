"""Plots of one run."""

import pathlib
from collections.abc import Sequence

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from bench.outcome import Outcome
from bench.run_summary import RunSummary

WIDTH_IN = 9
HEIGHT_IN = 7
MARKER_SIZE = 8


def plot_run(
    outcomes: Sequence[Outcome], summary: RunSummary, path: pathlib.Path
) -> None:
    """Write a PNG: first tokens over time, and service by workspace."""
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN))
    upper, lower = figure.subplots(2, 1)
    chats = [out for out in outcomes if out.is_answered and out.ask.model]
    _scatter(upper, 'warm', [out for out in chats if not out.was_cold])
    _scatter(upper, 'cold', [out for out in chats if out.was_cold])
    upper.set_xlabel('time of the request, s')
    upper.set_ylabel('first token, s')
    upper.set_yscale('log')
    upper.legend()
    names = list(summary.service_by_workspace)
    lower.bar(names, [summary.service_by_workspace[name] for name in names])
    lower.set_ylabel('tokens served of those inside the rate')
    figure.tight_layout()
    figure.savefig(path)


def _scatter(axes: Axes, label: str, points: Sequence[Outcome]) -> None:
    times = [out.ask.at_s for out in points]
    first_tokens = [out.first_s for out in points]
    axes.scatter(times, first_tokens, s=MARKER_SIZE, label=label)
