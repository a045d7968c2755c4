"""Sleeps that an event ends early."""

import asyncio

import attrs


async def wait_for_event(event: asyncio.Event, max_s: float) -> bool:
    """Wait for an event for at most max_s seconds; return whether it is set."""
    try:
        async with asyncio.timeout(max_s):
            return await event.wait()
    except TimeoutError:
        return False


@attrs.define(eq=False)
class InterruptibleSleep:
    """A repeated sleep that can be ended early, but takes at least min_s."""

    min_s: float
    _wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def wake(self) -> None:
        """End the current sleep, or else the next one, after min_s seconds."""
        self._wake_event.set()

    async def sleep(self, max_s: float) -> None:
        """Sleep for max_s seconds, or until wake is called."""
        await asyncio.sleep(self.min_s)
        await wait_for_event(self._wake_event, max_s - self.min_s)
        self._wake_event.clear()
