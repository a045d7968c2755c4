"""Writes a configuration of a given size straight into the table."""

import asyncio
from collections.abc import Iterator, Sequence

import attrs

from mimosaworks.configs import ConfigStore
from mimosaworks.entities import (
    Catalogue,
    Entity,
    Key,
    Model,
    Route,
    Target,
    Workspace,
    digest_key,
    put_change,
)
from mimosaworks.errors import StoreConflictError
from mimosaworks.platform import platform_clients
from standins.cluster import Cluster
from standins.node import Node

AUTHOR = 'bench'
BATCH = 500
RATE = 1e9
MODEL = 'model-0'
MODEL_BYTES = 1000
ENGINE_MEMORY_BYTES = 16000000000
WORKSPACE = 'bench'
SECRET = 'bench-secret'  # noqa: S105 - a key of the stand-in configuration


@attrs.frozen
class CatalogueWriter:
    """Appends entities as configuration versions; tests and bench only."""

    store: ConfigStore

    async def put(self, entities: Sequence[Entity]) -> None:
        """Append entities in batches; a lost race is tried again."""
        changes = [put_change(entity) for entity in entities]
        starts = range(0, len(changes), BATCH)
        batches = [changes[start : start + BATCH] for start in starts]
        while batches:
            version = (await self.store.load(Catalogue())).version
            try:
                await self.store.append(version, batches[0], AUTHOR)
            except StoreConflictError:
                await asyncio.sleep(0)
                continue
            batches.pop(0)


def writer_for(cluster: Cluster) -> CatalogueWriter:
    """Return a writer to the cluster's platform."""
    platform = platform_clients(cluster.http, cluster.platform.url)
    return CatalogueWriter(ConfigStore(platform.table, platform.snapshots))


def base_entities(
    engines: Sequence[Node], services: Sequence[Node]
) -> Iterator[Entity]:
    """Yield a workspace, key, model, routes and the given targets."""
    yield Workspace(WORKSPACE, RATE, RATE)
    yield Key(WORKSPACE, digest_key(SECRET), WORKSPACE)
    yield Model(MODEL, 'ckpt', MODEL_BYTES, replicas_max=max(len(engines), 1))
    yield Route('chat', '/v1', 'models')
    yield Route('calls', '/calls', 'services', 'service', cost_tokens=1)
    for rank, engine in enumerate(engines):
        yield Target(
            f'e{rank}', engine.url, 'models', memory_bytes=ENGINE_MEMORY_BYTES
        )
    for rank, service in enumerate(services):
        yield Target(f's{rank}', service.url, 'services', 'service')
