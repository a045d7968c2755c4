"""Workspaces, their keys and their rates."""

import attrs


@attrs.frozen
class Grant:
    """Whose key a request came with; priority is None without one."""

    workspace: str
    priority: int | None = None


@attrs.frozen
class WorkspaceTerms:
    """A workspace's rate (tokens a second) and burst on all VMs; 0: none.

    plain_tokens is the cost of a request that declares no tokens.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    plain_tokens: float = 0
    priority: int | None = None
    counts_tokens: bool = True

    def cost(self, declared_tokens: int) -> float:
        """Return what a request takes from the workspace's bucket."""
        if not self.counts_tokens:
            return 1
        return declared_tokens or self.plain_tokens
