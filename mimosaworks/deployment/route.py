"""Routes from a host and path prefix to services."""

import enum

import attrs

# A caller of a stream waits for the first event for the longest of these
# times, then it disconnects.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
TIMEOUT_IN_LATENCY_TARGETS = 4
TIMEOUT_IN_EVENT_GAPS = 8


class Repeat(enum.Enum):
    """Whether and how a request on a route may be sent again."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class ServiceShare:
    """A service and the share of a route's requests that it gets."""

    service: str
    weight: float


@attrs.frozen
class ServiceRoute:
    """Where requests go and how long they may take.

    timeout_s is the longest wait for the complete answer. The latency target
    is the time in which the answer (or a stream's first event) should come,
    the event gap the largest time between two events. max_attempts is the
    number of targets that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_s: float = 0

    @property
    def patience_s(self) -> float:
        """Seconds for which a caller waits for a stream's first event."""
        if self.repeat is not Repeat.STREAM:
            return self.timeout_s
        longest_s = max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            TIMEOUT_IN_LATENCY_TARGETS * self.target_s,
            TIMEOUT_IN_EVENT_GAPS * self.gap_s,
        )
        return min(longest_s, self.timeout_s)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.repeat is Repeat.IDEMPOTENT
