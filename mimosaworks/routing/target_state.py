"""What a router knows of one target from its own traffic."""

import attrs

COOLDOWN_S = 1.0
MAX_COOLDOWN_S = 10.0


@attrs.define
class TargetState:
    """Own requests in flight, and a cool-down after failures.

    exclusive_to is the fingerprint of a crash suspect that runs alone.
    """

    name: str
    in_flight: int = 0
    exclusive_to: str = ''
    _failures: int = 0
    _cooling_until_s: float = 0

    def is_cooling(self, now_s: float) -> bool:
        """Tell whether the target failed lately."""
        return now_s < self._cooling_until_s

    def note_failure(self, now_s: float) -> None:
        """Start a cool-down that doubles with failures in a row."""
        pause_s = min(COOLDOWN_S * 2**self._failures, MAX_COOLDOWN_S)
        self._failures += 1
        self._cooling_until_s = now_s + pause_s

    def note_success(self) -> None:
        """End the series of failures."""
        self._failures = 0
        self._cooling_until_s = 0
