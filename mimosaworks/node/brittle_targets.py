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
MAX_DIGITS = 6
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
    _most_per_s: dict[str, int] = attrs.field(factory=dict)

    def make_notes(self) -> tuple[BrittleNote, ...]:
        """Return all brittle targets, as they are reported to a new holder."""
        return tuple(
            BrittleNote(name, is_brittle=True, most_per_s=most_per_s)
            for name, most_per_s in self._most_per_s.items()
        )

    def read_response_head(self, target: str, resp: ClientResponse) -> None:
        """Apply the head of an answer to a request."""
        most_per_s = _read_most_per_s(resp)
        is_brittle = most_per_s is not None
        is_full = (
            is_brittle
            and resp.status == HTTPStatus.SERVICE_UNAVAILABLE
            and says_not_run(resp.status, resp.headers)
        )
        is_changed = most_per_s != self._most_per_s.get(target)
        if not is_changed and not is_full:
            return
        if is_changed:
            self._record_change(target, most_per_s)
        if is_full:
            self.target_notices.record_pause(target, FULL_PAUSE_S, now_s())
        self.on_note(BrittleNote(target, is_brittle, is_full, most_per_s or 0))

    def _record_change(self, target: str, most_per_s: int | None) -> None:
        log_event(Event.TARGET_BRITTLE, target=target, most_per_s=most_per_s)
        if most_per_s is None:
            self._most_per_s.pop(target, None)
            return
        self._most_per_s[target] = most_per_s
        forget_oldest(self._most_per_s, MAX_BRITTLE_TARGETS)


def _read_most_per_s(resp: ClientResponse) -> int | None:
    sent = resp.headers.get(BRITTLE, '').strip()
    # What is longer is no count of requests.
    if not sent.isdecimal() or len(sent) > MAX_DIGITS:
        return None
    return int(sent)
