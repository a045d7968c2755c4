"""Orders to targets."""

import attrs


@attrs.frozen
class Order:
    """One order; its fields are the body of POST /orders.

    action is 'load', 'unload', 'load_adapter' or 'unload_adapter'. intent_id
    names the intent that the order is sent under; target and url say where
    it goes.
    """

    order_id: str
    action: str
    model: str
    adapter: str
    checkpoint: str
    size_bytes: int
    fence: int
    target: str
    url: str
    intent_id: str

    def body_fields(self) -> dict[str, object]:
        """Return the JSON-ready body of the order."""
        return {
            'order_id': self.order_id,
            'action': self.action,
            'model': self.model,
            'adapter': self.adapter,
            'checkpoint': self.checkpoint,
            'size_bytes': self.size_bytes,
            'fence': self.fence,
            'role': '',
        }
