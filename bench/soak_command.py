"""The command that runs the soak."""

import logging
import secrets

import click

from bench.soak import SoakResult, run_seeds

FRESH_SEEDS = 1000000
DURATION_S = 8


@click.command()
@click.option('--seed', 'seeds', type=int, multiple=True)
@click.option('--fresh', type=int, default=0, help='Seeds drawn just now.')
@click.option('--duration-s', type=float, default=DURATION_S, show_default=True)
def soak(seeds: tuple[int, ...], fresh: int, duration_s: float) -> None:
    """Run real nodes under random faults; exit 1 if a promise was broken."""
    logging.disable(logging.CRITICAL)
    drawn = [secrets.randbelow(FRESH_SEEDS) for _ in range(fresh)]
    is_broken = False
    for outcome in run_seeds([*seeds, *drawn], duration_s):
        _show(outcome)
        is_broken = is_broken or bool(outcome.broken)
    if is_broken:
        click.get_current_context().exit(1)


def _show(outcome: SoakResult) -> None:
    click.echo(
        f'seed {outcome.seed}: {outcome.answered} of {outcome.requests} '
        f'answered, {outcome.recovered} after the faults, '
        f'{outcome.crashed} crashed targets'
    )
    faults = ' '.join(outcome.faults)
    click.echo(f'  faults: {faults}')
    for broken in outcome.broken:
        click.echo(f'  BROKEN: {broken}')
