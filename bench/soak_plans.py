"""The planned work of a soak: stops, reloads and new desired states."""

import asyncio
import base64
import json
import random
import signal
from typing import Any

import attrs

from bench.soak_faults import SoakFaults
from standins.agency.world import AgencyWorld, NodeHandle, desired

KINDS = ('stop', 'stop', 'stop_with_signals', 'stop_many', 'reload')
LEASE_ROW = ('mimosaworks', '', 'dispatch-lease')
STREAM_LIMIT_MS = 12000  # longer than the longest streams


def patient_state(version: int) -> dict[str, Any]:
    """Return a desired state whose streams may last."""
    state = desired(version)
    for route in state['routes']:
        if route['kind'] == 'streaming':
            route['timeout-ms'] = STREAM_LIMIT_MS
    return state


@attrs.define(eq=False)
class SoakPlans:
    """Does planned work on nodes; several pieces of it may overlap."""

    faults: SoakFaults
    rng: random.Random

    @property
    def world(self) -> AgencyWorld:
        """What is worked on."""
        return self.faults.world

    async def strike(self) -> None:
        """Do one piece of work, which may meet others."""
        kind = self.rng.choice(KINDS)
        if self.rng.random() < 1 / 3:
            self.faults.configure()
        nodes = [node for node in self.world.nodes if node.process.is_running()]
        if nodes:
            self.faults.history.append(f'planned_{kind}')
            await getattr(self, f'_{kind}')(self.rng.choice(nodes))

    async def _stop(self, node: NodeHandle) -> None:
        await self.faults.stop(node)

    async def _stop_with_signals(self, node: NodeHandle) -> None:
        """Stop a node that gets more signals while it stops."""
        more = (signal.SIGTERM, signal.SIGHUP)
        await asyncio.gather(
            self.faults.stop(node),
            *(self._signal_later(node, number) for number in more),
        )

    async def _stop_many(self, node: NodeHandle) -> None:
        """Stop some nodes at once, with the holder among them."""
        others = [
            other
            for other in self.world.nodes
            if other is node
            or self._is_holder(other)
            or self.rng.random() < 1 / 4
        ]
        await asyncio.gather(*map(self.faults.stop, others))

    async def _reload(self, node: NodeHandle) -> None:
        node.process.child.send_signal(signal.SIGHUP)

    async def _signal_later(self, node: NodeHandle, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, node.grace_s))
        if node.process.is_running():
            node.process.child.send_signal(number)

    def _is_holder(self, node: NodeHandle) -> bool:
        _, text = self.world.store.rows.get(LEASE_ROW, (0, 'e30='))
        lease = json.loads(base64.b64decode(text))
        return bool(lease.get('holder') == node.process.name)
