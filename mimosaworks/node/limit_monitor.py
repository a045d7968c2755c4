"""Collects rate limits at the lease holder and reports them to all nodes."""

import math

import attrs

from mimosaworks.dispatch import Dispatcher, TargetRateLimits, find_granted_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.wire import Beat, LimitRow


@attrs.define(eq=False)
class LimitMonitor:
    """The rate limits that nodes are sent, as of the last update."""

    row_log: ChangeLog[LimitRow] = attrs.field(factory=ChangeLog)
    _applied_version: int = 0

    def record_announcements(
        self, dispatcher: Dispatcher, heartbeat: Beat, now: float
    ) -> None:
        """Record the rate limits that targets announced to a node."""
        for note in heartbeat.limits:
            granted_at_s = find_granted_s(
                dispatcher.jobs, note.call, note.target
            )
            is_accepted = dispatcher.rate_limits.record_limit(
                note.target, note.per_s, granted_at_s, now
            )
            log_event(
                Event.LIMIT_TOLD,
                target=note.target,
                per_s=note.per_s if note.per_s < math.inf else None,
                node=heartbeat.row.name,
                is_taken=is_accepted,
            )

    def update_rows(self, limits: TargetRateLimits) -> None:
        """Update the rows that nodes are sent, if limits have changed."""
        if limits.version == self._applied_version:
            return
        self._applied_version = limits.version
        self.row_log.replace_rows({
            target: LimitRow(target, per_s)
            for target, per_s in limits.limits_by_target().items()
        })
