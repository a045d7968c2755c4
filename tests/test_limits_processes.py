"""Test with several processes that together they do not exceed the grant."""

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
OUTPUT_CHECK_INTERVAL_S = 0.05
# By process; the last one only grants its tokens to the others.
CALLERS = (4, 1, 0)


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

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        self.kill()
        self.process = self.start()

    def read_decision_times(self) -> list[float]:
        lines = self.out.read_text().splitlines()
        # A killed process may leave an incomplete line.
        return [float(line) for line in lines if len(line) > 4]


@contextlib.contextmanager
def run_nodes(
    tmp_path: pathlib.Path, count: int
) -> Generator[list[Node], None, None]:
    """Run nodes on ports that the operating system assigns."""
    with contextlib.ExitStack() as stack:
        socks = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
        ports = [sock.getsockname()[1] for sock in socks]
        addresses = [f'127.0.0.1:{port}' for port in ports]
        for sock in socks:
            sock.close()
        nodes = []
        for place in range(count):
            node = Node(place, addresses, tmp_path / f'{place}')
            stack.callback(node.kill)
            nodes.append(node)
        yield nodes


def find_largest_excess(times: list[float]) -> float:
    """Return the largest excess of any window over the grant.

    The grant is burst + rate x w tokens in a window of w seconds.
    """
    # Each dispatch takes its cost from a bucket that starts full.
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
    with run_nodes(tmp_path, 3) as nodes:
        while not (
            nodes[0].read_decision_times() and nodes[1].read_decision_times()
        ):
            await asyncio.sleep(OUTPUT_CHECK_INTERVAL_S)
        await asyncio.sleep(RUN_S)
        nodes[0].restart()
        await asyncio.sleep(RUN_S)
        outputs = [node.read_decision_times() for node in nodes]
    times = sorted(itertools.chain(*outputs))
    # Another decision may be made between a dispatch and its output line.
    assert find_largest_excess(times) <= limits_node.COST
    assert len(times) * limits_node.COST > limits_node.RATE * RUN_S / 2


def test_the_count_notices_a_dispatch_too_many() -> None:
    count = int(limits_node.BURST / limits_node.COST)
    burst = [float(1) for _ in range(count)]
    assert find_largest_excess(burst) <= 0
    assert find_largest_excess([*burst, 1, 1]) > limits_node.COST
