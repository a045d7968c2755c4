"""The lease of a shard as one placer sees it."""

import math

import attrs

from mimosaworks.clock import DRIFT
from mimosaworks.placement.lease_row import LeaseRow


@attrs.define
class ShardLease:
    """Who holds a shard and until when; the caller gives the time.

    All times are in seconds by the caller's own clock. The holder counts its
    lease from before it sent the write. An observer counts from when it
    first saw the present row, longer by the bound on clock drift. So an
    observer never finds a lease expired that its holder still relies on.
    """

    own_address: str
    own_nonce: str
    duration_s: float
    send_margin_s: float
    row: LeaseRow | None = None
    row_version: int = 0
    row_first_seen_s: float = math.inf
    held_until_s: float = -math.inf

    @property
    def is_held(self) -> bool:
        """Whether the row, as last seen, names this process as holder."""
        return self.row is not None and self.row.nonce == self.own_nonce

    @property
    def fence(self) -> int:
        """The fencing number as last seen; 0 when there was no holder."""
        return 0 if self.row is None else self.row.fence

    def observe_row(
        self, row: LeaseRow | None, version: int, now: float
    ) -> None:
        """Record the row as read; now is when the answer came."""
        if version == self.row_version and self.row_first_seen_s <= now:
            return
        self.row = row
        self.row_version = version
        self.row_first_seen_s = now
        if not self.is_held:
            self.held_until_s = -math.inf

    def may_claim(self, now: float) -> bool:
        """Return whether another's lease has expired or there is none."""
        if self.is_held or math.isinf(self.row_first_seen_s):
            return False
        if self.row is None or not self.row.nonce:
            return True
        return now - self.row_first_seen_s > self.duration_s * (1 + DRIFT)

    def may_send_orders(self, now: float) -> bool:
        """Return whether the lease is held for longer than send_margin_s."""
        return self.is_held and now + self.send_margin_s < self.held_until_s

    def make_release_row(self) -> LeaseRow:
        """Return the row to write when this holder stops."""
        return attrs.evolve(self.make_next_row(), holder='', nonce='')

    def make_next_row(self) -> LeaseRow:
        """Return the row to write: a renewal if held, else a claim."""
        if self.row is not None and self.is_held:
            return attrs.evolve(self.row, beat=self.row.beat + 1)
        return LeaseRow(self.own_address, self.own_nonce, self.fence + 1, 0)

    def record_written_row(
        self, row: LeaseRow, version: int, sent_s: float, now: float
    ) -> None:
        """Record that a row sent first at sent_s is in the table."""
        self.row = row
        self.row_version = version
        self.row_first_seen_s = now
        self.held_until_s = (
            sent_s + self.duration_s if self.is_held else -math.inf
        )
