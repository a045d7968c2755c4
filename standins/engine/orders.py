"""Carries out the orders that an engine has taken."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from standins.engine.engine import Engine
from standins.engine.loaded import Loaded
from standins.engine.order import Order
from standins.engine.outcome import Outcome

DRAIN_POLL_S = 0.005

_Action = Callable[[Order], Awaitable[str]]


@attrs.define
class OrderRunner:
    """Runs each order as a task; orders for one name run one by one."""

    engine: Engine
    _locks: dict[str, asyncio.Lock] = attrs.Factory(
        lambda: defaultdict(asyncio.Lock)
    )
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    def start(self, order: Order) -> None:
        """Begin a taken order."""
        outcome = self.engine.orders.setdefault(order.order_id, Outcome())
        task = asyncio.create_task(self._run(order, outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the running orders."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, order: Order, outcome: Outcome) -> None:
        actions: dict[str, _Action] = {
            'load': self._load,
            'unload': self._unload,
            'load_adapter': self._load_adapter,
            'unload_adapter': self._unload_adapter,
            'set_role': self._set_role,
            'set_version': self._set_version,
        }
        async with self._locks[order.name]:
            try:
                outcome.reason = await actions[order.action](order)
            except aiohttp.ClientError as exc:
                outcome.reason = f'weight store: {exc!r}'
            outcome.state = 'failed' if outcome.reason else 'done'

    async def _load(self, order: Order) -> str:
        engine = self.engine
        if order.model in engine.models:
            return ''
        if not engine.memory.reserve(order.model, order.size_bytes):
            return 'out of memory'
        loaded = Loaded(
            order.model, order.order_id, order.size_bytes, order.checkpoint
        )
        engine.models[order.model] = loaded
        try:
            await engine.checkpoints.load(order.checkpoint, order.size_bytes)
        except aiohttp.ClientError:
            self._remove(order.model)
            raise
        loaded.state = 'ready'
        engine.memory.note('ready', order.model)
        return ''

    async def _unload(self, order: Order) -> str:
        engine = self.engine
        loaded = engine.models.get(order.model)
        if loaded is None:
            return ''
        loaded.state = 'unloading'
        await self._drain(order.model)
        await asyncio.sleep(engine.cfg.unload_s)
        engine.checkpoints.keep_in_memory(loaded.checkpoint)
        self._remove(order.model)
        return ''

    async def _load_adapter(self, order: Order) -> str:
        engine = self.engine
        if order.adapter in engine.adapters:
            return ''
        if order.model not in engine.models:
            return 'model not loaded'
        loaded = Loaded(order.model, order.order_id, order.size_bytes)
        engine.adapters[order.adapter] = loaded
        await engine.checkpoints.load_adapter(order.adapter)
        loaded.state = 'ready'
        return ''

    async def _unload_adapter(self, order: Order) -> str:
        loaded = self.engine.adapters.get(order.adapter)
        if loaded is None:
            return ''
        loaded.state = 'unloading'
        await self._drain(order.adapter)
        self.engine.adapters.pop(order.adapter, None)
        return ''

    async def _set_role(self, order: Order) -> str:
        self.engine.role = order.role
        return ''

    async def _set_version(self, order: Order) -> str:
        # The old checkpoint serves until the new one has been fetched.
        loaded = self.engine.models.get(order.model)
        if loaded is None:
            return 'model not loaded'
        size_bytes = order.size_bytes or loaded.size_bytes
        await self.engine.checkpoints.load(order.checkpoint, size_bytes)
        loaded.checkpoint = order.checkpoint
        return ''

    async def _drain(self, name: str) -> None:
        if self.engine.batch.count_of(name):
            self.engine.unloads_while_running += 1
        while self.engine.batch.count_of(name):
            await asyncio.sleep(DRAIN_POLL_S)

    def _remove(self, model: str) -> None:
        engine = self.engine
        engine.models.pop(model, None)
        engine.memory.free(model)
        orphans = [
            adapter
            for adapter, loaded in engine.adapters.items()
            if loaded.model == model
        ]
        for adapter in orphans:
            engine.adapters.pop(adapter)
