"""The processes of the demo."""

import asyncio
import pathlib
from collections.abc import Callable
from contextlib import AsyncExitStack

import attrs

from bench.caller import Caller
from standins.cluster import Cluster, open_cluster
from standins.node import Node

ROUTERS = 3
PLACERS = 2
ADMINS = 2
ENGINES = 2
SERVICES = 2
STEP_FLAG = '--step-s=0.01'
ROUTER_FLAGS = ('--directory-max-age-s=1',)


@attrs.define
class DemoSystem:
    """Stand-ins and programs of one demo; caller holds the granted key."""

    cluster: Cluster
    log_dir: pathlib.Path
    say: Callable[[str], None]
    engines: dict[str, Node]
    services: dict[str, Node]
    routers: list[Node]
    placers: list[Node]
    admins: list[Node]
    caller: Caller


async def open_demo_system(
    stack: AsyncExitStack, log_dir: pathlib.Path, say: Callable[[str], None]
) -> DemoSystem:
    """Start everything; all of it stops with the stack."""
    cluster = await stack.enter_async_context(open_cluster(log_dir))
    engines = await asyncio.gather(
        *(cluster.start_engine(STEP_FLAG) for _ in range(ENGINES))
    )
    services = await asyncio.gather(
        *(cluster.start_service() for _ in range(SERVICES))
    )
    routers = await asyncio.gather(
        *(
            cluster.start_program('router', *ROUTER_FLAGS)
            for _ in range(ROUTERS)
        )
    )
    placers = await _start_several(cluster, 'placer', PLACERS)
    admins = await _start_several(cluster, 'admin', ADMINS)
    say(
        f'started platform, {ENGINES} engines, {SERVICES} services, '
        f'{ROUTERS} routers, {PLACERS} placers, {ADMINS} admins'
    )
    return DemoSystem(
        cluster=cluster,
        log_dir=log_dir,
        say=say,
        engines={f'e{rank}': node for rank, node in enumerate(engines)},
        services={f's{rank}': node for rank, node in enumerate(services)},
        routers=routers,
        placers=placers,
        admins=admins,
        caller=Caller(cluster.http),
    )


async def _start_several(
    cluster: Cluster, program: str, count: int
) -> list[Node]:
    return await asyncio.gather(
        *(cluster.start_program(program) for _ in range(count))
    )
