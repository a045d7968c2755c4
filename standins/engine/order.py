"""An order to an engine."""

from collections.abc import Mapping
from typing import Any

import attrs

ACTIONS = frozenset((
    'load',
    'unload',
    'load_adapter',
    'unload_adapter',
    'set_role',
    'set_version',
))


@attrs.frozen
class Order:
    """One order as it came; fence is the placer's fencing number."""

    order_id: str
    action: str
    model: str = ''
    adapter: str = ''
    checkpoint: str = ''
    size_bytes: int = 0
    fence: int = 0
    role: str = ''

    @property
    def name(self) -> str:
        """The name of what is loaded or unloaded."""
        return self.adapter or self.model


def order_from_dict(body: Mapping[str, Any]) -> Order:
    """Return a checked order; raises ValueError or KeyError."""
    order = Order(
        order_id=str(body['order_id']),
        action=str(body['action']),
        model=str(body.get('model') or ''),
        adapter=str(body.get('adapter') or ''),
        checkpoint=str(body.get('checkpoint') or ''),
        size_bytes=int(body.get('size_bytes') or 0),
        fence=int(body.get('fence') or 0),
        role=str(body.get('role') or ''),
    )
    if order.action not in ACTIONS:
        raise ValueError(f'unknown action {order.action!r}')
    return order
