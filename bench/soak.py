"""Runs real nodes under random faults and checks the promises."""

import asyncio
import contextlib
import random
import tempfile
from pathlib import Path

import attrs

from bench.soak_faults import SoakFaults
from bench.soak_load import OK, SoakLoad, broken_promises
from bench.soak_notices import SoakNotices, broken_notices
from standins.agency.world import MODELS, AgencyWorld, open_agency

NODES = 3
LEDGERS = 2
PAUSE_S = (0.1, 0.8)
SETTLE_S = 5.0  # an election, a lost entry and a paused node
PROBES = 20


@attrs.frozen
class SoakResult:
    """What one seed showed; broken is empty when all promises held."""

    seed: int
    requests: int
    answered: int
    recovered: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]


async def run_soak(seed: int, duration_s: float, folder: Path) -> SoakResult:
    """Run one seed for duration_s seconds of faults."""
    rng = random.Random(seed)
    async with open_agency(folder) as world:
        await _populate(world)
        load = SoakLoad(world, random.Random(seed + 1))
        calling = asyncio.create_task(load.run())
        history = await _strike_and_notify(world, rng, seed, duration_s)
        await asyncio.sleep(SETTLE_S)
        calling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await calling
        await load.finish()
        before = len(load.seen)
        await asyncio.gather(*(load.call() for _ in range(PROBES)))
        after = load.seen[before:]
        recovered = sum(one.status == OK for one in after)
        broken = broken_promises(world, load.seen)
        broken.extend(broken_notices(world, load.sent))
    if recovered < PROBES / 2:
        broken.append(f'{recovered} of {PROBES} are served after the faults')
    return SoakResult(
        seed=seed,
        requests=len(load.seen),
        answered=sum(one.status == OK for one in load.seen),
        recovered=recovered,
        faults=history,
        broken=tuple(broken),
    )


def run_seeds(seeds: list[int], duration_s: float) -> list[SoakResult]:
    """Run seeds one after the other; folders of failed ones are kept."""
    outcomes = []
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f'mimosa-soak-{seed}-'))
        outcomes.append(asyncio.run(run_soak(seed, duration_s, folder)))
    return outcomes


async def _strike_and_notify(
    world: AgencyWorld, rng: random.Random, seed: int, duration_s: float
) -> tuple[str, ...]:
    """Inject faults, while targets leave and reject requests."""
    faults = SoakFaults(world, rng)
    notices = SoakNotices(world, random.Random(seed + 2))
    noticing = asyncio.create_task(notices.run())
    await _strike(faults, duration_s)
    noticing.cancel()
    return tuple(faults.history)


async def _populate(world: AgencyWorld) -> None:
    engines = (
        world.add_replica(f'engine-{model}', models={model: set()})
        for model in MODELS
    )
    ledgers = (
        world.add_replica(f'ledger-{number}', service='ledger', slots=6)
        for number in range(LEDGERS)
    )
    await asyncio.gather(*engines, *ledgers)
    nodes = (world.add_node(f'node-{number}') for number in range(NODES))
    await asyncio.gather(*nodes)


async def _strike(faults: SoakFaults, duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    tasks = []
    while loop.time() < end_s:
        tasks.append(asyncio.create_task(faults.strike()))
        await asyncio.sleep(faults.rng.uniform(*PAUSE_S))
    await asyncio.gather(*tasks)
