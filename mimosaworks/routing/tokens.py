"""What the dispatcher needs of the workspaces' token buckets."""

from typing import Protocol

from mimosaworks.limits import Receipt

# Stands for the tokens of a request that costs none.
NO_CHARGE = Receipt('', 0, 0)


class Tokens(Protocol):
    """Grants tokens to workspaces; implemented by limits.TokenService."""

    def try_take(self, workspace: str, tokens: float) -> Receipt | None:
        """Take tokens that are here now; None when they do not suffice."""

    async def acquire(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> Receipt:
        """Take tokens, asking other holders; raises RATE_EXCEEDED."""

    def refund(self, receipt: Receipt, unused: float) -> None:
        """Give unused tokens back."""

    def check(self, workspace: str, tokens: float, timeout_s: float) -> None:
        """Raise RequestError if the tokens can't come within timeout_s."""
