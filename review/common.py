"""What the scripts of this review share: the world and its nodes."""

import asyncio
import json
import os
import signal
import time
from pathlib import Path
from typing import Any

from standins.agency.world import AgencyWorld, NodeHandle
from standins.process import Process

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 30.0
# The platform restarts a process that has ended "after a short delay".
RESTART_DELAY_S = 0.5


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._begun_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{time.monotonic() - self._begun_s:8.3f} {text}\n')
        self._file.flush()


async def spawn_node(world: AgencyWorld, name: str, boot: dict[str, Any]) -> Process:
    """Start the program as the deploy file does; do not wait for it."""
    path = world.folder / f'{name}.json'
    path.write_text(json.dumps(boot))
    log = world.folder / f'{name}-{time.monotonic_ns()}.log'
    with log.open('wb') as output:
        child = await asyncio.create_subprocess_exec(
            'python3',
            'mimosa_node.py',
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': 'target/deps',
                'MIMOSAWORKS_BOOT': str(path),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=asyncio.subprocess.STDOUT,
        )
    process = Process(name, log, child)
    world.runner.started.append(process)
    world.stack.push_async_callback(process.kill)
    return process


async def wait_until_ready(node: NodeHandle) -> bool:
    """Wait until the node's ready address answers 200; False if it ended."""
    end_s = time.monotonic() + START_TIMEOUT_S
    while node.process.is_running() and time.monotonic() < end_s:
        try:
            async with world_get(node) as status:
                if status == 200:
                    return True
        except OSError:
            pass
        await asyncio.sleep(0.05)
    return False


class world_get:
    """A GET of /v1/ready on a connection of its own."""

    def __init__(self, node: NodeHandle) -> None:
        self._host, _, port = node.ready.rpartition(':')
        self._port = int(port)

    async def __aenter__(self) -> int:
        reader, self._writer = await asyncio.open_connection(self._host, self._port)
        self._writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
        line = await reader.readline()
        return int(line.split()[1]) if line else 0

    async def __aexit__(self, *_: object) -> None:
        self._writer.close()


async def add_node(world: AgencyWorld, name: str) -> NodeHandle:
    """Start a node and wait until it is ready; raises RuntimeError."""
    boot = world._boot(name)
    node = NodeHandle(await spawn_node(world, name, boot), boot)
    world.nodes.append(node)
    if not await wait_until_ready(node):
        raise RuntimeError(f'{name} did not start:\n{node.process.read_log()}')
    return node


def describe_end(code: int | None) -> str:
    """Return how a process ended."""
    if code is None:
        return 'runs'
    if code < 0:
        return f'ended by {signal.Signals(-code).name}'
    return f'exited with {code}'
