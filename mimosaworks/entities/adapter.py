"""An adapter that is loaded beside its model."""

import attrs


@attrs.frozen
class Adapter:
    """An adapter (fine-tuned weights) of one model; size in bytes."""

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    model: str = attrs.field(validator=attrs.validators.min_len(1))
    size_bytes: int = attrs.field(validator=attrs.validators.gt(0))
