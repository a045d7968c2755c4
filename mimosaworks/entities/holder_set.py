"""The routers that hold shares of the workspaces' tokens."""

import attrs

HOLDER_SET_NAME = 'token-shares'


@attrs.frozen
class HolderSet:
    """The peer addresses of the share holders.

    Epochs grow by one with each new set. The set changes with the
    configuration, so that no holder acts on an older set than the one in
    force. The system writes it, not the operators.
    """

    name: str = HOLDER_SET_NAME
    epoch: int = 0
    addresses: tuple[str, ...] = ()
