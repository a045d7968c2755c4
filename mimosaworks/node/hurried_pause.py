"""Pauses that an event cuts short."""

import asyncio

import attrs


async def is_set_within(event: asyncio.Event, longest_s: float) -> bool:
    """Wait for an event for longest_s seconds; tell whether it is set."""
    try:
        async with asyncio.timeout(longest_s):
            return await event.wait()
    except TimeoutError:
        return False


@attrs.define(eq=False)
class HurriedPause:
    """A pause that is repeated; least_s is the shortest one."""

    least_s: float
    _is_wanted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def hurry(self) -> None:
        """End the pause of now, or the next one, once it may end."""
        self._is_wanted.set()

    async def wait(self, longest_s: float) -> None:
        """Wait for longest_s seconds, or until it is hurried."""
        await asyncio.sleep(self.least_s)
        await is_set_within(self._is_wanted, longest_s - self.least_s)
        self._is_wanted.clear()
