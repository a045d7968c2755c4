"""One process of a chaos run that is killed, paused and started again."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from mimosaworks.clock import now_s
from standins.node import Node

RETRY_S = 0.3
Interval = tuple[float, float]


@attrs.define(eq=False)
class ChaosUnit:
    """A process with its times of absence, on the boot-time clock in s.

    restart starts it again at the same addresses; before_kill is called
    ahead of each kill. down and paused hold intervals that have ended.
    """

    name: str
    node: Node
    restart: Callable[[], Awaitable[Node]]
    before_kill: Callable[[], Awaitable[None]] | None = None
    down: list[Interval] = attrs.Factory(list)
    paused: list[Interval] = attrs.Factory(list)

    async def kill(self, absent_s: float) -> None:
        """End the process with SIGKILL and start it after absent_s."""
        if not self.node.process.is_running():
            return
        if self.before_kill is not None:
            await self.before_kill()
        started_s = now_s()
        await self.node.process.kill()
        await asyncio.sleep(absent_s)
        self.node = await self._started()
        self.down.append((started_s, now_s()))

    async def pause(self, lasts_s: float) -> None:
        """Stop the process with SIGSTOP for a time."""
        started_s = now_s()
        self.node.process.pause()
        await asyncio.sleep(lasts_s)
        self.node.process.resume()
        self.paused.append((started_s, now_s()))

    def was_down(self, start_s: float, end_s: float) -> bool:
        """Return whether it was down at any time of an interval."""
        return any(
            begun_s <= end_s and start_s <= ended_s
            for begun_s, ended_s in self.down
        )

    def paused_s(self, start_s: float, end_s: float) -> float:
        """Return the sum of its pauses within an interval, in seconds."""
        return sum(
            max(0, min(end_s, ended_s) - max(start_s, begun_s))
            for begun_s, ended_s in self.paused
        )

    async def _started(self) -> Node:
        while True:
            try:
                return await self.restart()
            except (RuntimeError, TimeoutError):
                # It ends when the platform is out; a supervisor goes on.
                await asyncio.sleep(RETRY_S)
