"""A token bucket; the caller passes the time."""

import attrs

# Rounding may leave a sum of floating-point shares just below the cost of a
# request that it should cover.
EPSILON_TOKENS = 1e-6


@attrs.define
class TokenBucket:
    """A bucket that refills at a rate (tokens/s) up to a cap (tokens).

    level is the number of tokens in it. updated_at is the latest time seen,
    in seconds of the owner's clock. Used for workspaces and for targets.
    """

    rate: float
    cap: float
    updated_at: float
    level: float = 0

    def refill(self, now: float) -> None:
        """Refill until now; add nothing if the clock stepped backwards."""
        if now <= self.updated_at:
            return
        refill = self.rate * (now - self.updated_at)
        self.level = min(self.cap, self.level + refill)
        self.updated_at = now

    def set_limits(self, rate: float, cap: float) -> None:
        """Change rate and cap as of updated_at; drop tokens above the cap."""
        self.rate = rate
        self.cap = cap
        self.level = min(self.level, cap)

    def try_acquire(self, tokens: float) -> bool:
        """Take all of the tokens or none; return whether they were taken."""
        if tokens > self.level + EPSILON_TOKENS:
            return False
        self.level = max(0, self.level - tokens)
        return True

    def add_tokens(self, tokens: float) -> float:
        """Add tokens up to the cap; return how many were added."""
        added = min(tokens, self.headroom)
        self.level += added
        return added

    @property
    def headroom(self) -> float:
        """The number of tokens that can be added below the cap."""
        return max(0, self.cap - self.level)
