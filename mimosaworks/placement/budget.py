"""Limits of a shard on loads from the weight store and of adapters."""

import attrs

from mimosaworks.placement.intent import Intent
from mimosaworks.placement.intent_ledger import IntentLedger
from mimosaworks.placement.intent_status import (
    find_loaded_state,
    is_terminating,
)
from mimosaworks.placement.placement_config import PlacementConfig


@attrs.define
class LoadBudget:
    """A token bucket for weight store loads with a burst of one second.

    A new lease holder starts with an empty bucket, as its predecessor may
    just have used all tokens.
    """

    loads_per_s: float
    tokens: float = 0
    last_refill_s: float = 0

    def empty(self, now: float) -> None:
        """Empty the bucket at the time now."""
        self.tokens = 0
        self.last_refill_s = now

    def has_room(self, now: float) -> bool:
        """Return whether one load may start now; refills the bucket."""
        grown = (now - self.last_refill_s) * self.loads_per_s
        self.tokens = min(self.tokens + grown, max(self.loads_per_s, 1))
        self.last_refill_s = now
        return self.tokens >= 1

    def try_take(self, now: float) -> bool:
        """Take the token for one load; return False if there is none."""
        if not self.has_room(now):
            return False
        self.tokens -= 1
        return True


def has_weight_store_slot(ledger: IntentLedger, rules: PlacementConfig) -> bool:
    """Return whether the weight store may serve one more concurrent load."""
    loading_models = [
        intent
        for intent in ledger.intents().values()
        if not intent.adapter and _is_loading(ledger, intent)
    ]
    return len(loading_models) < rules.loads_at_once


def has_adapter_load_slot(ledger: IntentLedger, rules: PlacementConfig) -> bool:
    """Return whether one more adapter may be loaded concurrently."""
    loading_adapters = [
        intent
        for intent in ledger.intents().values()
        if intent.adapter and _is_loading(ledger, intent)
    ]
    return len(loading_adapters) < rules.adapters_at_once


def _is_loading(ledger: IntentLedger, intent: Intent) -> bool:
    if is_terminating(ledger, intent):
        return False
    loaded_state = find_loaded_state(ledger, intent)
    return loaded_state is None or loaded_state.state == 'loading'
