"""Collects limits of targets at the lease holder and reports them to nodes."""

import math

import attrs

from mimosaworks.dispatch import (
    Dispatcher,
    RejectionLimits,
    TargetRateLimits,
    find_granted_s,
)
from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.wire import Beat, BrittleNote, LimitRow


@attrs.define(eq=False)
class LimitMonitor:
    """The limits that nodes are sent, as of the last update."""

    row_log: ChangeLog[LimitRow] = attrs.field(factory=ChangeLog)
    _applied_versions: tuple[int, int] = (0, 0)

    def record_announcements(
        self, dispatcher: Dispatcher, heartbeat: Beat, now: float
    ) -> None:
        """Record the limits that targets announced to a node."""
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
        for brittle_note in heartbeat.brittle:
            _record_brittle_target(dispatcher, brittle_note, now)

    def update_rows(
        self, rate_limits: TargetRateLimits, rejection_limits: RejectionLimits
    ) -> None:
        """Update the rows that nodes are sent, if limits have changed."""
        versions = (rate_limits.version, rejection_limits.version)
        if versions == self._applied_versions:
            return
        self._applied_versions = versions
        per_s = rate_limits.limits_by_target()
        rejections_per_s = rejection_limits.limits_by_target()
        self.row_log.replace_rows({
            target: LimitRow(
                target,
                per_s.get(target, math.inf),
                is_brittle=target in rejections_per_s,
                most_rejections_per_s=rejections_per_s.get(target, 0),
            )
            for target in per_s | rejections_per_s
        })


def _record_brittle_target(
    dispatcher: Dispatcher, note: BrittleNote, now: float
) -> None:
    limits = dispatcher.rejection_limits
    is_new = note.is_brittle and not limits.is_brittle(note.target)
    limits.record_limit(
        note.target,
        note.most_per_s if note.is_brittle else None,
        find_granted_s(dispatcher.jobs, note.call, note.target),
        now,
    )
    if note.is_full:
        limits.record_rejection(note.target, now)
    if is_new:
        for pool in dispatcher.pools.values():
            if note.target in pool.targets:
                limits.assume_limits(pool.targets, pool.targets, now)
