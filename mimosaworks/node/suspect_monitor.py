"""Reports requests that crashed several targets to nodes and to the log."""

import attrs

from mimosaworks.dispatch import (
    CrashLogEntry,
    CrashTracker,
    Verdict,
)
from mimosaworks.dispatch.suspect_keys import (
    MIN_CRASHES_REFUSED,
    MIN_CRASHES_SERIALIZED,
)
from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.wire import SuspectRow


@attrs.define(eq=False)
class SuspectMonitor:
    """The suspects that nodes are sent, as of the last update.

    Nodes do not need the many requests that ran beside a single crash.
    """

    row_log: ChangeLog[SuspectRow] = attrs.field(factory=ChangeLog)
    _applied_version: int = 0

    def update_rows(self, tracker: CrashTracker) -> bool:
        """Update rows and the log; return whether to store suspects soon."""
        if tracker.version == self._applied_version:
            return False
        while tracker.log_entries:
            _log_tracker_entry(tracker.log_entries.popleft())
        previous_version = self._applied_version
        self._applied_version = tracker.version
        previous_rows_version = self.row_log.version
        rows = {
            key: SuspectRow(
                key, tuple(suspect.crashes), is_proven=suspect.has_succeeded
            )
            for key, suspect in tracker.iter_suspects(MIN_CRASHES_SERIALIZED)
            if tracker.get_verdict(key) is not Verdict.SERVED
        }
        for fingerprint in self.row_log.rows.keys() - rows.keys():
            log_event(Event.CONTENT_CLEARED, mark=fingerprint)
        for fingerprint, row in rows.items():
            if self.row_log.set_row(fingerprint, row):
                log_event(
                    Event.CONTENT_SUSPECTED,
                    mark=fingerprint,
                    ends=list(row.ends),
                    verdict=tracker.get_verdict(fingerprint).value,
                )
        self.row_log.replace_rows(rows)
        has_new_trials = any(
            suspect.planned_trial_version > previous_version
            for _, suspect in tracker.iter_suspects(MIN_CRASHES_REFUSED)
        )
        return has_new_trials or self.row_log.version > previous_rows_version


def _log_tracker_entry(log_entry: CrashLogEntry) -> None:
    if log_entry.crash is None:
        log_event(
            Event.CONTENT_TRIED,
            mark=log_entry.fingerprint,
            reason=log_entry.reason,
        )
        return
    log_event(
        Event.TARGET_END_DROPPED,
        mark=log_entry.fingerprint,
        target=log_entry.crash.target,
        born=log_entry.crash.incarnation,
        number=log_entry.crash.crash_number,
        reason=log_entry.reason,
    )
