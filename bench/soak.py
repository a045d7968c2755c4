"""Runs real nodes under random faults and checks the promises."""

import asyncio
import contextlib
import random
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Protocol

import attrs

from bench.soak_brittle import SoakBrittle, broken_times
from bench.soak_crashes import SoakCrashes, broken_counts
from bench.soak_faults import SoakFaults
from bench.soak_heads import SoakHeads
from bench.soak_limits import SoakLimits, broken_limits
from bench.soak_load import OK, Seen, SoakLoad
from bench.soak_lost import broken_stops
from bench.soak_notices import SoakNotices, broken_notices
from bench.soak_spans import SoakSpans
from bench.soak_unframed import SoakUnframed
from standins.agency.world import MODELS, AgencyWorld, open_agency

NODES = 3
LEDGERS = 2
PAUSE_S = (0.1, 0.8)
SETTLE_S = 5.0  # an election, a lost entry and a paused node
PROBES = 20


class Striker(Protocol):
    """Injects one fault after the other."""

    rng: random.Random

    async def strike(self) -> None:
        """Inject one and undo it."""


@attrs.frozen
class SoakResult:
    """What one seed showed; broken is empty when all promises held.

    crashed counts the targets that a request crashed, fallen those that had to
    turn away too much, turned_away the requests that brittle ones rejected.
    unframed counts the ends of answers without framing.
    """

    seed: int
    requests: int
    answered: int
    recovered: int
    crashed: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]
    turned_away: int = 0
    fallen: int = 0
    unframed: 'Counter[str]' = attrs.field(factory=Counter)


SoakRun = Callable[[int, Path], Coroutine[None, None, SoakResult]]


async def run_soak(seed: int, duration_s: float, folder: Path) -> SoakResult:
    """Run one seed for duration_s seconds of faults."""
    async with open_agency(folder) as world:
        await populate(world, NODES, copies_for(seed))
        heads = SoakHeads()
        heads.watch(world)
        load = SoakLoad(world, random.Random(seed + 1))
        crashes = SoakCrashes(
            world, random.Random(seed + 3), is_bare=seed % 2 == 0
        )
        calling = asyncio.create_task(load.run())
        crashing = asyncio.create_task(crashes.run())
        brittle = SoakBrittle(world, load, random.Random(seed + 5))
        unframed = SoakUnframed(world, SoakSpans(), random.Random(seed + 6))
        faults = await _strike_and_notify(brittle, unframed, seed, duration_s)
        await asyncio.sleep(SETTLE_S)
        await cancel(calling)
        await cancel(crashing)
        await load.finish()
        after = await probe(load)
        return SoakResult(
            seed=seed,
            requests=len(load.seen),
            answered=sum(one.status == OK for one in load.seen),
            recovered=sum(one.status == OK for one in after),
            crashed=len(world.crashed_s),
            fallen=sum(one.falls() for one in brittle.times),
            turned_away=sum(
                len(replica.turned_away_s)
                for replica in world.replicas.values()
            ),
            unframed=unframed.count(),
            faults=tuple(faults.history),
            broken=(
                *_find_broken(unframed, load, crashes),
                *broken_notices(world, load.sent, heads),
                *broken_times(brittle),
                *broken_counts(crashes, faults, after),
                *broken_stops(world, load, faults.spans),
                *broken_recovery(after),
            ),
        )


def run_seeds(seeds: list[int], run: SoakRun) -> Iterator[SoakResult]:
    """Run seeds one after the other; the folders with the logs are kept."""
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f'mimosa-soak-{seed}-'))
        yield asyncio.run(run(seed, folder))


async def probe(load: SoakLoad) -> list[Seen]:
    """Return what the last requests got, after all faults."""
    before = len(load.seen)
    await asyncio.gather(*(load.call() for _ in range(PROBES)))
    return load.seen[before:]


def broken_recovery(after: list[Seen]) -> Iterator[str]:
    """Return whether too few of the last requests are served."""
    recovered = sum(one.status == OK for one in after)
    if recovered < PROBES / 2:
        yield f'{recovered} of {PROBES} are served after the faults'


def _find_broken(
    unframed: SoakUnframed, load: SoakLoad, crashes: SoakCrashes
) -> Iterator[str]:
    """Yield the promises that were broken."""
    world = unframed.world
    yield from unframed.broken_promises(load.seen + crashes.seen)
    yield from broken_limits(world, load)


async def cancel(task: 'asyncio.Task[None]') -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def _strike_and_notify(
    brittle: SoakBrittle, unframed: SoakUnframed, seed: int, duration_s: float
) -> SoakFaults:
    """Inject faults, while targets leave, reject requests and name limits.

    Services are brittle for a time, and answers have no framing.
    """
    world = brittle.world
    faults = SoakFaults(world, random.Random(seed), spans=unframed.spans)
    notices = SoakNotices(world, random.Random(seed + 2))
    limits = SoakLimits(world, random.Random(seed + 4))
    tasks = [
        asyncio.create_task(notices.run()),
        asyncio.create_task(limits.run()),
        asyncio.create_task(brittle.run()),
        asyncio.create_task(unframed.run()),
    ]
    await strike(faults, duration_s)
    # On a slow VM, all answers so far may have been as usual.
    await unframed.wait_for_cut()
    await asyncio.gather(*map(cancel, tasks))
    return faults


def copies_for(seed: int) -> int:
    """Return the copies of each model; streams go on if there are two."""
    return 1 + seed % 2


async def populate(world: AgencyWorld, count: int, copies: int) -> None:
    """Start the targets, with so many copies of each model, and nodes."""
    models = MODELS * 2
    engines = (
        world.add_replica(
            f'engine-{model}',
            models={name: set() for name in models[place : place + copies]},
        )
        for place, model in enumerate(MODELS)
    )
    ledgers = (
        world.add_replica(f'ledger-{number}', service='ledger', slots=6)
        for number in range(LEDGERS)
    )
    await asyncio.gather(*engines, *ledgers)
    nodes = (world.add_node(f'node-{number}') for number in range(count))
    await asyncio.gather(*nodes)


async def strike(
    striker: Striker,
    duration_s: float,
    pause_s: tuple[float, float] = PAUSE_S,
) -> None:
    """Inject faults with pauses of random lengths, then wait for their ends."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    tasks = []
    while loop.time() < end_s:
        tasks.append(asyncio.create_task(striker.strike()))
        await asyncio.sleep(striker.rng.uniform(*pause_s))
    await asyncio.gather(*tasks)
