"""Cost of a member as the number of members grows."""

import asyncio
import pathlib

from bench.catalogue_writer import base_entities, writer_for
from bench.curves import Curves
from bench.size_sweep import sweep_sizes
from bench.slope_report import SlopeReport
from bench.usage import Usage, mean_usage, read_usage
from standins.cluster import Cluster
from standins.node import Node

COUNTS = (4, 8, 16, 32)
SETTLE_S = 8.0
SAMPLE_S = 15.0
START_AT_ONCE = 8
PERCENT = 100


async def measure_members(log_dir: pathlib.Path, report: SlopeReport) -> None:
    """Measure idle routers in clusters of growing size."""
    curves = await sweep_sizes(log_dir, COUNTS, _measure)
    curves.report_points(report, 'routers')
    for name, slope in curves.slopes().items():
        report.add(f'{name}: level', slope.level, '')
        report.add(f'{name}: for each member', slope.increase, '')


async def _measure(cluster: Cluster, count: int, curves: Curves) -> None:
    routers = await start_routers(cluster, count)
    usage, stats = await _sample(cluster, routers)
    _note(curves, count, usage, stats)


async def start_routers(cluster: Cluster, count: int) -> list[Node]:
    """Start routers on a small configuration, in small groups."""
    await writer_for(cluster).put(list(base_entities((), ())))
    routers: list[Node] = []
    while len(routers) < count:
        group = min(START_AT_ONCE, count - len(routers))
        routers += await asyncio.gather(
            *(cluster.start_program('router') for _ in range(group))
        )
    return routers


async def _sample(
    cluster: Cluster, routers: list[Node]
) -> tuple[Usage, dict[str, int]]:
    await asyncio.sleep(SETTLE_S)
    before = [read_usage(node) for node in routers]
    stats_before = await cluster.get_json(cluster.platform, '/stats')
    await asyncio.sleep(SAMPLE_S)
    after = [read_usage(node) for node in routers]
    stats_after = await cluster.get_json(cluster.platform, '/stats')
    used = [
        late.since(early) for late, early in zip(after, before, strict=True)
    ]
    counted = {
        name: stats_after[name] - stats_before[name]
        for name in ('reads', 'commits')
    }
    return mean_usage(used), counted


def _note(
    curves: Curves, count: int, usage: Usage, stats: dict[str, int]
) -> None:
    cpu_percent = usage.cpu_s / SAMPLE_S * PERCENT
    curves.note('processor of each, % of a core', count, cpu_percent)
    moved = usage.moved_bytes / SAMPLE_S
    curves.note('control traffic of each, B/s', count, moved)
    curves.note('resident set of each, MB', count, usage.resident_mb)
    curves.note('table reads of all, /s', count, stats['reads'] / SAMPLE_S)
    commits = stats['commits'] / SAMPLE_S
    curves.note('table commits of all, /s', count, commits)
