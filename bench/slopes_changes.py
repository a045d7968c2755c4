"""Cost of a configuration change for each member."""

import asyncio
import pathlib
import time
from statistics import fmean

from bench.curves import Curves
from bench.size_sweep import sweep_sizes
from bench.slope_report import SlopeReport
from bench.slopes_members import start_routers
from bench.usage import Usage, mean_usage, read_usage
from standins.cluster import OPERATOR_TOKEN, Cluster
from standins.node import Node

COUNTS = (4, 16)
CHANGES = 40
SETTLE_S = 8.0
MS_PER_S = 1000
ADMIN_FIGURE = 'admin, processor in a change, ms'


async def measure_changes(log_dir: pathlib.Path, report: SlopeReport) -> None:
    """Measure time to be in force, processor and bytes for each change."""
    curves = await sweep_sizes(log_dir, COUNTS, _measure)
    curves.report_points(report, 'routers')
    slope = curves.slopes()[ADMIN_FIGURE]
    report.add(f'{ADMIN_FIGURE}, for each member', slope.increase, '')


async def _measure(cluster: Cluster, count: int, curves: Curves) -> None:
    routers = await start_routers(cluster, count)
    admin = await cluster.start_program('admin')
    await asyncio.sleep(SETTLE_S)
    before = [read_usage(node) for node in routers]
    admin_before_s = read_usage(admin).cpu_s
    times_ms: list[float] = []
    while len(times_ms) < CHANGES:
        times_ms.append(await _change(cluster, admin, len(times_ms)))
    used = mean_usage([
        read_usage(node).since(early)
        for node, early in zip(routers, before, strict=True)
    ])
    admin_ms = (read_usage(admin).cpu_s - admin_before_s) * MS_PER_S
    curves.note(ADMIN_FIGURE, count, admin_ms / CHANGES)
    curves.note('a change in force, mean ms', count, fmean(times_ms))
    curves.note('a change in force, worst ms', count, max(times_ms))
    _note_router(curves, count, used)


def _note_router(curves: Curves, count: int, used: Usage) -> None:
    router_ms = used.cpu_s / CHANGES * MS_PER_S
    curves.note('router, processor in a change, ms', count, router_ms)
    moved = used.moved_bytes / CHANGES
    curves.note('router, bytes in a change', count, moved)


async def _change(cluster: Cluster, admin: Node, rank: int) -> float:
    started_s = time.monotonic()
    fields = {'rate_tokens_per_s': 1000.0 + rank, 'burst_tokens': 1000.0}
    async with cluster.http.put(
        f'{admin.url}/admin/v1/workspaces/changing',
        json={'name': 'changing', **fields},
        headers={
            'Authorization': f'Bearer {OPERATOR_TOKEN}',
            'If-Match': '*',
        },
    ) as resp:
        resp.raise_for_status()
        await resp.read()
    return (time.monotonic() - started_s) * MS_PER_S
