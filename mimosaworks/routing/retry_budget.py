"""Limits retries to a fraction of the requests."""

import attrs

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0


@attrs.define
class RetryBudget:
    """A router's budget of retries, which grows with its requests.

    ratio is the number of retries allowed for each request in the long run;
    max_saved_retries is the most that can be saved.
    """

    ratio: float = RETRY_RATIO
    max_saved_retries: float = MAX_SAVED_RETRIES
    _balance: float = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Add one request's fraction of a retry."""
        self._balance = min(self.max_saved_retries, self._balance + self.ratio)

    def try_acquire_retry(self) -> bool:
        """Deduct one retry if the balance covers it; return whether it did."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
