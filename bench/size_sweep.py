"""Measures one thing in clusters of several sizes."""

import pathlib
from collections.abc import Awaitable, Callable, Sequence

from bench.curves import Curves
from standins.cluster import Cluster, open_cluster

Measure = Callable[[Cluster, int, Curves], Awaitable[None]]


async def sweep_sizes(
    log_dir: pathlib.Path, sizes: Sequence[int], measure: Measure
) -> Curves:
    """Return the points that measure notes, one cluster after another.

    log_dir takes a folder of logs for each size.
    """
    curves = Curves()
    pending = list(sizes)
    while pending:
        size = pending.pop(0)
        path = log_dir / f'{measure.__module__}-{size}'
        path.mkdir()
        async with open_cluster(path) as cluster:
            await measure(cluster, size, curves)
    return curves
