"""The rate-limited weight store of the platform stand-in."""

import asyncio
import random
from contextlib import AsyncExitStack, ExitStack

import attrs

ADAPTER_S = (0.005, 0.01)
ADAPTERS_AT_FULL_SPEED = 30


@attrs.define
class WeightStore:
    """Delays loads by its limits; a load beyond a limit waits.

    bandwidth_bytes_s is the speed of one transfer.
    """

    loads_per_s: float
    loads_at_once: int
    bandwidth_bytes_s: float
    running: int = 0
    most_running: int = 0
    loads: dict[str, int] = attrs.Factory(dict)
    adapters_running: int = 0
    _next_start_s: float = 0
    _changed: asyncio.Condition = attrs.Factory(asyncio.Condition)

    async def load(self, checkpoint: str, size_bytes: int) -> None:
        """Return when the checkpoint has been transferred."""
        await self._wait_for_rate()
        async with self._changed:
            await self._changed.wait_for(self._has_room)
            self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.loads[checkpoint] = self.loads.get(checkpoint, 0) + 1
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._end_load)
            await asyncio.sleep(size_bytes / self.bandwidth_bytes_s)

    async def load_adapter(self) -> None:
        """Return after 5 to 10 ms, proportionally later beyond 30 at once."""
        self.adapters_running += 1
        crowding = max(1, self.adapters_running / ADAPTERS_AT_FULL_SPEED)
        with ExitStack() as stack:
            stack.callback(self._end_adapter)
            await asyncio.sleep(random.uniform(*ADAPTER_S) * crowding)

    async def notify(self) -> None:
        """Wake the waiting loads after a limit changed or a load ended."""
        async with self._changed:
            self._changed.notify_all()

    async def _end_load(self) -> None:
        self.running -= 1
        await self.notify()

    def _end_adapter(self) -> None:
        self.adapters_running -= 1

    def _has_room(self) -> bool:
        return self.running < self.loads_at_once

    async def _wait_for_rate(self) -> None:
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._next_start_s)
        self._next_start_s = start_s + 1 / self.loads_per_s
        await asyncio.sleep(start_s - now_s)
