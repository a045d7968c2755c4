"""The weight store's and the adapters' budgets of a shard."""

import attrs

from mimosaworks.placement.evidence import held_state, is_ended
from mimosaworks.placement.intent import Intent
from mimosaworks.placement.ledger import Ledger
from mimosaworks.placement.rules import PlacementRules


@attrs.define
class LoadBudget:
    """A token bucket of weight store loads; one second's burst.

    A new holder begins with an empty bucket: its predecessor may just have
    spent it.
    """

    loads_per_s: float
    tokens: float = 0
    filled_s: float = 0

    def restart(self, now: float) -> None:
        """Empty the bucket at the time now."""
        self.tokens = 0
        self.filled_s = now

    def has_room(self, now: float) -> bool:
        """Tell whether one load may be taken now."""
        grown = (now - self.filled_s) * self.loads_per_s
        self.tokens = min(self.tokens + grown, max(self.loads_per_s, 1))
        self.filled_s = now
        return self.tokens >= 1

    def try_take(self, now: float) -> bool:
        """Take one load if there is one."""
        if not self.has_room(now):
            return False
        self.tokens -= 1
        return True


def has_load_slot(ledger: Ledger, rules: PlacementRules) -> bool:
    """Whether one load more may run at once on the weight store."""
    fetching = [
        intent
        for intent in ledger.intents().values()
        if not intent.adapter and _is_loading(ledger, intent)
    ]
    return len(fetching) < rules.loads_at_once


def has_adapter_slot(ledger: Ledger, rules: PlacementRules) -> bool:
    """Whether one adapter more may be in flight."""
    loading = [
        intent
        for intent in ledger.intents().values()
        if intent.adapter and _is_loading(ledger, intent)
    ]
    return len(loading) < rules.adapters_at_once


def _is_loading(ledger: Ledger, intent: Intent) -> bool:
    if is_ended(ledger, intent):
        return False
    held = held_state(ledger, intent)
    return held is None or held.state == 'loading'
