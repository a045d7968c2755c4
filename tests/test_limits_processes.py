"""Proof over real processes that together they keep to the grant."""

import asyncio
import contextlib
import itertools
import pathlib
import socket
import sys
from collections.abc import Generator

import psutil

from mimosaworks.clock import DRIFT
from tests import limits_node

ROOT = pathlib.Path(__file__).parent.parent
RUN_S = 3.0
POLL_S = 0.05
CALLERS = (4, 1, 0)  # the last process only gives its tokens away


class Node:
    """A child process whose output goes to a file."""

    def __init__(self, place: int, addresses: list[str], out: pathlib.Path):
        self.out = out
        self.args = [str(CALLERS[place]), addresses[place], *addresses]
        self.process = self.start()

    def start(self) -> psutil.Popen:
        with self.out.open('ab') as out:
            return psutil.Popen(
                [sys.executable, '-m', 'tests.limits_node', *self.args],
                cwd=ROOT,
                stdout=out,
            )

    def end(self) -> None:
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        self.end()
        self.process = self.start()

    def times(self) -> list[float]:
        lines = self.out.read_text().splitlines()
        # A killed process may leave half a line.
        return [float(line) for line in lines if len(line) > 4]


@contextlib.contextmanager
def running(
    tmp_path: pathlib.Path, count: int
) -> Generator[list[Node], None, None]:
    """Run nodes on ports that the system chose."""
    with contextlib.ExitStack() as stack:
        socks = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
        ports = [sock.getsockname()[1] for sock in socks]
        addresses = [f'127.0.0.1:{port}' for port in ports]
        for sock in socks:
            sock.close()
        nodes = []
        for place in range(count):
            node = Node(place, addresses, tmp_path / f'{place}')
            stack.callback(node.end)
            nodes.append(node)
        yield nodes


def most_over_grant(times: list[float]) -> float:
    """Return the most by which any window exceeds burst + rate x w."""
    # Each dispatch is a drop of a bucket that starts full.
    level = limits_node.BURST
    lowest = level
    last = times[0]
    for at in times:
        refill = limits_node.RATE * (1 + DRIFT) * (at - last)
        level = min(limits_node.BURST, level + refill) - limits_node.COST
        lowest = min(lowest, level)
        last = at
    return -lowest


async def test_three_processes_keep_to_the_grant_through_a_crash(
    tmp_path: pathlib.Path,
) -> None:
    with running(tmp_path, 3) as nodes:
        while not (nodes[0].times() and nodes[1].times()):
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(RUN_S)
        nodes[0].restart()
        await asyncio.sleep(RUN_S)
        outputs = [node.times() for node in nodes]
    times = sorted(itertools.chain(*outputs))
    # A later decision may come between a dispatch and its line.
    assert most_over_grant(times) <= limits_node.COST
    assert len(times) * limits_node.COST > limits_node.RATE * RUN_S / 2


def test_the_count_notices_a_dispatch_too_many() -> None:
    count = int(limits_node.BURST / limits_node.COST)
    burst = [float(1) for _ in range(count)]
    assert most_over_grant(burst) <= 0
    assert most_over_grant([*burst, 1, 1]) > limits_node.COST
