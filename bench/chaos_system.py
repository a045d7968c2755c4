"""The processes of a chaos run."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterator

import attrs

from bench.catalogue_writer import writer_for
from bench.chaos_keys import ChaosKeys
from bench.chaos_plan import (
    ENGINES,
    MODELS,
    PLACERS,
    ROUTERS,
    SERVICES,
    WORKSPACES,
)
from bench.chaos_unit import ChaosUnit
from bench.chaos_watch import ChaosWatch
from mimosaworks.entities import (
    Entity,
    Key,
    Model,
    Route,
    Target,
    Workspace,
    digest_key,
)
from standins.addresses import reserve_address
from standins.cluster import Cluster
from standins.node import Node

# Rate in tokens/s and burst: the load exceeds the last two.
GRANTS = ((1e6, 1e6), (120.0, 400.0), (40.0, 150.0))
MODEL_BYTES = 500000000
ENGINE_BYTES = 1200000000  # room for two models
REPLICAS_MAX = (2, 1, 1)
SERVICE_COST_TOKENS = 2
STEP_S = 0.02
IGNORES_FENCE = 'engine2'
ROUTER_FLAGS = ('--directory-max-age-s=0.5',)


@attrs.define
class ChaosSystem:
    """Started parts by name; proxies are those of the targets."""

    cluster: Cluster
    watch: ChaosWatch
    units: dict[str, ChaosUnit] = attrs.Factory(dict)
    proxies: dict[str, Node] = attrs.Factory(dict)
    services: dict[str, Node] = attrs.Factory(dict)

    async def start(self) -> ChaosKeys:
        """Start all parts and return the callers' keys."""
        await asyncio.gather(
            *map(self._start_engine, range(ENGINES)),
            *map(self._start_service, range(SERVICES)),
        )
        await writer_for(self.cluster).put(list(self._entities()))
        admin = await self.cluster.start_program('admin')
        await asyncio.gather(
            *(self._start_program('placer', rank) for rank in range(PLACERS)),
            *(self._start_program('router', rank) for rank in range(ROUTERS)),
        )
        secrets = {name: f'secret-{name}' for name in WORKSPACES}
        return ChaosKeys(admin.url, secrets)

    def routers(self) -> list[ChaosUnit]:
        """Return the routers."""
        return [self.units[f'router{rank}'] for rank in range(ROUTERS)]

    def engines(self) -> list[ChaosUnit]:
        """Return the engines."""
        return [self.units[f'engine{rank}'] for rank in range(ENGINES)]

    async def read_targets(self) -> None:
        """Have the watch read all targets."""
        await asyncio.gather(
            *map(self._read_engine, range(ENGINES)),
            *(
                self.watch.read_target(name, node)
                for name, node in self.services.items()
            ),
        )

    async def _read_engine(self, rank: int) -> None:
        name = f'engine{rank}'
        await self.watch.read_target(name, self.units[name].node)

    async def _start_engine(self, rank: int) -> None:
        name = f'engine{rank}'
        checks = name != IGNORES_FENCE
        start = functools.partial(
            self.cluster.start_engine,
            self.watch.journal(name),
            f'--checks-fence={checks}',
            f'--memory-bytes={ENGINE_BYTES}',
            f'--step-s={STEP_S}',
            address=reserve_address(),
        )
        unit = await self._start_unit(name, start)
        unit.before_kill = functools.partial(self._read_engine, rank)
        self.proxies[name] = await self.cluster.start_proxy(unit.node.address)

    async def _start_service(self, rank: int) -> None:
        name = f'service{rank}'
        node = await self.cluster.start_service(self.watch.journal(name))
        self.services[name] = node
        self.proxies[name] = await self.cluster.start_proxy(node.address)

    async def _start_program(self, kind: str, rank: int) -> None:
        flags = ROUTER_FLAGS if kind == 'router' else ()
        start = functools.partial(
            self.cluster.start_program,
            kind,
            *flags,
            address=reserve_address(),
            peer_address=reserve_address(),
        )
        await self._start_unit(f'{kind}{rank}', start)

    async def _start_unit(
        self, name: str, start: Callable[[], Awaitable[Node]]
    ) -> ChaosUnit:
        unit = ChaosUnit(name, await start(), start)
        self.units[name] = unit
        return unit

    def _entities(self) -> Iterator[Entity]:
        for name, (rate, burst) in zip(WORKSPACES, GRANTS, strict=True):
            yield Workspace(name, rate, burst)
            yield Key(name, digest_key(f'secret-{name}'), name)
        for name, most in zip(MODELS, REPLICAS_MAX, strict=True):
            yield Model(name, name, MODEL_BYTES, replicas_max=most)
        yield Route('chat', '/v1', 'models')
        yield Route(
            'calls',
            '/calls',
            'services',
            'service',
            cost_tokens=SERVICE_COST_TOKENS,
        )
        for name, proxy in self.proxies.items():
            is_engine = name.startswith('engine')
            yield Target(
                name,
                proxy.url,
                'models' if is_engine else 'services',
                'engine' if is_engine else 'service',
                memory_bytes=ENGINE_BYTES if is_engine else 0,
                checks_fence=is_engine and name != IGNORES_FENCE,
            )
