"""Targets that crash when they turn away too many requests in a second."""

from collections.abc import Callable
from http import HTTPStatus

import attrs
from aiohttp import ClientResponse

from mimosaworks.bounded import forget_oldest
from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.target_notices import TargetNotices
from mimosaworks.platform.headers import BRITTLE, says_not_run
from mimosaworks.wire import BrittleNote

# More than the targets of a deployment.
MAX_BRITTLE_TARGETS = 1000
# Rejections count by the second.
FULL_PAUSE_S = 1.0


@attrs.define(eq=False)
class BrittleTargets:
    """The brittle targets that answered this node.

    One that turns a request away gets nothing from this node for a second.
    on_note is called with what has to be reported to the holder.
    """

    target_notices: TargetNotices
    on_note: Callable[[BrittleNote], None]
    _names: dict[str, bool] = attrs.field(factory=dict)

    def make_notes(self) -> tuple[BrittleNote, ...]:
        """Return all brittle targets, as they are reported to a new holder."""
        return tuple(BrittleNote(name, is_brittle=True) for name in self._names)

    def read_response_head(self, target: str, resp: ClientResponse) -> None:
        """Apply the head of an answer to a request."""
        is_brittle = resp.headers.get(BRITTLE, '').strip().isdecimal()
        is_full = (
            is_brittle
            and resp.status == HTTPStatus.SERVICE_UNAVAILABLE
            and says_not_run(resp.status, resp.headers)
        )
        is_changed = is_brittle != (target in self._names)
        if not is_changed and not is_full:
            return
        if is_changed:
            self._record_change(target, is_brittle=is_brittle)
        if is_full:
            self.target_notices.record_pause(target, FULL_PAUSE_S, now_s())
        self.on_note(BrittleNote(target, is_brittle, is_full))

    def _record_change(self, target: str, *, is_brittle: bool) -> None:
        log_event(Event.TARGET_BRITTLE, target=target, is_brittle=is_brittle)
        if is_brittle:
            self._names[target] = True
            forget_oldest(self._names, MAX_BRITTLE_TARGETS)
        else:
            self._names.pop(target)
