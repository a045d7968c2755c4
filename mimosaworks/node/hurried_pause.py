"""Sleeps that an event ends early."""

import asyncio

import attrs


async def is_set_within(event: asyncio.Event, max_s: float) -> bool:
    """Wait for an event for at most max_s seconds; return whether it is set."""
    try:
        async with asyncio.timeout(max_s):
            return await event.wait()
    except TimeoutError:
        return False


@attrs.define(eq=False)
class HurriedPause:
    """A repeated sleep that can be ended early, but takes at least min_s."""

    least_s: float
    _wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def hurry(self) -> None:
        """End the current sleep, or else the next one, after min_s seconds."""
        self._wake_event.set()

    async def wait(self, max_s: float) -> None:
        """Sleep for max_s seconds, or until wake is called."""
        await asyncio.sleep(self.least_s)
        await is_set_within(self._wake_event, max_s - self.least_s)
        self._wake_event.clear()
