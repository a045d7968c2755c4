"""All intents of a shard and the memory that they reserve."""

from collections.abc import Mapping

import attrs

from mimosaworks.placement.intent import Intent
from mimosaworks.placement.intent_index import IntentIndex, index_intents
from mimosaworks.placement.intent_track import IntentTrack, make_imported_track
from mimosaworks.placement.timed_report import TimedReport

IntentChanges = dict[str, Intent | None]


@attrs.define
class IntentLedger:
    """The shard's intents: those in the table and those being written.

    committed_intents are known to be in the table; sent_changes are in a
    commit without an answer; pending_changes wait for the next commit.
    An intent reserves its memory from the decision until its row is known to
    be deleted.
    """

    committed_intents: dict[str, Intent] = attrs.field(factory=dict)
    sent_changes: IntentChanges = attrs.field(factory=dict)
    pending_changes: IntentChanges = attrs.field(factory=dict)
    tracks: dict[str, IntentTrack] = attrs.field(factory=dict)
    latest_reports: dict[str, TimedReport] = attrs.field(factory=dict)
    _index: IntentIndex | None = None
    _occupied_bytes: dict[str, int] = attrs.field(factory=dict)

    def indexed_intents(self) -> IntentIndex:
        """Return the newest state of each intent that still reserves memory."""
        if self._index is None:
            merged = dict(self.committed_intents)
            for changes in (self.sent_changes, self.pending_changes):
                change_items = changes.items()
                merged.update({key: put for key, put in change_items if put})
            self._index = index_intents(merged)
        return self._index

    def intents(self) -> Mapping[str, Intent]:
        """Return the intents by order id."""
        return self.indexed_intents().intents

    def intents_on_target(self, target: str) -> list[Intent]:
        """Return the intents for one target."""
        return self.indexed_intents().by_target.get(target, [])

    def replica_intents(self, model: str) -> list[Intent]:
        """Return the intents for a model, without those for adapters."""
        return self.indexed_intents().by_model.get(model, [])

    def find_intent(
        self, target: str, model: str, adapter: str = ''
    ) -> Intent | None:
        """Return the intent for a model, or an adapter, on a target."""
        wanted_key = (model, adapter)
        matching_intents = (
            intent
            for intent in self.intents_on_target(target)
            if (intent.model, intent.adapter) == wanted_key
        )
        return next(matching_intents, None)

    def import_intents(self, rows: Mapping[str, Intent], now: float) -> None:
        """Replace all state by the intents that earlier holders left."""
        self._clear_caches()
        self.committed_intents = dict(rows)
        self.sent_changes = {}
        self.pending_changes = {}
        self.tracks = {order_id: make_imported_track(now) for order_id in rows}

    def put_intent(self, intent: Intent, now: float) -> None:
        """Add or change an intent; it takes effect with the next commit."""
        self._clear_caches()
        self.pending_changes[intent.order_id] = intent
        self.tracks.setdefault(intent.order_id, IntentTrack(now))

    def delete_intent(self, order_id: str) -> None:
        """Delete an intent with the next commit."""
        self.pending_changes[order_id] = None

    def begin_commit(self) -> IntentChanges:
        """Move the pending changes into the commit that is to be sent."""
        self.sent_changes = self.pending_changes
        self.pending_changes = {}
        return dict(self.sent_changes)

    def confirm_commit(self) -> None:
        """Record that the sent changes are in the table."""
        self._clear_caches()
        for order_id, intent in self.sent_changes.items():
            if intent is None:
                self.committed_intents.pop(order_id, None)
                self.tracks.pop(order_id, None)
            else:
                self.committed_intents[order_id] = intent
        self.sent_changes = {}

    def target_capacity_bytes(self, target: str, configured_bytes: int) -> int:
        """Return the memory that may be reserved, configured or reported.

        The smaller of the two counts.
        """
        timed_report = self.latest_reports.get(target)
        if timed_report is None or not timed_report.report.memory_bytes:
            return configured_bytes
        reported_bytes = timed_report.report.memory_bytes
        return min(configured_bytes or reported_bytes, reported_bytes)

    def occupied_bytes(self, target: str) -> int:
        """Return the memory that intents reserve or the target has in use.

        What a target loaded without an intent counts too.
        """
        if target not in self._occupied_bytes:
            self._occupied_bytes[target] = self._compute_occupied_bytes(target)
        return self._occupied_bytes[target]

    def record_report(self, target: str, timed_report: TimedReport) -> None:
        """Record a report, unless a newer one is known."""
        known_report = self.latest_reports.get(target)
        if (
            known_report is None
            or known_report.requested_s <= timed_report.requested_s
        ):
            self.latest_reports[target] = timed_report
            self._occupied_bytes.pop(target, None)

    def find_unplanned_loads(
        self, target: str, intents: list[Intent]
    ) -> list[tuple[str, bool, int]]:
        """Return name, whether an adapter, and size of loads with no intent."""
        timed_report = self.latest_reports.get(target)
        if timed_report is None:
            return []
        planned_names = {
            (intent.name, bool(intent.adapter)) for intent in intents
        }
        models = timed_report.report.models.items()
        adapters = timed_report.report.adapters.items()
        loaded = [(name, False, held.size_bytes) for name, held in models]
        loaded += [(name, True, held.size_bytes) for name, held in adapters]
        return [stray for stray in loaded if stray[:2] not in planned_names]

    def _compute_occupied_bytes(self, target: str) -> int:
        intents = self.intents_on_target(target)
        unplanned_loads = self.find_unplanned_loads(target, intents)
        reserved_bytes = sum(intent.size_bytes for intent in intents)
        unplanned_bytes = sum(size for _, _, size in unplanned_loads)
        timed_report = self.latest_reports.get(target)
        used_bytes = (
            0 if timed_report is None else timed_report.report.used_bytes
        )
        return max(reserved_bytes + unplanned_bytes, used_bytes)

    def _clear_caches(self) -> None:
        self._index = None
        self._occupied_bytes = {}
