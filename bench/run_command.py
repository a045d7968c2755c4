"""Runs an experiment with a deployment's profile."""

import asyncio
import json
import pathlib
import random
import tempfile
from contextlib import AsyncExitStack
from typing import Any

import attrs
import click

from bench.fault_plan import FAULTS
from bench.idle_watch import IdleWatch
from bench.load_plan import LoadPlanner
from bench.load_run import LoadRun
from bench.machine_check import MachineCheck
from bench.outcome import Outcome
from bench.plots import plot_run
from bench.profile import Profile
from bench.profiles import profile_names, read_profile
from bench.run_summary import RunSummary, summarize
from bench.run_system import RunSystem, secret_of, start_run_system
from standins.cluster import open_cluster
from standins.running import run_tool

DEFAULT_DURATION_S = 90.0
DEFAULT_SEED = 20261203
FAULT_AT = 0.4  # share of the run


@attrs.frozen
class Experiment:
    """What to run and how long."""

    profile: Profile
    duration_s: float
    seed: int
    fault: str
    placer_flags: tuple[str, ...]
    router_flags: tuple[str, ...]
    out: pathlib.Path


@click.command()
@click.argument('profile', type=click.Choice(profile_names()))
@click.option('--duration-s', default=DEFAULT_DURATION_S, show_default=True)
@click.option('--seed', default=DEFAULT_SEED, show_default=True)
@click.option('--fault', type=click.Choice(list(FAULTS)), default='none')
@click.option(
    '--placer-flag',
    'placer_flags',
    multiple=True,
    help='For each mimosa-placer.',
)
@click.option(
    '--router-flag',
    'router_flags',
    multiple=True,
    help='For each mimosa-router.',
)
@click.option(
    '--out',
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path('results'),
    show_default=True,
    help='Folder for the JSON and the plot.',
)
def run(profile: str, **given: Any) -> None:
    """Load a deployment on stand-ins and print its measures."""
    experiment = Experiment(profile=read_profile(profile), **given)
    summary = run_tool(run_experiment(experiment))
    click.echo(json.dumps(attrs.asdict(summary), indent=2))


async def run_experiment(experiment: Experiment) -> RunSummary:
    """Start the deployment, load it, write JSON and plot."""
    experiment.out.mkdir(parents=True, exist_ok=True)
    profile = experiment.profile
    async with AsyncExitStack() as stack:
        log_dir = stack.enter_context(tempfile.TemporaryDirectory())
        cluster = await stack.enter_async_context(
            open_cluster(
                pathlib.Path(log_dir),
                f'--loads-per-s={profile.loads_per_s}',
                f'--loads-at-once={profile.loads_at_once}',
                '--bandwidth-bytes-s=10000000000',
            )
        )
        system = await start_run_system(
            cluster, profile, experiment.placer_flags, experiment.router_flags
        )
        idle = IdleWatch(cluster, system.engines)
        outcomes = await _load(experiment, system, idle)
    summary = summarize(profile, outcomes, idle)
    _write(experiment, outcomes, summary)
    return summary


async def _load(
    experiment: Experiment, system: RunSystem, idle: IdleWatch
) -> list[Outcome]:
    profile = experiment.profile
    rng = random.Random(experiment.seed)
    plan = list(LoadPlanner(profile, experiment.duration_s, rng).plan())
    click.echo(f'{len(plan)} requests in {experiment.duration_s} s', err=True)
    sender = LoadRun(
        system.cluster.http,
        {tenant.name: secret_of(tenant.name) for tenant in profile.tenants},
        [router.url for router in system.routers],
    )
    check = MachineCheck(system.cluster)
    check.start()
    background = [
        asyncio.create_task(idle.run()),
        asyncio.create_task(_inject(experiment, system)),
    ]
    outcomes = await sender.send_all(plan)
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    for line in check.lines(experiment.duration_s):
        click.echo(line, err=True)
    return outcomes


async def _inject(experiment: Experiment, system: RunSystem) -> None:
    await asyncio.sleep(experiment.duration_s * FAULT_AT)
    await FAULTS[experiment.fault](system, experiment.duration_s)


def _write(
    experiment: Experiment, outcomes: list[Outcome], summary: RunSummary
) -> None:
    parts = (experiment.profile.name, experiment.fault, experiment.seed)
    name = '-'.join(map(str, parts))
    fields = {
        'profile': experiment.profile.name,
        'fault': experiment.fault,
        'seed': experiment.seed,
        'placer_flags': experiment.placer_flags,
        'router_flags': experiment.router_flags,
        'summary': attrs.asdict(summary),
    }
    text = json.dumps(fields, indent=2)
    (experiment.out / f'{name}.json').write_text(text)
    plot_run(outcomes, summary, experiment.out / f'{name}.png')
