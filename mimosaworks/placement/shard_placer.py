"""One placer's part in one shard, without I/O."""

from collections.abc import Mapping

import attrs

from mimosaworks.placement.batch import Batch, intent_prefix, lease_key
from mimosaworks.placement.decision import Decision
from mimosaworks.placement.intent import intent_from_json
from mimosaworks.placement.lease import ShardLease
from mimosaworks.placement.lease_row import LeaseRow, lease_row_from_json
from mimosaworks.placement.ledger import Ledger
from mimosaworks.placement.map_maker import MapMaker
from mimosaworks.placement.order import Order
from mimosaworks.placement.orders import due_orders, order_sent
from mimosaworks.placement.policy import PlacementRound
from mimosaworks.placement.report import Report
from mimosaworks.placement.settlement import settle
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.target_view import TargetView
from mimosaworks.platform import Row
from mimosaworks.wire import ReplicaMap


@attrs.define
class ShardPlacer:
    """Takes what was read, reported and asked; returns what to do next.

    The caller owns the sockets. It gives the time in seconds of its own
    clock, reads and commits the shard's rows one call at a time, polls the
    targets, and sends the orders for which may_send holds right before the
    bytes leave. A placer is the shard's holder once its claim is in the
    table and it has read the intents that earlier holders left.
    """

    shard: str
    lease: ShardLease
    state: ShardState
    maps: MapMaker
    is_adopted: bool = False
    batch: Batch | None = None
    order_count: int = 0
    renewed_s: float = 0

    @property
    def is_holder(self) -> bool:
        """Whether this placer decides for the shard (its lease may lapse)."""
        return self.lease.is_mine and self.is_adopted

    def on_report(self, target: str, report: Report, asked_s: float) -> None:
        """Take in a target's report, asked for at asked_s."""
        self.state.ledger.see(target, TargetView(report, asked_s))

    def on_rows(self, rows: Mapping[str, Row], now: float) -> None:
        """Take in one consistent read of the lease and the intents."""
        row = rows.get(lease_key(self.shard))
        version = 0 if row is None else row.version
        lease_row = None if row is None else lease_row_from_json(row.content)
        if self.batch is not None and self.batch.lease == lease_row:
            self.on_committed(version, now)
        else:
            self._observe(lease_row, version, now)
        if self.lease.is_mine:
            self._adopt(rows, now)
        else:
            self._resign()

    def next_batch(self, now: float) -> Batch | None:
        """Return what to commit now, if anything.

        A batch without an answer is returned again unchanged until it was
        committed or refused.
        """
        if self.batch is None and self._is_write_due(now):
            self.batch = self._new_batch(now)
        return self.batch

    def release(self, now: float) -> Batch | None:
        """Send no order any more; return the batch that gives the lease up.

        None when this placer doesn't hold the shard.
        """
        if not self.is_holder or self.batch is not None:
            return None
        self.is_adopted = False
        row = self.lease.released_row()
        return Batch(self.shard, row, self.lease.version, now)

    def on_committed(self, version: int, now: float) -> None:
        """Take in that the batch is in the table."""
        batch = self.batch
        if batch is None:
            return
        self.batch = None
        self.lease.written(batch.lease, version, batch.sent_s, now)
        self.renewed_s = batch.sent_s
        if self.is_adopted:
            self.state.ledger.committed()

    def decide(self, now: float, minute: int) -> list[Decision]:
        """Settle and decide while the lease holds; else decide nothing.

        minute is the minute of the day in UTC.
        """
        if not self.is_holder or not self.lease.may_act(now):
            return []
        fence = self.lease.fence
        decisions = settle(self.state, now, fence, self._new_id)
        placement = PlacementRound(self.state, now, minute, fence, self._new_id)
        return decisions + placement.run()

    def due_orders(self, now: float) -> list[Order]:
        """Return the orders to send now."""
        if not self.is_holder or not self.lease.may_act(now):
            return []
        orders = due_orders(self.state.ledger, self.lease.fence, now)
        for order in orders:
            order_sent(
                self.state.ledger, order, now, self.state.rules.order_retry_s
            )
        return orders

    def may_send(self, order: Order, now: float) -> bool:
        """Whether an order may leave now; to be asked right before it does."""
        if not self.is_holder or not self.lease.may_act(now):
            return False
        if order.fence != self.lease.fence:
            return False
        if order.intent_id not in self.state.ledger.rows:
            return False
        retry_s = self.state.rules.order_retry_s
        order_sent(self.state.ledger, order, now, retry_s)
        return True

    def replica_map(self, now: float) -> ReplicaMap | None:
        """Return the map for routers; None from a placer that stands by."""
        if not self.is_holder:
            return None
        return self.maps.make(self.state, self.lease.fence, now)

    def _is_write_due(self, now: float) -> bool:
        if not self.is_holder:
            return self.lease.may_claim(now)
        is_renewal_due = now - self.renewed_s >= self.state.rules.renew_s
        return is_renewal_due or bool(self.state.ledger.pending)

    def _new_batch(self, now: float) -> Batch:
        changes = self.state.ledger.send_changes() if self.is_holder else {}
        return Batch(
            self.shard,
            self.lease.next_row(),
            self.lease.version,
            now,
            changes,
        )

    def _observe(self, row: LeaseRow | None, version: int, now: float) -> None:
        if version != self.lease.version:
            # Another's write has won; the batch in doubt can't land any more.
            self.batch = None
        self.lease.observe(row, version, now)

    def _adopt(self, rows: Mapping[str, Row], now: float) -> None:
        if self.is_adopted:
            return
        prefix = intent_prefix(self.shard)
        intents = {
            key.removeprefix(prefix): intent_from_json(row.content)
            for key, row in rows.items()
            if key.startswith(prefix)
        }
        self.state.ledger.adopt(intents, now)
        self.state.budget.restart(now)
        self.is_adopted = True

    def _resign(self) -> None:
        if self.is_adopted:
            self.state.ledger = Ledger()
            self.is_adopted = False

    def _new_id(self) -> str:
        self.order_count += 1
        fence = self.lease.fence
        return f'{self.shard}-{fence}-{self.order_count}'
