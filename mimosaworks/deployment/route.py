"""Routes from a host and path prefix to services."""

import enum

import attrs

# A caller of a stream waits for the first event for the longest of these
# times, then it disconnects.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
TIMEOUT_IN_LATENCY_TARGETS = 4
TIMEOUT_IN_EVENT_GAPS = 8


class RetryPolicy(enum.Enum):
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
    retry_policy: RetryPolicy
    timeout_s: float
    latency_target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    max_event_gap_s: float = 0

    @property
    def first_event_timeout_s(self) -> float:
        """Seconds for which a caller waits for a stream's first event."""
        if self.retry_policy is not RetryPolicy.STREAM:
            return self.timeout_s
        longest_s = max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            TIMEOUT_IN_LATENCY_TARGETS * self.latency_target_s,
            TIMEOUT_IN_EVENT_GAPS * self.max_event_gap_s,
        )
        return min(longest_s, self.timeout_s)

    @property
    def may_retry_after_run(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.retry_policy is RetryPolicy.IDEMPOTENT
