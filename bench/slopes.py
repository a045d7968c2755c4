"""Measures the slopes of docs/CAPACITY.md again."""

import pathlib
import tempfile
import types

import click

from bench.slope_report import SlopeReport
from bench.slopes_changes import measure_changes
from bench.slopes_members import measure_members
from bench.slopes_requests import measure_requests
from bench.slopes_state import measure_state
from bench.slopes_targets import measure_targets
from standins.running import run_tool

PARTS = types.MappingProxyType({
    'members': measure_members,
    'changes': measure_changes,
    'state': measure_state,
    'requests': measure_requests,
    'targets': measure_targets,
})


@click.command()
@click.option(
    '--part',
    'parts',
    multiple=True,
    type=click.Choice(list(PARTS)),
    help='Measure only this part; may be given several times.',
)
def slopes(parts: tuple[str, ...]) -> None:
    """Measure costs with small stand-ins and print the table."""
    report = SlopeReport()
    with tempfile.TemporaryDirectory() as log_dir:
        for name in parts or PARTS:
            click.echo(f'measuring {name}', err=True)
            run_tool(PARTS[name](pathlib.Path(log_dir), report))
    click.echo(report.table())
