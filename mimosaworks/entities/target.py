"""A back end that requests are sent to."""

import attrs

TARGET_KINDS = ('engine', 'service')


@attrs.frozen
class Target:
    """An engine or plain service at a base URL, in one pool.

    memory_bytes is the memory for models and adapters (0 for services).
    checks_fence tells whether it refuses orders with an old fencing number.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    url: str = attrs.field(validator=attrs.validators.matches_re('https?://.+'))
    pool: str = attrs.field(validator=attrs.validators.min_len(1))
    kind: str = attrs.field(
        default='engine', validator=attrs.validators.in_(TARGET_KINDS)
    )
    data_centre: str = ''
    memory_bytes: int = 0
    checks_fence: bool = False
