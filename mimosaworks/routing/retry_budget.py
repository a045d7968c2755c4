"""Bounds retries to a share of the requests."""

import attrs

RETRY_RATIO = 0.1
RETRY_RESERVE = 10.0


@attrs.define
class RetryBudget:
    """A balance that grows with requests and pays for retries.

    ratio is the retries allowed for each request in the long run, reserve
    the most that can be saved.
    """

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    _balance: float = RETRY_RESERVE

    def note_request(self) -> None:
        """Add one request's share."""
        self._balance = min(self.reserve, self._balance + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the balance; return whether it sufficed."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
