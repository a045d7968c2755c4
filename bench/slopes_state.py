"""Memory of the configuration in a router."""

import asyncio
import pathlib

from bench.catalogue_writer import MODEL, base_entities, writer_for
from bench.slope import fit_slope
from bench.slope_report import SlopeReport
from bench.usage import read_usage
from mimosaworks.entities import Adapter, Entity, Key, digest_key
from standins.cluster import open_cluster

COUNTS = (0, 1000, 10000)
SETTLE_S = 4.0
ADAPTER_BYTES = 1000
BYTES_PER_MB = 1000000


async def measure_state(log_dir: pathlib.Path, report: SlopeReport) -> None:
    """Measure the resident set over the number of adapters and of keys."""
    await _measure_kind(log_dir, report, 'adapters')
    await _measure_kind(log_dir, report, 'keys')


async def _measure_kind(
    log_dir: pathlib.Path, report: SlopeReport, kind: str
) -> None:
    points: list[tuple[float, float]] = []
    pending = list(COUNTS)
    while pending:
        count = pending.pop(0)
        resident_mb = await _resident_mb(log_dir / f'{kind}-{count}', count)
        points.append((count, resident_mb * BYTES_PER_MB))
        report.add(f'router with {count} {kind}', resident_mb, 'MB')
    slope = fit_slope(points)
    report.add(f'router, for each of the {kind}', slope.increase, 'B')


async def _resident_mb(path: pathlib.Path, count: int) -> float:
    path.mkdir()
    make = _adapter if path.name.startswith('adapters') else _key
    async with open_cluster(path) as cluster:
        entities = list(base_entities((), ()))
        entities += [make(rank) for rank in range(count)]
        await writer_for(cluster).put(entities)
        router = await cluster.start_program('router')
        await asyncio.sleep(SETTLE_S)
        return read_usage(router).resident_mb


def _adapter(rank: int) -> Entity:
    return Adapter(f'adapter-{rank}', MODEL, ADAPTER_BYTES)


def _key(rank: int) -> Entity:
    return Key(f'key-{rank}', digest_key(str(rank)), 'bench')
