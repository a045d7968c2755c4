"""Cost of a target for the placement shard's holder."""

import asyncio
import pathlib

from bench.catalogue_writer import base_entities, writer_for
from bench.curves import Curves
from bench.slope_report import SlopeReport
from bench.usage import Usage, read_usage
from standins.cluster import Cluster, open_cluster

COUNTS = (2, 8, 16)
SETTLE_S = 8.0
SAMPLE_S = 15.0


async def measure_targets(log_dir: pathlib.Path, report: SlopeReport) -> None:
    """Measure an idle holder over the number of engines that it polls."""
    curves = Curves()
    pending = list(COUNTS)
    while pending:
        count = pending.pop(0)
        path = log_dir / f'targets-{count}'
        path.mkdir()
        async with open_cluster(path) as cluster:
            used = await _measure(cluster, count)
        curves.note('processor, cores', count, used.cpu_s / SAMPLE_S)
        curves.note('traffic, B/s', count, used.moved_bytes / SAMPLE_S)
    for name, slope in curves.slopes().items():
        report.add(f'holder without targets, {name}', slope.level, '')
        report.add(f'holder for a target, {name}', slope.increase, '')


async def _measure(cluster: Cluster, count: int) -> Usage:
    engines = await asyncio.gather(
        *(cluster.start_engine() for _ in range(count))
    )
    await writer_for(cluster).put(list(base_entities(engines, ())))
    placer = await cluster.start_program('placer')
    await asyncio.sleep(SETTLE_S)
    before = read_usage(placer)
    await asyncio.sleep(SAMPLE_S)
    return read_usage(placer).since(before)
