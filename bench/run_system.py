"""The processes of an experiment."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence

import attrs

from bench.catalogue_writer import writer_for
from bench.profile import Profile
from mimosaworks.entities import (
    Adapter,
    Entity,
    Key,
    Model,
    Route,
    Target,
    Workspace,
    digest_key,
)
from standins.cluster import Cluster
from standins.node import Node

PLACERS = 2
ADAPTER_BYTES = 50000000
SETTLE_S = 12.0


@attrs.define
class RunSystem:
    """Started stand-ins and programs; engine proxies add the delay."""

    cluster: Cluster
    engines: list[Node]
    routers: list[Node]
    placers: list[Node]


async def start_run_system(
    cluster: Cluster,
    profile: Profile,
    placer_flags: Sequence[str],
    router_flags: Sequence[str],
) -> RunSystem:
    """Start all of a profile and return when it has settled."""
    engines = await _started(
        lambda: _start_engine(cluster, profile), profile.engines
    )
    services = await _started(cluster.start_service, profile.services)
    proxies = await asyncio.gather(
        *(_delayed(cluster, profile, node) for node in engines)
    )
    entities = list(_entities(profile, proxies, services))
    await writer_for(cluster).put(entities)
    placers = await _started(
        lambda: cluster.start_program('placer', *placer_flags), PLACERS
    )
    routers = await _started(
        lambda: cluster.start_program('router', *router_flags),
        profile.routers,
    )
    await asyncio.sleep(SETTLE_S)
    return RunSystem(cluster, engines, routers, placers)


def secret_of(workspace: str) -> str:
    """Return the key that the bench uses for a workspace."""
    return f'bench-{workspace}'


async def _started(
    start: Callable[[], Awaitable[Node]], count: int
) -> list[Node]:
    return await asyncio.gather(*(start() for _ in range(count)))


async def _start_engine(cluster: Cluster, profile: Profile) -> Node:
    return await cluster.start_engine(f'--memory-bytes={profile.engine_bytes}')


async def _delayed(cluster: Cluster, profile: Profile, node: Node) -> Node:
    proxy = await cluster.start_proxy(node.address)
    await cluster.control(proxy, delay_s=profile.delay_s)
    return proxy


def _entities(
    profile: Profile, engines: Sequence[Node], services: Sequence[Node]
) -> Iterator[Entity]:
    for tenant in profile.tenants:
        name = tenant.name
        yield Workspace(name, tenant.rate_tokens_per_s, tenant.burst_tokens)
        yield Key(name, digest_key(secret_of(name)), name)
    for rank in range(profile.models):
        yield Model(
            f'model-{rank}',
            f'ckpt-{rank}',
            profile.model_bytes,
            replicas_max=2,
        )
    for rank in range(profile.adapters):
        base = rank % profile.models
        yield Adapter(f'adapter-{rank}', f'model-{base}', ADAPTER_BYTES)
    yield Route('chat', '/v1', 'models')
    yield Route('calls', '/calls', 'services', 'service', cost_tokens=1)
    for rank, node in enumerate(engines):
        yield Target(
            f'e{rank}',
            node.url,
            'models',
            memory_bytes=profile.engine_bytes,
            checks_fence=True,
        )
    for rank, node in enumerate(services):
        yield Target(f's{rank}', node.url, 'services', 'service')
