"""The queue of requests for the same replicas or service pool."""

import asyncio
from collections.abc import Callable

import attrs

from mimosaworks.admission import FairQueue, QueueEntry
from mimosaworks.routing.wait_estimate import WaitEstimate


@attrs.define(eq=False)
class QueuedRequest(QueueEntry):
    """A queued request; turn is the future that ends its wait."""

    turn: 'asyncio.Future[None]' = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )


@attrs.define
class RequestQueue:
    """The queue of one model and adapter, or of one service pool.

    Used by Dispatcher. has_free_slot returns whether a target can accept one
    more request than the open turns; the owner calls grant_turns whenever
    that may have changed, and sets is_idle when no request came since its
    last check. waiting_tokens, arrivals and running_count are for Demand
    messages. _open_turns counts turns that were granted and not yet used or
    returned.
    """

    has_free_slot: Callable[[int], bool]
    fair_queue: FairQueue = attrs.field(factory=FairQueue)
    waiting_tokens: float = 0
    arrivals: int = 0
    running_count: int = 0
    is_idle: bool = False
    wait_estimate: WaitEstimate = attrs.field(factory=WaitEstimate)
    _cold_since_s: float | None = None
    _open_turns: int = 0

    def __len__(self) -> int:
        return len(self.fair_queue)

    async def wait_for_turn(
        self, request: QueuedRequest, timeout_s: float
    ) -> bool:
        """Wait until the request may be sent; return False on timeout.

        After True, the caller must call return_turn in the same step of the
        event loop in which it counts the request as in flight at a target,
        or gives up.
        """
        self.arrivals += 1
        self.fair_queue.push(request)
        self.waiting_tokens += request.cost
        self.grant_turns()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(request.turn)
        except TimeoutError:
            return request.turn.done()
        except asyncio.CancelledError:
            if request.turn.done():
                self.return_turn()
            raise
        finally:
            self.waiting_tokens -= request.cost
            self.fair_queue.remove(request)
        return True

    def return_turn(self) -> None:
        """Close a turn whose request is in flight or was given up."""
        self._open_turns -= 1

    def update_cold_start(self, is_served: bool, now_s: float) -> None:
        """Measure the time during which waiting requests have no replica."""
        if not len(self):
            self._cold_since_s = None
        if is_served and self._cold_since_s is not None:
            self.wait_estimate.record_cold_start(now_s - self._cold_since_s)
            self._cold_since_s = None
        elif not is_served and len(self) and self._cold_since_s is None:
            self._cold_since_s = now_s

    def grant_turns(self) -> None:
        """Grant turns to waiting requests while targets have free slots."""
        while len(self.fair_queue) and self.has_free_slot(self._open_turns):
            entry = self.fair_queue.pop()
            if isinstance(entry, QueuedRequest) and not entry.turn.done():
                self._open_turns += 1
                entry.turn.set_result(None)
