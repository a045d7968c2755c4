"""Faults that the proxy has been told to show."""

import asyncio

import attrs


@attrs.define
class Faults:
    """State of the faults, read for each chunk of bytes.

    delay_s holds each chunk back; cut resets connections and refuses new
    ones; freeze holds all bytes; the drop flags discard the bytes of one
    direction; drop_replies is the number of connections still to close at
    the first byte of an answer.
    """

    delay_s: float = 0
    cut: bool = False
    freeze: bool = False
    drop_to_upstream: bool = False
    drop_to_client: bool = False
    drop_replies: int = 0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    async def wait_while_frozen(self) -> None:
        """Return when bytes may flow."""
        while self.freeze:
            await self.changed.wait()

    def notify(self) -> None:
        """Wake everything that waits for a change."""
        waiting = self.changed
        self.changed = asyncio.Event()
        waiting.set()
