"""All intents of a shard and the memory that they reserve."""

from collections.abc import Mapping

import attrs

from mimosaworks.placement.intent import Intent
from mimosaworks.placement.intent_index import IntentIndex, index_intents
from mimosaworks.placement.target_view import TargetView
from mimosaworks.placement.track import Track, adopted_track

Changes = dict[str, Intent | None]


@attrs.define
class Ledger:
    """The shard's intents: those in the table and those being written.

    rows are known to be in the table; sent changes are in a batch without
    an answer; pending ones wait for the next batch. An intent reserves its
    memory from the decision until its row is known to be deleted.
    """

    rows: dict[str, Intent] = attrs.field(factory=dict)
    sent: Changes = attrs.field(factory=dict)
    pending: Changes = attrs.field(factory=dict)
    tracks: dict[str, Track] = attrs.field(factory=dict)
    views: dict[str, TargetView] = attrs.field(factory=dict)
    _index: IntentIndex | None = None
    _taken: dict[str, int] = attrs.field(factory=dict)

    def index(self) -> IntentIndex:
        """Return the newest state of each intent that still reserves."""
        if self._index is None:
            merged = dict(self.rows)
            for changes in (self.sent, self.pending):
                puts = changes.items()
                merged.update({key: put for key, put in puts if put})
            self._index = index_intents(merged)
        return self._index

    def intents(self) -> Mapping[str, Intent]:
        """Return the intents by order id."""
        return self.index().intents

    def on_target(self, target: str) -> list[Intent]:
        """Return the intents for one target."""
        return self.index().by_target.get(target, [])

    def replicas(self, model: str) -> list[Intent]:
        """Return the intents for a model, without those for adapters."""
        return self.index().by_model.get(model, [])

    def find(self, target: str, model: str, adapter: str = '') -> Intent | None:
        """Return the intent for a model, or an adapter, on a target."""
        wanted = (model, adapter)
        found = (
            intent
            for intent in self.on_target(target)
            if (intent.model, intent.adapter) == wanted
        )
        return next(found, None)

    def adopt(self, rows: Mapping[str, Intent], now: float) -> None:
        """Start over with the rows that earlier holders left."""
        self._forget_sums()
        self.rows = dict(rows)
        self.sent = {}
        self.pending = {}
        self.tracks = {order_id: adopted_track(now) for order_id in rows}

    def put(self, intent: Intent, now: float) -> None:
        """Add or change an intent; it takes effect with the next batch."""
        self._forget_sums()
        self.pending[intent.order_id] = intent
        self.tracks.setdefault(intent.order_id, Track(now))

    def delete(self, order_id: str) -> None:
        """End an intent with the next batch."""
        self.pending[order_id] = None

    def send_changes(self) -> Changes:
        """Move the pending changes into the batch that is to be sent."""
        self.sent = self.pending
        self.pending = {}
        return dict(self.sent)

    def committed(self) -> None:
        """Take in that the sent changes are in the table."""
        self._forget_sums()
        for order_id, intent in self.sent.items():
            if intent is None:
                self.rows.pop(order_id, None)
                self.tracks.pop(order_id, None)
            else:
                self.rows[order_id] = intent
        self.sent = {}

    def capacity_bytes(self, target: str, configured_bytes: int) -> int:
        """Return the memory that may be reserved: the least figure known."""
        view = self.views.get(target)
        if view is None or not view.report.memory_bytes:
            return configured_bytes
        reported = view.report.memory_bytes
        return min(configured_bytes or reported, reported)

    def taken_bytes(self, target: str) -> int:
        """Return the memory that intents reserve or the target has in use.

        What a target loaded without an intent counts too.
        """
        if target not in self._taken:
            self._taken[target] = self._sum_taken(target)
        return self._taken[target]

    def see(self, target: str, view: TargetView) -> None:
        """Take in a report, unless a newer one is known."""
        known = self.views.get(target)
        if known is None or known.asked_s <= view.asked_s:
            self.views[target] = view
            self._taken.pop(target, None)

    def strays(
        self, target: str, intents: list[Intent]
    ) -> list[tuple[str, bool, int]]:
        """Return name, whether an adapter, and size of loads with no intent."""
        view = self.views.get(target)
        if view is None:
            return []
        known = {(intent.name, bool(intent.adapter)) for intent in intents}
        models = view.report.models.items()
        adapters = view.report.adapters.items()
        loaded = [(name, False, held.size_bytes) for name, held in models]
        loaded += [(name, True, held.size_bytes) for name, held in adapters]
        return [stray for stray in loaded if stray[:2] not in known]

    def _sum_taken(self, target: str) -> int:
        intents = self.on_target(target)
        strays = self.strays(target, intents)
        reserved = sum(intent.size_bytes for intent in intents)
        unasked = sum(size for _, _, size in strays)
        view = self.views.get(target)
        used = 0 if view is None else view.report.used_bytes
        return max(reserved + unasked, used)

    def _forget_sums(self) -> None:
        self._index = None
        self._taken = {}
