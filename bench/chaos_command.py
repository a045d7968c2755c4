"""Runs the system under several faults at once and checks its promises."""

import json
import pathlib
import tempfile

import click

from bench.chaos_oracle import violations
from bench.chaos_run import run_chaos
from standins.running import run_tool

DEFAULT_SEED = 1
DEFAULT_DURATION_S = 25.0


@click.command()
@click.option('--seed', default=DEFAULT_SEED, show_default=True)
@click.option('--duration-s', default=DEFAULT_DURATION_S, show_default=True)
@click.option(
    '--out',
    type=click.Path(path_type=pathlib.Path),
    help='New folder for logs; without it they are dropped.',
)
def chaos(seed: int, duration_s: float, out: pathlib.Path | None) -> None:
    """Hit all parts with faults under load and check the promises.

    Ends with code 1 when one was broken.
    """
    click.echo(f'seed {seed}')
    with tempfile.TemporaryDirectory() as dropped:
        folder = out or pathlib.Path(dropped)
        folder.mkdir(parents=True, exist_ok=True)
        record = run_tool(run_chaos(seed, duration_s, folder))
        click.echo(json.dumps(record.summary(), indent=2))
        broken = violations(record)
    for line in broken:
        click.echo(f'broken: {line}')
    if broken:
        raise click.exceptions.Exit(1)
    click.echo('all promises held')


if __name__ == '__main__':
    chaos()
