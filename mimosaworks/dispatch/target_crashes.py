"""Crashes of targets, and the entries that confirm or refute them."""

from collections.abc import Mapping

import attrs

from mimosaworks.bounded import forget_oldest
from mimosaworks.deployment import TargetEntry

# Crashes kept for one fingerprint; more would not change the verdict.
MAX_CRASHES = 8
# Incarnations of targets whose crashes are counted.
MAX_INCARNATIONS = 1000


@attrs.frozen
class TargetCrash:
    """A target that may have crashed while it ran a request.

    It is identified by the request's fingerprint, the target and the target's
    incarnation. The crash number distinguishes crashes of the same known
    incarnation, when a target has restarted and its new incarnation is not
    known yet. An unconfirmed crash broke no connection. The last field is
    true if the node had seen a request with this fingerprint succeed.
    """

    fingerprint: str
    target: str
    incarnation: int
    crash_number: int = 0
    is_unconfirmed: bool = False
    has_succeeded: bool = False

    @property
    def key(self) -> str:
        """Identifies the crash: target, incarnation and crash number."""
        return f'{self.target}/{self.incarnation}/{self.crash_number}'


@attrs.frozen
class EntriesView:
    """The targets' entries, which were read without a gap for some time.

    It holds the start of that time, the time of the last read, and the
    seconds within which the entry of a crashed target expires.
    """

    entries: Mapping[str, TargetEntry]
    read_since_s: float
    last_read_s: float
    expiry_s: float

    def confirms_crash(self, crash: TargetCrash, recorded_s: float) -> bool:
        """Return whether entries that were read after a crash confirm it."""
        entry = self.entries.get(crash.target)
        has_changed = entry is None or entry.incarnation != crash.incarnation
        return has_changed and self.last_read_s > recorded_s

    def is_confirmation_overdue(self, recorded_s: float) -> bool:
        """Return whether entries had to confirm a crash at this time by now."""
        return self.observed_s(recorded_s) > self.expiry_s

    def observed_s(self, recorded_s: float) -> float:
        """Return for how many seconds after this time entries were read."""
        return self.last_read_s - max(recorded_s, self.read_since_s)


@attrs.define(eq=False)
class IncarnationCrashes:
    """Counts the crashes of each known incarnation of a target.

    The target may have restarted several times before a new entry is read.
    """

    _crash_counts: dict[str, int] = attrs.field(factory=dict)

    def record_crash(self, crash: TargetCrash) -> None:
        """Count a crash, once for all nodes that reported it."""
        incarnation_key = f'{crash.target}/{crash.incarnation}'
        crash_count = self._crash_counts.pop(incarnation_key, 0)
        self._crash_counts[incarnation_key] = max(
            crash_count, crash.crash_number + 1
        )
        forget_oldest(self._crash_counts, MAX_INCARNATIONS)

    def count_crashes(self, target: str, incarnation: int) -> int:
        """Return the number of crashes of an incarnation of a target."""
        return self._crash_counts.get(f'{target}/{incarnation}', 0)
