"""A workspace: who is granted tokens."""

import attrs


@attrs.frozen
class Workspace:
    """A customer with a token rate (tokens/s) and a burst (tokens).

    The grant holds over all VMs together. Used by limits and admission.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    rate_tokens_per_s: float = attrs.field(validator=attrs.validators.gt(0))
    burst_tokens: float = attrs.field(validator=attrs.validators.gt(0))
