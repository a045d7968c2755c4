"""The status of a target as seen by one router."""

import attrs

COOLDOWN_S = 1.0
MAX_COOLDOWN_S = 10.0


@attrs.define
class TargetStatus:
    """A router's requests in flight at a target, and its cool-down.

    exclusive_fingerprint is that of a crash suspect that runs at the target
    without other requests; empty otherwise.
    """

    name: str
    in_flight: int = 0
    exclusive_fingerprint: str = ''
    _consecutive_failures: int = 0
    _cooldown_until_s: float = 0

    def is_cooling_down(self, now_s: float) -> bool:
        """Return whether the target is in its cool-down after a failure."""
        return now_s < self._cooldown_until_s

    def record_failure(self, now_s: float) -> None:
        """Start a cool-down, which doubles with each consecutive failure."""
        cooldown_s = min(
            COOLDOWN_S * 2**self._consecutive_failures, MAX_COOLDOWN_S
        )
        self._consecutive_failures += 1
        self._cooldown_until_s = now_s + cooldown_s

    def record_success(self) -> None:
        """Reset the count of consecutive failures and end the cool-down."""
        self._consecutive_failures = 0
        self._cooldown_until_s = 0
