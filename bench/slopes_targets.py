"""Cost of a target for the placement shard's holder."""

import asyncio
import pathlib

from bench.catalogue_writer import base_entities, writer_for
from bench.curves import Curves
from bench.size_sweep import sweep_sizes
from bench.slope_report import SlopeReport
from bench.usage import read_usage
from standins.cluster import Cluster

COUNTS = (2, 8, 16)
SETTLE_S = 8.0
SAMPLE_S = 15.0


async def measure_targets(log_dir: pathlib.Path, report: SlopeReport) -> None:
    """Measure an idle holder over the number of engines that it polls."""
    curves = await sweep_sizes(log_dir, COUNTS, _measure)
    for name, slope in curves.slopes().items():
        report.add(f'holder without targets, {name}', slope.level, '')
        report.add(f'holder for a target, {name}', slope.increase, '')


async def _measure(cluster: Cluster, count: int, curves: Curves) -> None:
    engines = await asyncio.gather(
        *(cluster.start_engine() for _ in range(count))
    )
    await writer_for(cluster).put(list(base_entities(engines, ())))
    placer = await cluster.start_program('placer')
    await asyncio.sleep(SETTLE_S)
    before = read_usage(placer)
    await asyncio.sleep(SAMPLE_S)
    used = read_usage(placer).since(before)
    curves.note('processor, cores', count, used.cpu_s / SAMPLE_S)
    curves.note('traffic, B/s', count, used.moved_bytes / SAMPLE_S)
