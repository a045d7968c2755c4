"""A model, or an adapter, that an engine has an order for."""

import attrs


@attrs.define
class Loaded:
    """State of one model or adapter: loading, ready or unloading.

    model is the adapter's model, or the name itself.
    """

    model: str
    order_id: str
    size_bytes: int
    checkpoint: str = ''
    state: str = 'loading'
