"""Recent failures, slowdown and downtime of a target."""

import attrs

from mimosaworks.dispatch.outcome import COMPLETE_OUTCOMES, CallOutcome

# Weight of the newest outcome in the failure rate.
NEWEST_OUTCOME_WEIGHT = 0.15
FAILURE_HALF_LIFE_S = 4.0
# About half a heartbeat interval of the targets.
INITIAL_DOWN_S = 0.6
# About three heartbeat intervals, after which the entry expires.
MAX_DOWN_S = 4.0
NEWEST_SLOWDOWN_WEIGHT = 0.2
MIN_EXPECTED_DURATION_S = 0.001
MIN_SLOWDOWN = 0.3
MAX_SLOWDOWN = 12.0
# Nodes that fail to reach a target this soon after each other.
WITNESS_S = 1.0
MIN_WITNESSES = 2
_FAILED_OUTCOMES = frozenset((
    CallOutcome.FAILED,
    CallOutcome.BROKEN,
    CallOutcome.OVERSIZED,
    CallOutcome.TIMED_OUT,
))


@attrs.define
class _NodePause:
    """Until when a node sends the target nothing, and the next such pause."""

    until_s: float = 0
    next_s: float = INITIAL_DOWN_S


@attrs.define
class TargetHealth:
    """Failure rate, slowdown, and pauses after lost connections.

    A node that can't reach the target says something about the pair: that node
    sends it nothing for a while. Two nodes that reach other targets meanwhile
    say that it is down.

    Slowdown is the average of measured divided by expected duration. The
    failure rate is the average share of failed requests, which halves each
    FAILURE_HALF_LIFE_S. Used for choosing a target.
    """

    slowdown: float = 1.0
    _failure_rate: float = 0
    _last_outcome_s: float = 0
    _down_until_s: float = 0
    _next_pause_s: float = INITIAL_DOWN_S
    _pauses_by_node: dict[str, _NodePause] = attrs.field(factory=dict)
    _witnessed_s: dict[str, float] = attrs.field(factory=dict)

    def is_down(self, now: float, node: str = '') -> bool:
        """Return whether the target gets no requests for now, or of a node."""
        pause = self._pauses_by_node.get(node)
        return now < self._down_until_s or (
            pause is not None and now < pause.until_s
        )

    def down_remaining_s(self, now: float) -> float:
        """Return the seconds for which the target still gets no requests."""
        return max(self._down_until_s - now, 0)

    def failure_rate(self, now: float) -> float:
        """Return the decayed share of failed requests."""
        age_s = max(now - self._last_outcome_s, 0)
        return float(self._failure_rate * 2 ** (-age_s / FAILURE_HALF_LIFE_S))

    def record_outcome(
        self, outcome: CallOutcome, now: float, node: str = ''
    ) -> None:
        """Update failure rate and downtime by the outcome of a request."""
        if outcome in COMPLETE_OUTCOMES:
            self._pauses_by_node.pop(node, None)
            self.record_success(now)
        if outcome is CallOutcome.OVERSIZED:
            self.record_unreachable(now)
        if outcome in _FAILED_OUTCOMES:
            self.record_failure(now)

    def record_unreached(
        self, node: str, now: float, *, reaches_others: bool
    ) -> None:
        """Record that a node could not reach the target.

        reaches_others: it had an answer of another target shortly before.
        """
        if not self.is_down(now, node):
            pause = self._pauses_by_node.setdefault(node, _NodePause())
            pause.until_s = now + pause.next_s
            pause.next_s = min(pause.next_s * 2, MAX_DOWN_S)
        if not reaches_others:
            return
        self._witnessed_s[node] = now
        witnesses = [
            name
            for name, witnessed_s in self._witnessed_s.items()
            if now - witnessed_s < WITNESS_S
        ]
        if len(witnesses) >= MIN_WITNESSES:
            self.record_unreachable(now)

    def record_unreachable(self, now: float) -> None:
        """Send no requests for a while, longer after each failure in a row."""
        if self.is_down(now):
            return
        self._down_until_s = now + self._next_pause_s
        self._next_pause_s = min(self._next_pause_s * 2, MAX_DOWN_S)

    def record_failure(self, now: float) -> None:
        """Record a failed request."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + NEWEST_OUTCOME_WEIGHT * (1 - rate)
        self._last_outcome_s = now

    def record_success(self, now: float) -> None:
        """Record a complete answer, which also ends the pause."""
        self._failure_rate = self.failure_rate(now) * (
            1 - NEWEST_OUTCOME_WEIGHT
        )
        self._last_outcome_s = now
        self._next_pause_s = INITIAL_DOWN_S
        self._down_until_s = 0

    def record_duration(self, measured_s: float, expected_s: float) -> None:
        """Update the slowdown by a measured and an expected duration."""
        ratio = measured_s / max(expected_s, MIN_EXPECTED_DURATION_S)
        ratio = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self.slowdown += NEWEST_SLOWDOWN_WEIGHT * (ratio - self.slowdown)
