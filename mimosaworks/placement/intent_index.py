"""Intents by target and by model."""

from collections import defaultdict
from collections.abc import Mapping

import attrs

from mimosaworks.placement.intent import Intent


@attrs.frozen
class IntentIndex:
    """All intents at one time; by_model leaves out those for adapters."""

    intents: Mapping[str, Intent]
    by_target: Mapping[str, list[Intent]]
    by_model: Mapping[str, list[Intent]]


def index_intents(intents: Mapping[str, Intent]) -> IntentIndex:
    """Return the index of intents by order id."""
    by_target = defaultdict(list)
    by_model = defaultdict(list)
    for intent in intents.values():
        by_target[intent.target].append(intent)
        if not intent.adapter:
            by_model[intent.model].append(intent)
    return IntentIndex(intents, dict(by_target), dict(by_model))
