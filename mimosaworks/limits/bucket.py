"""A token bucket that is given the time."""

import attrs

# Sums of floating-point shares may miss a whole request's cost by rounding.
EPSILON_TOKENS = 1e-6


@attrs.define
class Bucket:
    """Tokens that refill at a rate (tokens/s) up to a cap (tokens).

    updated_at is the latest time seen, in seconds of the owner's clock.
    """

    rate: float
    cap: float
    updated_at: float
    level: float = 0

    def advance(self, now: float) -> None:
        """Refill until now; a clock that steps backwards grants nothing."""
        if now <= self.updated_at:
            return
        refill = self.rate * (now - self.updated_at)
        self.level = min(self.cap, self.level + refill)
        self.updated_at = now

    def set_terms(self, rate: float, cap: float) -> None:
        """Change rate and cap from updated_at on; drop tokens over the cap."""
        self.rate = rate
        self.cap = cap
        self.level = min(self.level, cap)

    def take(self, tokens: float) -> bool:
        """Take all of the tokens or none; return whether they were there."""
        if tokens > self.level + EPSILON_TOKENS:
            return False
        self.level = max(0, self.level - tokens)
        return True

    def put(self, tokens: float) -> float:
        """Add tokens up to the cap and return how many there was room for."""
        banked = min(tokens, self.room)
        self.level += banked
        return banked

    @property
    def room(self) -> float:
        """Tokens that fit below the cap."""
        return max(0, self.cap - self.level)
