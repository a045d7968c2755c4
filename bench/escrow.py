"""Measures refusals and messages of escrowed tokens against other ways.

The decisions are the real ones; clock and network are simulated.
"""

import itertools
import random
from collections.abc import Iterator

import attrs
import click

from bench.escrow_fleet import WORKSPACE, Case, Fleet, Tally

MEMBERS = 8
SYSTEMS = (
    ('static split', Case(MEMBERS, False, False, 0, is_spread=False)),
    ('one owner', Case(1, False, True, 0, is_spread=False)),
    ('escrow', Case(MEMBERS, True, False, 0, is_spread=False)),
)
LOADS = (0.8, 0.95, 3.0)
CRASH_EVERY_S = 60.0
DURATION_S = 600.0


@click.command()
@click.option('--seeds', default=1, show_default=True, help='Runs per case.')
@click.option(
    '--duration-s',
    default=DURATION_S,
    show_default=True,
    help='Simulated seconds.',
)
def escrow(seeds: int, duration_s: float) -> None:
    """Print the share refused and messages a request for each case."""
    rate = WORKSPACE.rate_tokens_per_s
    burst = WORKSPACE.burst_tokens
    click.echo(f'{MEMBERS} members, {rate} tokens/s, burst {burst}')
    click.echo(
        'system, callers, crashes, load: percent refused, transfer and balance'
        ' messages a request, tokens/s dispatched'
    )
    for name, system in SYSTEMS:
        for case in _cases(system):
            click.echo(f'{name}, {_measure(case, seeds, duration_s)}')


def _cases(system: Case) -> Iterator[Case]:
    # It makes no difference to an owner where the callers are.
    spreads = (True,) if system.via_owner else (False, True)
    for is_spread, load in itertools.product(spreads, LOADS):
        case = attrs.evolve(system, load=load, is_spread=is_spread)
        yield case
        if load < 1:
            yield attrs.evolve(case, crash_every_s=CRASH_EVERY_S)


def _measure(case: Case, seeds: int, duration_s: float) -> str:
    total = Tally()
    for seed in range(seeds):
        total.add(_run(case, seed, duration_s))
    callers = 'spread' if case.is_spread else 'at one'
    crashes = 'crashes' if case.crash_every_s else 'none'
    columns = total.columns(seeds * duration_s)
    return f'{callers}, {crashes}, {case.load}: {columns}'


def _run(case: Case, seed: int, duration_s: float) -> Tally:
    # All systems get the same requests.
    rng = random.Random(seed)
    choice_rng = random.Random(f'choice {seed}')
    return Fleet(case, rng, choice_rng).run(duration_s)


if __name__ == '__main__':
    escrow()
