"""Processor time of a router for requests and relayed tokens."""

import asyncio
import functools
import pathlib
import time
from collections.abc import Awaitable, Callable, Iterator

import attrs

from bench.caller import Caller, Reply
from bench.catalogue_writer import (
    MODEL,
    MODEL_BYTES,
    SECRET,
    base_entities,
    writer_for,
)
from bench.curves import Curves
from bench.slope_report import SlopeReport
from bench.usage import read_usage
from standins.cluster import Cluster, open_cluster
from standins.node import Node

CALLS = 2000
STREAMS = 200
CALLERS = 16
TOKEN_COUNTS = (1, 50, 100)
US_PER_S = 1000000
READY_S = 30.0
POLL_S = 0.1
SERVE_STATUS = 200


@attrs.define
class _Load:
    """A router under load and its caller."""

    router: Node
    caller: Caller

    async def run(
        self, count: int, send: Callable[[], Awaitable[Reply]]
    ) -> tuple[float, float]:
        """Send count requests; return cpu and wall seconds for each."""
        left = iter(range(count))
        cpu_s = read_usage(self.router).cpu_s
        started_s = time.monotonic()
        senders = (_send_all(left, send) for _ in range(CALLERS))
        await asyncio.gather(*senders)
        wall_s = time.monotonic() - started_s
        used_s = read_usage(self.router).cpu_s - cpu_s
        return used_s / count, wall_s / count


async def measure_requests(log_dir: pathlib.Path, report: SlopeReport) -> None:
    """Measure service calls and streams of several lengths."""
    path = log_dir / 'requests'
    path.mkdir()
    async with open_cluster(path) as cluster:
        load = await _start_load(cluster)
        await _measure_calls(load, report)
        await _measure_streams(load, report)


async def _measure_calls(load: _Load, report: SlopeReport) -> None:
    url = load.router.url
    send = functools.partial(load.caller.post, f'{url}/calls', data=b'x')
    cpu_s, wall_s = await load.run(CALLS, send)
    report.add('router, a service call', cpu_s * US_PER_S, 'us of a core')
    report.add('service calls through one router', 1 / wall_s, '/s')


async def _measure_streams(load: _Load, report: SlopeReport) -> None:
    curves = Curves()
    lengths = list(TOKEN_COUNTS)
    while lengths:
        tokens = lengths.pop(0)
        cpu_s, _ = await load.run(STREAMS, _chat(load, tokens))
        curves.note('stream', tokens, cpu_s * US_PER_S)
    slope = curves.slopes()['stream']
    report.add('router, a stream without tokens', slope.level, 'us of a core')
    report.add('router, a relayed token', slope.increase, 'us of a core')


async def _start_load(cluster: Cluster) -> _Load:
    engine = await cluster.start_engine(
        f'--preload={MODEL}={MODEL_BYTES}', '--step-s=0.001'
    )
    service = await cluster.start_service()
    entities = list(base_entities([engine], [service]))
    await writer_for(cluster).put(entities)
    router = await cluster.start_program('router')
    await cluster.start_program('placer')
    load = _Load(router, Caller(cluster.http, SECRET))
    async with asyncio.timeout(READY_S):
        while not await _is_serving(load):
            await asyncio.sleep(POLL_S)
    return load


async def _is_serving(load: _Load) -> bool:
    reply = await _chat(load, 1)()
    return reply.status == SERVE_STATUS


def _chat(load: _Load, tokens: int) -> Callable[[], Awaitable[Reply]]:
    return functools.partial(
        load.caller.chat, load.router.url, MODEL, 'x', tokens
    )


async def _send_all(
    left: Iterator[int], send: Callable[[], Awaitable[Reply]]
) -> None:
    while next(left, None) is not None:
        reply = await send()
        if reply.status != SERVE_STATUS:
            raise RuntimeError(f'load was refused: {reply.body!r}')
