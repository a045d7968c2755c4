"""Routes from a host and path prefix to services."""

import enum

import attrs

# Callers leave a stream after the longest of these silences.
MIN_PATIENCE_S = 2.0
PATIENCE_IN_TARGETS = 4
PATIENCE_IN_GAPS = 8


class Repeat(enum.Enum):
    """What may be repeated of a request on a route."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class ServiceShare:
    """A service and the share of a route's requests that go to it."""

    service: str
    weight: float


@attrs.frozen
class ServiceRoute:
    """Where requests go and how long they may take.

    timeout_s is the longest wait for the whole answer, target_s the time in
    which the answer (or a stream's first event) should come, gap_s the
    largest gap between two events. max_attempts counts the targets that one
    request may be sent to.
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
        """How long a caller waits for a stream's first event."""
        if self.repeat is not Repeat.STREAM:
            return self.timeout_s
        longest_s = max(
            MIN_PATIENCE_S,
            PATIENCE_IN_TARGETS * self.target_s,
            PATIENCE_IN_GAPS * self.gap_s,
        )
        return min(longest_s, self.timeout_s)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        return self.repeat is Repeat.IDEMPOTENT
