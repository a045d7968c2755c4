"""The lease of a shard as one placer sees it."""

import math

import attrs

from mimosaworks.clock import DRIFT
from mimosaworks.placement.lease_row import LeaseRow


@attrs.define
class ShardLease:
    """Tells who holds a shard and until when; the caller gives the time.

    All times are in seconds by the caller's own clock. The holder counts its
    lease from before it sent the write. An observer counts from when it
    first saw the row unchanged, longer by the bound on drift. So an observer
    never finds a lease lapsed that its holder still counts on.
    """

    holder: str
    nonce: str
    lease_s: float
    margin_s: float
    row: LeaseRow | None = None
    version: int = 0
    first_seen_s: float = math.inf
    held_until_s: float = -math.inf

    @property
    def is_mine(self) -> bool:
        """Whether the row, as last seen, names this process as holder."""
        return self.row is not None and self.row.nonce == self.nonce

    @property
    def fence(self) -> int:
        """The fencing number as last seen; 0 when there was no holder."""
        return 0 if self.row is None else self.row.fence

    def observe(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Take in the row as read; now is when the answer came."""
        if version == self.version and self.first_seen_s <= now:
            return
        self.row = row
        self.version = version
        self.first_seen_s = now
        if not self.is_mine:
            self.held_until_s = -math.inf

    def may_claim(self, now: float) -> bool:
        """Whether another's lease has lapsed or there is none."""
        if self.is_mine or math.isinf(self.first_seen_s):
            return False
        if self.row is None or not self.row.nonce:
            return True
        return now - self.first_seen_s > self.lease_s * (1 + DRIFT)

    def may_act(self, now: float) -> bool:
        """Whether orders may be sent: held, with the margin to spare."""
        return self.is_mine and now + self.margin_s < self.held_until_s

    def released_row(self) -> LeaseRow:
        """Return the row to write when this holder stops."""
        return attrs.evolve(self.next_row(), holder='', nonce='')

    def next_row(self) -> LeaseRow:
        """Return the row to write: a renewal if held, else a claim."""
        if self.row is not None and self.is_mine:
            return attrs.evolve(self.row, beat=self.row.beat + 1)
        return LeaseRow(self.holder, self.nonce, self.fence + 1, 0)

    def written(
        self, row: LeaseRow, version: int, sent_s: float, now: float
    ) -> None:
        """Take in that a row sent first at sent_s is in the table."""
        self.row = row
        self.version = version
        self.first_seen_s = now
        self.held_until_s = sent_s + self.lease_s if self.is_mine else -math.inf
