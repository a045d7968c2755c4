"""Real nodes that each reach the store on a path of their own."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncGenerator, Callable, Iterable

import attrs

from standins.agency.world import AgencyWorld, NodeHandle
from standins.platform import StoreFaults, store_app
from tests.test_node_processes import holder_of, until, until_served

CALL_PAUSE_S = 0.02
TARGETS = 4
Fault = Callable[[StoreFaults, bool], None]


@attrs.define(eq=False)
class StorePaths:
    """Nodes, the faults of each one's path, and what their callers got.

    paths are the faults of the nodes' paths by the nodes' names.
    """

    world: AgencyWorld
    nodes: list[NodeHandle]
    paths: dict[str, StoreFaults]
    statuses: list[tuple[float, int]] = attrs.field(factory=list)

    def holder(self) -> NodeHandle:
        """Return the node that was elected last."""
        return holder_of(*self.nodes)

    def set_fault(
        self, fault: Fault, nodes: Iterable[NodeHandle], *, is_on: bool
    ) -> None:
        """Begin or end a fault on the paths of some nodes."""
        for node in nodes:
            fault(self.paths[node.boot['node-name']], is_on)

    def others(self, node: NodeHandle) -> list[NodeHandle]:
        """Return all nodes but one."""
        return [one for one in self.nodes if one is not node]

    def served_share(self, since_s: float, until_s: float) -> float:
        """Return the share of answers in a time that were successes."""
        found = [
            status
            for at_s, status in self.statuses
            if since_s <= at_s < until_s
        ]
        return sum(status == 200 for status in found) / max(len(found), 1)

    def arrivals(self, target: str, after_s: float) -> list[float]:
        """Return the requests that reached a target later than a time."""
        hits = self.world.replicas[target].hits
        return [
            hit.at_s for hit in hits if hit.request_id and hit.at_s > after_s
        ]

    @contextlib.asynccontextmanager
    async def callers(self) -> AsyncGenerator[None, None]:
        """Send requests to each node in turn in the background."""
        tasks = [
            asyncio.create_task(self._call(node, name))
            for name, node in enumerate(self.nodes)
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()

    async def _call(self, node: NodeHandle, name: int) -> None:
        for number in itertools.count():
            with contextlib.suppress(OSError):
                async with self.world.request(
                    node, '/look/x', f'c{name}-{number}'
                ) as resp:
                    await resp.read()
                    self.statuses.append((time.monotonic(), resp.status))
            await asyncio.sleep(CALL_PAUSE_S)


async def open_paths(world: AgencyWorld, nodes: int) -> StorePaths:
    """Start some plain targets, and nodes that are all served."""
    for number in range(TARGETS):
        await world.add_replica(f'ledger-{number}', service='ledger', slots=6)
    opened = StorePaths(world, [], {})
    starts = []
    for number in range(nodes):
        name = f'node-{number}'
        opened.paths[name] = StoreFaults()
        world.store_address = await world.serve(
            store_app(world.store, opened.paths[name])
        )
        starts.append(world.add_node(name, world._boot(name)))
    opened.nodes.extend(await asyncio.gather(*starts))
    for node in opened.nodes:
        await until_served(world, node)
    await until(lambda: bool(opened.holder().events('lease_taken')))
    return opened
