"""State that the holder keeps in memory for an intent."""

import math

import attrs


@attrs.define
class IntentTrack:
    """Times (seconds, own clock) and order ids of one intent.

    load_sent_s and unload_sent_s are the last times at which such an order
    can have been sent by any holder; for an imported intent, the time of the
    import. drain_map_sequence is the first replica map that shows the drain,
    0 before it; drain_acked_s is when the routers had it. freed_for_model is
    the model that gets the memory.
    """

    decided_s: float
    load_sent_s: float = -math.inf
    unload_sent_s: float = -math.inf
    next_order_s: float = -math.inf
    unload_order_id: str = ''
    unload_order_count: int = 0
    is_load_refused: bool = False
    drain_start_s: float = math.inf
    drain_map_sequence: int = 0
    drain_acked_s: float = math.inf
    freed_for_model: str = ''

    @property
    def is_draining(self) -> bool:
        """Whether the replica is to be unloaded once nothing runs on it."""
        return math.isfinite(self.drain_start_s)

    def start_drain(self, now: float, room_for: str = '') -> None:
        """Start the drain, to free memory for a model if one is named."""
        self.freed_for_model = self.freed_for_model or room_for
        if not self.is_draining:
            self.drain_start_s = now

    def cancel_drain(self) -> None:
        """Return the replica to normal use."""
        self.drain_start_s = math.inf
        self.freed_for_model = ''
        self.drain_map_sequence = 0
        self.drain_acked_s = math.inf


def make_imported_track(now: float) -> IntentTrack:
    """Return the state for an intent that another process wrote."""
    return IntentTrack(now, load_sent_s=now, unload_sent_s=now)
