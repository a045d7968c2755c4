"""The command that runs the soak."""

import functools
import logging
import secrets
from pathlib import Path

import click

from bench.soak import SoakResult, run_seeds, run_soak
from bench.soak_planned import Scale, run_planned

FRESH_SEEDS = 1000000
DURATION_S = 8
NODES = 4
GRACE_S = 6


@click.command()
@click.option('--seed', 'seeds', type=int, multiple=True)
@click.option('--fresh', type=int, default=0, help='Seeds drawn just now.')
@click.option('--duration-s', type=float, default=DURATION_S, show_default=True)
@click.option(
    '--planned', is_flag=True, help='Planned work, under steady callers.'
)
@click.option(
    '--nodes',
    type=int,
    default=NODES,
    show_default=True,
    help='Nodes of a planned run.',
)
@click.option(
    '--grace-s',
    type=float,
    default=GRACE_S,
    show_default=True,
    help='Seconds from SIGTERM to SIGKILL in a planned run.',
)
def soak(
    seeds: tuple[int, ...],
    fresh: int,
    duration_s: float,
    nodes: int,
    grace_s: float,
    *,
    planned: bool,
) -> None:
    """Run real nodes under random faults; exit 1 if a promise was broken."""
    logging.disable(logging.CRITICAL)
    drawn = [secrets.randbelow(FRESH_SEEDS) for _ in range(fresh)]
    run = functools.partial(_run_faults, duration_s)
    if planned:
        scale = Scale(nodes, grace_s, duration_s)
        run = functools.partial(run_planned, scale=scale)
    is_broken = False
    for outcome in run_seeds([*seeds, *drawn], run):
        _show(outcome)
        is_broken = is_broken or bool(outcome.broken)
    if is_broken:
        click.get_current_context().exit(1)


async def _run_faults(duration_s: float, seed: int, folder: Path) -> SoakResult:
    return await run_soak(seed, duration_s, folder)


def _show(outcome: SoakResult) -> None:
    click.echo(
        f'seed {outcome.seed}: {outcome.answered} of {outcome.requests} '
        f'answered, {outcome.recovered} after the faults, '
        f'{outcome.crashed} crashed targets, '
        f'{outcome.turned_away} turned away, {outcome.fallen} falls'
    )
    ends = ', '.join(
        f'{end} {count}' for end, count in sorted(outcome.unframed.items())
    )
    click.echo(f'  without framing: {ends}')
    faults = ' '.join(outcome.faults)
    click.echo(f'  faults: {faults}')
    for broken in outcome.broken:
        click.echo(f'  BROKEN: {broken}')
