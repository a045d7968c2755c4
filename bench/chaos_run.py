"""Runs the system under several faults at once."""

import asyncio
import math
import random
from collections.abc import AsyncGenerator, Coroutine, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from bench.catalogue_writer import writer_for
from bench.chaos_ask import ChaosAsk
from bench.chaos_call import ChaosCall
from bench.chaos_injector import ChaosInjector
from bench.chaos_load import ChaosLoad
from bench.chaos_oracle_system import RECOVERY_S
from bench.chaos_plan import MODELS, plan_calls, plan_faults
from bench.chaos_record import ChaosRecord
from bench.chaos_system import ChaosSystem
from bench.chaos_unit import ChaosUnit
from bench.chaos_watch import ChaosWatch
from mimosaworks.clock import now_s
from mimosaworks.entities import Catalogue
from standins.cluster import open_cluster

PROBE_DEADLINE_S = 3.0
PROBE_TOKENS = 4
POLL_S = 0.2


async def run_chaos(seed: int, duration_s: float, folder: Path) -> ChaosRecord:
    """Run one chaos run and return its record; logs go to the folder."""
    journals = folder / 'journals'
    journals.mkdir()
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(open_cluster(folder))
        session = await stack.enter_async_context(_callers_session())
        system = ChaosSystem(cluster, ChaosWatch(cluster, journals))
        keys = await system.start()
        stack.push_async_callback(keys.close)
        load = ChaosLoad(
            session, system.routers(), keys, random.Random(seed + 1)
        )
        await asyncio.gather(
            *(_recover(load, unit) for unit in system.routers())
        )
        await stack.enter_async_context(
            _background(
                system.watch.follow_runs(),
                system.watch.follow_table(),
                keys.churn('left-'),
                keys.churn('right-'),
            )
        )
        return await _run(seed, duration_s, system, load)


async def _run(
    seed: int, duration_s: float, system: ChaosSystem, load: ChaosLoad
) -> ChaosRecord:
    rng = random.Random(seed)
    asks = list(plan_calls(rng, duration_s))
    faults = list(plan_faults(rng, duration_s))
    injector = ChaosInjector(system.cluster, system.units, system.proxies)
    load.started_s = now_s()
    sending = asyncio.create_task(load.send_all(asks))
    await injector.inject_all(faults)
    times_s = await asyncio.gather(
        *(_recover(load, unit) for unit in load.routers)
    )
    calls = await sending
    await system.read_targets()
    system.watch.read_runs()
    return ChaosRecord(
        seed=seed,
        calls=calls,
        faults=faults,
        system=system,
        keys=load.keys,
        recovered_s={
            unit.name: round(seconds, 2)
            for unit, seconds in zip(load.routers, times_s, strict=True)
        },
        final=await writer_for(system.cluster).store.load(Catalogue()),
    )


async def _recover(load: ChaosLoad, unit: ChaosUnit) -> float:
    """Return after how many seconds a router serves all models and posts."""
    started_s = now_s()
    rank = load.routers.index(unit)
    probe = ChaosAsk(
        f'probe-{unit.name}', 0, rank, 'wide', 'wide', PROBE_DEADLINE_S
    )
    chat = attrs.evolve(probe, model=MODELS[0], max_tokens=PROBE_TOKENS)
    while now_s() - started_s < RECOVERY_S + PROBE_DEADLINE_S:
        answers = await asyncio.gather(load.send(probe), load.send(chat))
        if all(_is_served(answer) for answer in answers):
            return now_s() - started_s
        await asyncio.sleep(POLL_S)
    return math.inf


def _is_served(call: ChaosCall) -> bool:
    return call.code() == 'ok'


def _callers_session() -> aiohttp.ClientSession:
    # A connection for each call: none is left over from a killed router.
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True)
    )


@asynccontextmanager
async def _background(
    *works: Coroutine[Any, Any, None],
) -> AsyncGenerator[None, None]:
    """Run works until the block ends."""
    tasks = [asyncio.create_task(work) for work in works]
    async with AsyncExitStack() as stack:
        stack.push_async_callback(_end, tasks)
        yield


async def _end(tasks: Sequence[asyncio.Task[None]]) -> None:
    """Cancel the tasks; raises what made one of them end before."""
    for task in tasks:
        task.cancel()
    for ended in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(ended, Exception):
            raise ended
