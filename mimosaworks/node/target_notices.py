"""Targets that told this node to stay away."""

from collections.abc import Callable

import attrs

from mimosaworks.events import Event, log_event

MAX_NOTICES = 1000  # more than targets that a deployment has


@attrs.define(eq=False)
class TargetNotices:
    """Targets that leave, and targets that want a pause from this node.

    find_born gives the birth of a target as it is known, 0 if it is not. One
    that leaves is left alone until it is born anew. on_leaving is called
    with its name and birth, on_notice with the kind of a notice.
    """

    find_born: Callable[[str], int]
    on_leaving: Callable[[str, int], None]
    on_notice: Callable[[str], None]
    _leaving: dict[str, int] = attrs.field(factory=dict)
    _paused_until_s: dict[str, float] = attrs.field(factory=dict)

    def note_leaving(self, target: str) -> None:
        """Send nothing more to a target that says that it leaves."""
        born = self.find_born(target)
        if target in self._leaving and self._is_leaving(target):
            return
        self._leaving[target] = born
        _bound(self._leaving)
        log_event(Event.TARGET_LEAVING, target=target, born=born)
        self.on_notice('leaving')
        self.on_leaving(target, born)

    def note_pause(self, target: str, pause_s: float, now: float) -> None:
        """Send nothing to a target for pause_s seconds."""
        self._paused_until_s.pop(target, None)
        self._paused_until_s[target] = now + pause_s
        _bound(self._paused_until_s)
        log_event(Event.TARGET_PAUSED, target=target, for_s=pause_s)
        self.on_notice('paused')

    def leaving(self) -> dict[str, int]:
        """Return the births of the targets that leave, by name."""
        return {
            target: born
            for target, born in self._leaving.items()
            if self._is_leaving(target)
        }

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

    def _is_leaving(self, target: str) -> bool:
        born = self.find_born(target)
        if not self._leaving[target]:
            # It told so before its birth was known here.
            self._leaving[target] = born
        return not born or born == self._leaving[target]


def _bound(notices: dict[str, int] | dict[str, float]) -> None:
    """Forget the oldest notice beyond the bound."""
    if len(notices) > MAX_NOTICES:
        notices.pop(next(iter(notices)))
