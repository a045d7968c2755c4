"""Decision logic of one placer for one shard, without I/O."""

from collections.abc import Mapping

import attrs

from mimosaworks.placement.decision import Decision
from mimosaworks.placement.due_orders import (
    collect_due_orders,
    record_sent_order,
)
from mimosaworks.placement.intent import intent_from_json
from mimosaworks.placement.intent_ledger import IntentLedger
from mimosaworks.placement.intent_transitions import advance_intents
from mimosaworks.placement.lease import ShardLease
from mimosaworks.placement.lease_row import LeaseRow, lease_row_from_json
from mimosaworks.placement.order import Order
from mimosaworks.placement.placement_round import PlacementRound
from mimosaworks.placement.replica_map_builder import ReplicaMapBuilder
from mimosaworks.placement.report import Report
from mimosaworks.placement.shard_commit import (
    ShardCommit,
    intent_key_prefix,
    lease_row_key,
)
from mimosaworks.placement.shard_state import ShardState
from mimosaworks.placement.timed_report import TimedReport
from mimosaworks.platform import Row
from mimosaworks.wire import ReplicaMap


@attrs.define
class ShardPlacer:
    """State machine of a placer: takes rows and reports, returns actions.

    The caller owns the sockets. It gives the time in seconds of its own
    clock, reads and commits the shard's rows one call at a time, polls the
    targets, and sends the orders for which may_send_order holds right before
    the bytes leave. A placer is the shard's holder once its claim is in the
    table and it has read the intents that earlier holders left.
    """

    shard: str
    lease: ShardLease
    state: ShardState
    map_builder: ReplicaMapBuilder
    has_imported_intents: bool = False
    open_commit: ShardCommit | None = None
    order_count: int = 0
    last_renewal_s: float = 0

    @property
    def is_holder(self) -> bool:
        """Whether this placer decides for the shard (its lease may lapse)."""
        return self.lease.is_held and self.has_imported_intents

    def record_report(
        self, target: str, report: Report, requested_s: float
    ) -> None:
        """Record a target's report, requested at requested_s."""
        self.state.ledger.record_report(
            target, TimedReport(report, requested_s)
        )

    def apply_rows(self, rows: Mapping[str, Row], now: float) -> None:
        """Apply one consistent read of the lease and the intents."""
        row = rows.get(lease_row_key(self.shard))
        version = 0 if row is None else row.version
        lease_row = None if row is None else lease_row_from_json(row.content)
        if (
            self.open_commit is not None
            and self.open_commit.lease_row == lease_row
        ):
            self.confirm_commit(version, now)
        else:
            self._observe_lease_row(lease_row, version, now)
        if self.lease.is_held:
            self._import_intents(rows, now)
        else:
            self._clear_ledger()

    def next_commit(self, now: float) -> ShardCommit | None:
        """Return what to commit now, if anything.

        A commit without an answer is returned again unchanged until it was
        committed or refused.
        """
        if self.open_commit is None and self._is_commit_due(now):
            self.open_commit = self._make_commit(now)
        return self.open_commit

    def prepare_release(self, now: float) -> ShardCommit | None:
        """Stop sending orders; return the commit that gives the lease up.

        None when this placer doesn't hold the shard.
        """
        if not self.is_holder or self.open_commit is not None:
            return None
        self.has_imported_intents = False
        row = self.lease.make_release_row()
        return ShardCommit(self.shard, row, self.lease.row_version, now)

    def confirm_commit(self, version: int, now: float) -> None:
        """Record that the open commit is in the table."""
        commit = self.open_commit
        if commit is None:
            return
        self.open_commit = None
        self.lease.record_written_row(
            commit.lease_row, version, commit.first_sent_s, now
        )
        self.last_renewal_s = commit.first_sent_s
        if self.has_imported_intents:
            self.state.ledger.confirm_commit()

    def decide(self, now: float, minute: int) -> list[Decision]:
        """Advance intents and decide while the lease holds, else do nothing.

        minute is the minute of the day in UTC.
        """
        if not self.is_holder or not self.lease.may_send_orders(now):
            return []
        fence = self.lease.fence
        decisions = advance_intents(self.state, now, fence, self._new_order_id)
        placement = PlacementRound(
            self.state, now, minute, fence, self._new_order_id
        )
        return decisions + placement.decide_all()

    def collect_due_orders(self, now: float) -> list[Order]:
        """Return the orders to send now."""
        if not self.is_holder or not self.lease.may_send_orders(now):
            return []
        orders = collect_due_orders(self.state.ledger, self.lease.fence, now)
        for order in orders:
            record_sent_order(
                self.state.ledger,
                order,
                now,
                self.state.placement_cfg.order_retry_s,
            )
        return orders

    def may_send_order(self, order: Order, now: float) -> bool:
        """Return whether an order may be sent; call right before sending."""
        if not self.is_holder or not self.lease.may_send_orders(now):
            return False
        if order.fence != self.lease.fence:
            return False
        if order.intent_id not in self.state.ledger.committed_intents:
            return False
        retry_s = self.state.placement_cfg.order_retry_s
        record_sent_order(self.state.ledger, order, now, retry_s)
        return True

    def build_replica_map(self, now: float) -> ReplicaMap | None:
        """Return the map for routers; None from a placer that stands by."""
        if not self.is_holder:
            return None
        return self.map_builder.build_map(self.state, self.lease.fence, now)

    def _is_commit_due(self, now: float) -> bool:
        if not self.is_holder:
            return self.lease.may_claim(now)
        is_renewal_due = (
            now - self.last_renewal_s >= self.state.placement_cfg.renew_s
        )
        return is_renewal_due or bool(self.state.ledger.pending_changes)

    def _make_commit(self, now: float) -> ShardCommit:
        changes = self.state.ledger.begin_commit() if self.is_holder else {}
        return ShardCommit(
            self.shard,
            self.lease.make_next_row(),
            self.lease.row_version,
            now,
            changes,
        )

    def _observe_lease_row(
        self, row: LeaseRow | None, version: int, now: float
    ) -> None:
        if version != self.lease.row_version:
            # Another placer wrote the row, so the commit without an answer
            # can't be applied any more.
            self.open_commit = None
        self.lease.observe_row(row, version, now)

    def _import_intents(self, rows: Mapping[str, Row], now: float) -> None:
        if self.has_imported_intents:
            return
        prefix = intent_key_prefix(self.shard)
        intents = {
            key.removeprefix(prefix): intent_from_json(row.content)
            for key, row in rows.items()
            if key.startswith(prefix)
        }
        self.state.ledger.import_intents(intents, now)
        self.state.load_bucket.empty(now)
        self.has_imported_intents = True

    def _clear_ledger(self) -> None:
        if self.has_imported_intents:
            self.state.ledger = IntentLedger()
            self.has_imported_intents = False

    def _new_order_id(self) -> str:
        self.order_count += 1
        fence = self.lease.fence
        return f'{self.shard}-{fence}-{self.order_count}'
