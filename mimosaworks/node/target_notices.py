"""Targets that this node sends nothing to, as they have asked for."""

from collections.abc import Callable

import attrs
from multidict import MultiMapping

from mimosaworks.bounded import forget_oldest
from mimosaworks.clock import now_s
from mimosaworks.events import Event, log_event
from mimosaworks.node.limit_view import LimitView
from mimosaworks.platform.headers import says_leaving

MAX_NOTICES = 1000  # more than targets that a deployment has


@attrs.define(eq=False)
class TargetNotices:
    """Targets that announced that they leave, and targets to back off from.

    find_born gives the birth of a target as it is known, 0 if it is not. A
    notice of a target that leaves holds for one birth. on_leaving is called
    with its name and birth, on_notice with the kind of a notice.
    """

    find_born: Callable[[str], int]
    on_leaving: Callable[[str, int], None]
    on_notice: Callable[[str], None]
    _leaving: dict[str, int] = attrs.field(factory=dict)
    _paused_until_s: dict[str, float] = attrs.field(factory=dict)

    def note_leaving(self, target: str) -> None:
        """Send nothing more to a target until it is born anew."""
        if target in self.leaving():
            return
        born = self.find_born(target)
        self._leaving[target] = born
        forget_oldest(self._leaving, MAX_NOTICES)
        log_event(Event.TARGET_LEAVING, target=target, born=born)
        self.on_notice('leaving')
        self.on_leaving(target, born)

    def note_pause(self, target: str, pause_s: float, now: float) -> None:
        """Back off from a target for pause_s seconds."""
        self._paused_until_s.pop(target, None)
        self._paused_until_s[target] = now + pause_s
        forget_oldest(self._paused_until_s, MAX_NOTICES)
        log_event(Event.TARGET_PAUSED, target=target, for_s=pause_s)
        self.on_notice('paused')

    def leaving(self) -> dict[str, int]:
        """Return the births of the targets that leave, by name."""
        found: dict[str, int] = {}
        for target, noted in self._leaving.items():
            born = self.find_born(target)
            # It may have been noted before its birth was known.
            self._leaving[target] = noted or born
            if not born or born == self._leaving[target]:
                found[target] = self._leaving[target]
        return found

    def blocked(self, now: float) -> frozenset[str]:
        """Return the targets that nothing may be sent to."""
        for target, until_s in list(self._paused_until_s.items()):
            if now >= until_s:
                self._paused_until_s.pop(target)
        return frozenset((*self.leaving(), *self._paused_until_s))

    def pause_left_s(self, now: float) -> float | None:
        """Return the seconds until the first pause ends, None without one."""
        left_s = [until_s - now for until_s in self._paused_until_s.values()]
        return min((one for one in left_s if one > 0), default=None)


def read_head(
    notices: TargetNotices,
    limits: LimitView,
    target: str,
    headers: MultiMapping[str],
) -> None:
    """Take over what the answer to an order or report says of requests."""
    if says_leaving(headers):
        notices.note_leaving(target)
    limits.read_other(target, headers, now_s())
