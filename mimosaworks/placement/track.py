"""What the holder remembers of an intent besides its row."""

import math

import attrs


@attrs.define
class Track:
    """Times (seconds, own clock) and order ids of one intent.

    load_sent_s and unload_sent_s are the last times at which such an order
    can have been sent by anyone; of an adopted intent, when it was adopted.
    drain_sequence is the first replica map that shows the drain, 0 before
    it; drain_acked_s is when the routers had it. room_for is the model that
    gets the memory.
    """

    decided_s: float
    load_sent_s: float = -math.inf
    unload_sent_s: float = -math.inf
    next_send_s: float = -math.inf
    unload_id: str = ''
    unload_count: int = 0
    is_refused: bool = False
    drain_since_s: float = math.inf
    drain_sequence: int = 0
    drain_acked_s: float = math.inf
    room_for: str = ''

    @property
    def is_draining(self) -> bool:
        """Whether the replica is to be unloaded once nothing runs on it."""
        return math.isfinite(self.drain_since_s)

    def start_drain(self, now: float, room_for: str = '') -> None:
        """Begin to drain, to make room for a model if one is named."""
        self.room_for = self.room_for or room_for
        if not self.is_draining:
            self.drain_since_s = now

    def cancel_drain(self) -> None:
        """Keep the replica after all."""
        self.drain_since_s = math.inf
        self.room_for = ''
        self.drain_sequence = 0
        self.drain_acked_s = math.inf


def adopted_track(now: float) -> Track:
    """Return the track of an intent that another process wrote."""
    return Track(now, load_sent_s=now, unload_sent_s=now)
