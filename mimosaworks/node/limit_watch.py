"""What a holder hears of limits, and tells all nodes."""

import math

import attrs

from mimosaworks.dispatch import Dispatcher, TargetLimits, granted_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.change_log import ChangeLog
from mimosaworks.wire import Beat, LimitRow


@attrs.define(eq=False)
class LimitWatch:
    """The limits that nodes are told of, as of the last look."""

    log: ChangeLog[LimitRow] = attrs.field(factory=ChangeLog)
    _version: int = 0

    def take_notes(
        self, dispatcher: Dispatcher, beat: Beat, now: float
    ) -> None:
        """Take over what answers at a node said."""
        for note in beat.limits:
            begun_s = granted_s(dispatcher.jobs, note.call, note.target)
            is_taken = dispatcher.limits.note(
                note.target, note.per_s, begun_s, now
            )
            log_event(
                Event.LIMIT_TOLD,
                target=note.target,
                per_s=note.per_s if note.per_s < math.inf else None,
                node=beat.row.name,
                is_taken=is_taken,
            )

    def look(self, limits: TargetLimits) -> None:
        """Take over what has changed."""
        if limits.version == self._version:
            return
        self._version = limits.version
        self.log.replace({
            target: LimitRow(target, per_s)
            for target, per_s in limits.all_per_s().items()
        })
