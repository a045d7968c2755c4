"""What the dispatcher needs of the workspaces' token buckets."""

from typing import Protocol


class Tokens(Protocol):
    """Grants tokens to workspaces; implemented by limits.TokenService."""

    def try_take(self, workspace: str, tokens: float) -> bool:
        """Take tokens that are here now; return whether they sufficed."""

    async def acquire(
        self, workspace: str, tokens: float, timeout_s: float
    ) -> None:
        """Take tokens, asking other holders; raises RATE_EXCEEDED."""

    def refund(self, workspace: str, tokens: float) -> None:
        """Give unused tokens back."""

    def predict_wait_s(self, workspace: str, tokens: float) -> float:
        """Return the expected seconds until the tokens are there."""
