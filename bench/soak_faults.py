"""The faults that a soak injects, drawn from a seed."""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import attrs

from bench.soak_load import place_of
from bench.soak_spans import STORE, SoakSpans, Stop
from standins.agency.world import KEY, AgencyWorld, NodeHandle, desired
from standins.faultproxy.proxy import Proxy

KINDS = (
    'kill',
    'pause',
    'stop',
    'reload',
    'hurt_store',
    'hurt_store_link',
    'hurt_target_link',
    'crash_target',
    'configure',
)
SHORT_S = (0.2, 1.5)
RESTART_S = (0.1, 0.6)
DELAY_S = 0.25


@attrs.define(eq=False)
class SoakFaults:
    """Hits nodes, store and targets; several faults may overlap.

    kinds are the faults to draw from, state gives the desired state of a
    version. history tells what was done, for the report of a seed that failed,
    spans who was disturbed from when to when.
    """

    world: AgencyWorld
    rng: random.Random
    kinds: tuple[str, ...] = KINDS
    state: Callable[[int], dict[str, Any]] = desired
    version: int = 1
    history: list[str] = attrs.field(factory=list)
    spans: SoakSpans = attrs.field(factory=SoakSpans)

    async def strike(self) -> None:
        """Inject one fault and undo it."""
        kind = self.rng.choice(self.kinds)
        if not self.world.nodes:
            return  # All are being started again.
        self.history.append(kind)
        await getattr(self, f'_{kind}')()

    async def stop(self, node: NodeHandle) -> None:
        """Stop a node as the platform does, and start it again."""
        name = node.process.name
        with self.spans.disturb(name, is_planned=True):
            begun_s = time.monotonic()
            in_time = await node.stop()
            gone_s = time.monotonic()
            self.spans.stops.append(
                Stop(place_of(node), begun_s, gone_s, not in_time)
            )
            await self._start_again(node)

    def configure(self) -> None:
        """Write a new desired state."""
        self.version += 1
        state = self.state(self.version)
        state['tenants'][0]['api-keys'] = [KEY, f'key-{self.version}']
        self.world.configure(state)

    async def _kill(self) -> None:
        node = self._pick_node()
        if node.process.is_running():
            with self.spans.disturb(node.process.name):
                await node.process.kill()
                await self._start_again(node)

    async def _stop(self) -> None:
        node = self._pick_node()
        if node.process.is_running():
            await self.stop(node)

    async def _pause(self) -> None:
        node = self._pick_node()
        with self.spans.disturb(node.process.name):
            node.process.pause()
            await asyncio.sleep(self.rng.uniform(*SHORT_S) * 2)
            node.process.resume()

    async def _reload(self) -> None:
        node = self._pick_node()
        if node.process.is_running():
            node.process.child.send_signal(signal.SIGHUP)

    async def _hurt_store(self) -> None:
        faults = self.world.faults
        name = self.rng.choice(('outage', 'is_silent', 'loses_answers'))
        setattr(faults, name, True)
        faults.slow_s = self.rng.choice((0, DELAY_S))
        with self.spans.disturb(STORE):
            await asyncio.sleep(self.rng.uniform(*SHORT_S))
        setattr(faults, name, False)
        faults.slow_s = 0
        if self.rng.random() < 1 / 3:
            self.world.store.forget()

    async def _hurt_store_link(self) -> None:
        if self.world.store_proxy is not None:
            with self.spans.disturb(STORE):
                await self._hurt_link(self.world.store_proxy)

    async def _hurt_target_link(self) -> None:
        name = self.rng.choice(sorted(self.world.proxies))
        with self.spans.disturb(name):
            await self._hurt_link(self.world.proxies[name])

    async def _hurt_link(self, proxy: Proxy) -> None:
        name = self.rng.choice((
            'cut',
            'freeze',
            'drop_to_upstream',
            'drop_to_client',
        ))
        setattr(proxy.faults, name, True)
        proxy.faults.notify()
        if name == 'cut':
            proxy.close()
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        setattr(proxy.faults, name, False)
        proxy.faults.notify()
        # Links that lost bytes stay silent unless they are closed.
        for link in tuple(proxy.links):
            link.abort()
        await proxy.open()

    async def _crash_target(self) -> None:
        name = self.rng.choice(sorted(self.world.replicas))
        with self.spans.disturb(name):
            await self.world.crash(name, self.rng.uniform(*RESTART_S))

    async def _configure(self) -> None:
        self.configure()

    async def _start_again(self, node: NodeHandle) -> None:
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        if node in self.world.nodes:
            self.world.nodes.remove(node)
            await self.world.add_node(node.process.name, node.boot)

    def _pick_node(self) -> NodeHandle:
        nodes = self.world.nodes
        return self.rng.choice(
            [node for node in nodes if node.process.is_running()] or nodes
        )
