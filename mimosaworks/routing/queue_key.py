"""The key of a request queue."""

import attrs


@attrs.frozen
class QueueKey:
    """Identifies the queue of a model and adapter, or of a service pool.

    model is empty for plain services; adapter is empty for the bare model.
    """

    pool: str
    model: str = ''
    adapter: str = ''

    def __str__(self) -> str:
        """Return pool/model/adapter without empty parts."""
        parts = (self.pool, self.model, self.adapter)
        return '/'.join(part for part in parts if part)
