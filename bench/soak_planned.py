"""Runs real nodes through planned work that overlaps, under steady callers."""

import asyncio
import random
from collections.abc import Iterator
from pathlib import Path

import attrs

from bench.soak import (
    SETTLE_S,
    SoakResult,
    broken_recovery,
    cancel,
    copies_for,
    populate,
    probe,
    strike,
)
from bench.soak_callers import EVENT_S, SoakCaller
from bench.soak_crashes import refused_bystanders
from bench.soak_extras import SoakExtras
from bench.soak_faults import SoakFaults
from bench.soak_load import OK, SoakLoad
from bench.soak_lost import broken_stops
from bench.soak_plans import SoakPlans, patient_state
from bench.soak_unframed import SoakUnframed
from standins.agency.world import AgencyWorld, open_agency

MIN_CALLERS = 24
CALLERS_A_NODE = 2
PLAN_PAUSE_S = (0.3, 2.0)
FAULT_PAUSE_S = (2.0, 5.0)  # most work meets no fault of its node
FAULTS = ('kill', 'pause', 'crash_target', 'hurt_target_link')


@attrs.frozen
class Scale:
    """How many nodes a soak has, how long these may take to stop, and it."""

    nodes: int = 4
    grace_s: float = 6.0
    duration_s: float = 10.0


async def run_planned(seed: int, folder: Path, scale: Scale) -> SoakResult:
    """Run one seed of planned work, with some faults beside it."""
    async with open_agency(folder) as world:
        faults = await _open(world, seed, scale)
        load = SoakLoad(world, random.Random(seed + 1))
        plans = SoakPlans(faults, random.Random(seed + 2))
        unframed = SoakUnframed(world, faults.spans, random.Random(seed + 4))
        callers = list(_callers(load, seed, scale))
        calling = asyncio.gather(*(caller.run() for caller in callers))
        others = [
            asyncio.create_task(work)
            for work in (
                load.run(),
                SoakExtras(world, faults.spans, random.Random(seed + 3)).run(),
                unframed.run(),
            )
        ]
        await asyncio.gather(
            strike(plans, scale.duration_s, PLAN_PAUSE_S),
            strike(faults, scale.duration_s, FAULT_PAUSE_S),
        )
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*map(cancel, others))
        for caller in callers:
            caller.is_over = True
        await asyncio.gather(calling, load.finish())
        after = await probe(load)
        return SoakResult(
            seed=seed,
            requests=len(load.seen),
            answered=sum(one.status == OK for one in load.seen),
            recovered=sum(one.status == OK for one in after),
            crashed=len(world.crashed_s),
            unframed=unframed.count(),
            faults=tuple(faults.history),
            broken=(
                *unframed.broken_promises(load.seen),
                *broken_stops(world, load, faults.spans),
                *broken_recovery(after),
                *refused_bystanders(after),
            ),
        )


async def _open(world: AgencyWorld, seed: int, scale: Scale) -> SoakFaults:
    rng = random.Random(seed)
    world.bounds['grace-s'] = scale.grace_s
    world.configure(patient_state(1))
    await populate(world, scale.nodes, copies_for(seed))
    for name in sorted(world.replicas):
        world.replicas[name].event_s = rng.choice(EVENT_S)
    return SoakFaults(world, rng, FAULTS, patient_state)


def _callers(load: SoakLoad, seed: int, scale: Scale) -> Iterator[SoakCaller]:
    for number in range(max(CALLERS_A_NODE * scale.nodes, MIN_CALLERS)):
        yield SoakCaller(
            load,
            random.Random(f'{seed} {number}'),
            f'caller-{number}',
            is_loyal=number % 2 == 0,
        )
