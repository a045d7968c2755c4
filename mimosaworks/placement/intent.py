"""Write-ahead intents: decisions of a shard's holder for its targets."""

import enum
import json
from typing import Any

import attrs
import cattrs


@enum.unique
class IntentState(enum.Enum):
    """Which orders may be sent under an intent."""

    LOAD = 'load'
    UNLOAD = 'unload'


@attrs.frozen
class Intent:
    """A decision to load one model or adapter on one target, as a table row.

    Its row is written before its first order is sent. While the row exists,
    size_bytes count as used on the target, whatever the target reports. The
    order id is that of the load; adapter is empty for a model. checks_fence
    tells whether the target refuses orders with an old fencing number.
    """

    order_id: str
    state: IntentState
    model: str
    adapter: str
    target: str
    url: str
    checkpoint: str
    size_bytes: int
    fence: int
    checks_fence: bool = False

    @property
    def name(self) -> str:
        """The adapter's name, or the model's when there is no adapter."""
        return self.adapter or self.model

    def to_json(self) -> str:
        """Return the row's JSON text."""
        return json.dumps(cattrs.unstructure(self))


def intent_from_json(text: str) -> Intent:
    """Return the intent that to_json wrote; raises cattrs' errors."""
    fields: dict[str, Any] = json.loads(text)
    return cattrs.structure(fields, Intent)
