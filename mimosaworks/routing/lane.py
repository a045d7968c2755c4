"""Requests that wait for the same replicas or service pool."""

import asyncio
from collections.abc import Callable

import attrs

from mimosaworks.admission import FairQueue, QueueEntry
from mimosaworks.routing.wait_estimate import WaitEstimate


@attrs.define(eq=False)
class Waiter(QueueEntry):
    """A queued request and the future that ends its wait."""

    turn: 'asyncio.Future[None]' = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )


@attrs.define
class Lane:
    """The queue of one model and adapter, or of one service pool.

    has_room tells whether a target can take one more request now; the owner
    calls pump whenever that may have changed, and sets is_idle when nothing
    came since its last look. waiting_tokens, arrivals and
    running count for demand messages. _granted counts turns that were given
    and not yet used or returned.
    """

    has_room: Callable[[int], bool]
    queue: FairQueue = attrs.field(factory=FairQueue)
    waiting_tokens: float = 0
    arrivals: int = 0
    running: int = 0
    is_idle: bool = False
    estimate: WaitEstimate = attrs.field(factory=WaitEstimate)
    _cold_since_s: float | None = None
    _granted: int = 0

    def __len__(self) -> int:
        return len(self.queue)

    async def wait_turn(self, waiter: Waiter, timeout_s: float) -> bool:
        """Wait until the request may be sent; False when time is over.

        After True, the caller must call end_turn in the same step in which
        it counts the request as in flight at a target, or gives up.
        """
        self.arrivals += 1
        self.queue.push(waiter)
        self.waiting_tokens += waiter.cost
        self.pump()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(waiter.turn)
        except TimeoutError:
            return waiter.turn.done()
        except asyncio.CancelledError:
            if waiter.turn.done():
                self.end_turn()
            raise
        finally:
            self.waiting_tokens -= waiter.cost
            self.queue.remove(waiter)
        return True

    def end_turn(self) -> None:
        """Return a turn: the request is in flight or has given up."""
        self._granted -= 1

    def note_serving(self, is_served: bool, now_s: float) -> None:
        """Follow when waiting requests have no replica, and how long."""
        if not len(self):
            self._cold_since_s = None
        if is_served and self._cold_since_s is not None:
            self.estimate.note_cold_start(now_s - self._cold_since_s)
            self._cold_since_s = None
        elif not is_served and len(self) and self._cold_since_s is None:
            self._cold_since_s = now_s

    def pump(self) -> None:
        """Give turns to waiting requests while targets have room."""
        while len(self.queue) and self.has_room(self._granted):
            entry = self.queue.pop()
            if isinstance(entry, Waiter) and not entry.turn.done():
                self._granted += 1
                entry.turn.set_result(None)
