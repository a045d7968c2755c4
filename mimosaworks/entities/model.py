"""A model that can be loaded on targets."""

import attrs


@attrs.frozen
class Model:
    """A model and its checkpoint.

    size_bytes is the accelerator memory that one replica takes. ready_from
    and ready_until are minutes after midnight UTC between which replicas_min
    replicas are held ready; both -1 when no schedule is set. The pool names
    the targets that may hold the model.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    checkpoint: str
    size_bytes: int = attrs.field(validator=attrs.validators.gt(0))
    pool: str = 'models'
    ready_from_min: int = -1
    ready_until_min: int = -1
    replicas_min: int = 0
    replicas_max: int = 1
