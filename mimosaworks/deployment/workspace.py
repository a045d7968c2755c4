"""Workspaces, their keys and their token rates."""

import attrs


@attrs.frozen
class Grant:
    """The workspace of a request's key; priority is None if not set."""

    workspace: str
    priority: int | None = None


@attrs.frozen
class WorkspaceConfig:
    """A workspace's token rate (tokens/s) and burst over all VMs.

    A rate of 0 is no limit. The default tokens are the cost of a request that
    declares none; each request costs 1 if tokens are not charged.
    """

    name: str
    keys: frozenset[str]
    tokens_per_s: float
    burst_tokens: float
    default_tokens: float = 0
    priority: int | None = None
    charges_tokens: bool = True

    def request_cost(self, declared_tokens: int) -> float:
        """Return the tokens that a request is charged with."""
        if not self.charges_tokens:
            return 1
        return declared_tokens or self.default_tokens
