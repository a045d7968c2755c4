"""Messages between holders of token shares."""

import attrs


@attrs.frozen
class TokenAsk:
    """Asks a peer for tokens of a workspace; the reply is a TokenGrant.

    transfer is never used again, also after a restart of the asker. epoch
    (of the holder set), rate (tokens/s) and burst (tokens) are what the
    asker knows; a donor that knows others gives nothing.
    """

    transfer: str
    workspace: str
    tokens: float
    epoch: int
    rate: float
    burst: float


@attrs.frozen
class TokenGrant:
    """Gives tokens, possibly none; balance is what the donor has left."""

    transfer: str
    workspace: str
    tokens: float
    balance: float


@attrs.frozen
class TokenBalance:
    """Tokens of a workspace that the sender can spare."""

    workspace: str
    tokens: float


@attrs.frozen
class TokenBalances:
    """A member's changed balances; the reply is an Ack."""

    sender: str
    balances: tuple[TokenBalance, ...] = ()
