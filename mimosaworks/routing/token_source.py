"""The interface through which the dispatcher charges tokens."""

from typing import Protocol

from mimosaworks.limits import TokenCharge

# The charge of a request that costs no tokens.
NO_CHARGE = TokenCharge('', 0, 0)


class TokenSource(Protocol):
    """A source of workspaces' tokens; implemented by limits.TokenService."""

    def try_acquire(self, workspace: str, tokens: float) -> TokenCharge | None:
        """Charge tokens that are here now; return None if there are too few."""

    async def acquire(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> TokenCharge:
        """Wait for tokens, also from other routers; raise RATE_EXCEEDED."""

    def refund(self, charge: TokenCharge, unused: float) -> None:
        """Refund the unused tokens of a charge."""

    def check_obtainable(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> None:
        """Raise RequestError if the tokens can't be had within timeout_s."""
