"""A pause that can be cut short."""

import asyncio
import contextlib

import attrs


@attrs.define(eq=False)
class Pace:
    """Spaces out what is repeated; least_s are the shortest pauses."""

    least_s: float
    _is_wanted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def hurry(self) -> None:
        """End the pause of now, or the next one, once it may end."""
        self._is_wanted.set()

    async def pause(self, longest_s: float) -> None:
        """Wait for longest_s seconds, or until it is hurried."""
        await asyncio.sleep(self.least_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s - self.least_s):
                await self._is_wanted.wait()
        self._is_wanted.clear()
